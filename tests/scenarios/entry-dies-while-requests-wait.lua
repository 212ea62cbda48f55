-- The entry dies while its requests wait: none of them runs later, and the other entry keeps serving.
fleet { entries = 2, targets = 1, slots = 1 }
for n = 1, 5 do
  send { name = "lost" .. n, entry = "entry-1", output = 100 }
end
run "300ms"
kill "entry-1"
run "200ms"
local before = dispatches "target-1"
run "10s"
check(dispatches "target-1" == before, "nothing of a dead entry is dispatched")
send { name = "next", entry = "entry-2" }
run "5s"
expect("next", "completed")
