-- When a target dies, requests that wait there run elsewhere; only those in progress may be lost.
fleet { entries = 1, targets = 2, slots = 1 }
for n = 1, 8 do
  send { name = "r" .. n, entry = "entry-1", output = 50 }
end
run "200ms"
kill "target-1"
run "30s"
local completed = 0
for n = 1, 8 do
  expect("r" .. n, "ended")
  if verdict("r" .. n) == "completed" then completed = completed + 1 end
end
check(completed >= 7, "at most the one request in progress is lost")
