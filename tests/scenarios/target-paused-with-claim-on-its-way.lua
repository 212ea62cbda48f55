-- A target is paused right after claiming; after resuming, its claims have expired and it dispatches none of them.
fleet { entries = 1, targets = 2, slots = 1 }
for n = 1, 6 do
  send { name = "r" .. n, entry = "entry-1", output = 30, deadline = "20s" }
end
run "2ms"
pause "target-1"
run "15s"
resume "target-1"
run "30s"
for n = 1, 6 do
  expect("r" .. n, "ended")
  expectRuns("r" .. n, 0, 1)
end
