-- While the regions cannot reach each other, a key used in one is sent again in the other: it runs at most once.
fleet { entries = 2, targets = 2, regions = 2 }
send { name = "a", entry = "entry-1", key = "roller", output = 400 }
run "100ms"
link { from = "entry-1", to = "target-2", cut = true }
link { from = "entry-2", to = "target-1", cut = true }
link { from = "entry-1", to = "entry-2", cut = true }
run "1s"
send { name = "b", entry = "entry-2", key = "roller" }
run "30s"
expect("b", "ended")
check(verdict "b" ~= "not-run", "the booking may have run, and its resend is not told otherwise")
check(runs "a" + runs "b" <= 1, "the booking runs at most once")
