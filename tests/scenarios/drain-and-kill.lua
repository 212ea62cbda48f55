-- One target is draining and the other dies: requests that cannot be served are refused, the draining target gets none.
fleet { entries = 1, targets = 2 }
drain "target-1"
run "3s"
local before = dispatches "target-1"
kill "target-2"
send { name = "a", entry = "entry-1", deadline = "5s" }
run "20s"
expect("a", "not-run")
check(dispatches "target-1" == before, "a draining target is given nothing")
restart "target-2"
run "15s"
send { name = "b", entry = "entry-1" }
run "5s"
expect("b", "completed")
