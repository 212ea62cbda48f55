-- The target dies at each millisecond around the end of the answer: the caller gets the complete answer or "may have
-- run", and the request never runs twice.
fleet { entries = 1, targets = 2, slots = 1 }
for n = 1, 16 do
  send { name = "a" .. n, entry = "entry-1", prompt = 100, output = 20 }
  run((215 + n) .. "ms")
  kill "target-1"
  run "5s"
  expect("a" .. n, "ended")
  expectRuns("a" .. n, 0, 1)
  restart "target-1"
  run "20s"
end
