-- Many answers arrive out of order over links with very different delays; each caller gets the complete answer to its
-- own request.
fleet { entries = 2, targets = 3 }
for e = 1, 2 do
  for t = 1, 3 do
    link { from = "entry-" .. e, to = "target-" .. t, delay = (e * t * 40) .. "ms" }
  end
end
for n = 1, 30 do
  send { name = "r" .. n, entry = "entry-" .. (1 + n % 2), output = n % 7 }
end
run "30s"
for n = 1, 30 do
  expect("r" .. n, "completed")
  expectRuns("r" .. n, 1)
end
