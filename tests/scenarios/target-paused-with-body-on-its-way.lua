-- A target stands still after it claimed, with the body on its way: its claim has lapsed when it goes on, and it doesn't
-- dispatch what it finds in its inbox, also when it was drained meanwhile.
fleet { entries = 1, targets = 2 }
link { from = "entry-1", to = "target-1", delay = "100ms" }
drain "target-2"
run "3s"
send { name = "a", entry = "entry-1" }
run "250ms"
pause "target-1"
run "500ms"
drain "target-1"
undrain "target-2"
run "5s"
resume "target-1"
run "10s"
check(dispatches "target-1" == 0, "a lapsed claim is not dispatched")
expect("a", "ended")
