-- A target is paused after its claim, while the hand-over is in flight: after resuming, its claim has expired and it
-- does not dispatch the request from its inbox, also when it was drained in the meantime.
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
