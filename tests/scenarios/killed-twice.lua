-- The same target dies, restarts and dies again while requests keep arriving.
fleet { entries = 1, targets = 2 }
for round = 1, 2 do
  for n = 1, 4 do
    send { name = round .. "-" .. n, entry = "entry-1", output = 60 }
  end
  run "300ms"
  kill "target-2"
  run "2s"
  restart "target-2"
  run "2s"
end
run "30s"
for round = 1, 2 do
  for n = 1, 4 do expect(round .. "-" .. n, "ended") end
end
