-- An entry stands still for a minute and goes on: what it hands over then has not run elsewhere.
fleet { entries = 2, targets = 2 }
send { name = "a", entry = "entry-1", key = "roller", output = 50 }
run "2ms"
pause "entry-1"
run "10s"
send { name = "b", entry = "entry-2", key = "roller" }
run "50s"
resume "entry-1"
run "30s"
expect("a", "ended")
expect("b", "ended")
check(runs "a" + runs "b" <= 1, "the booking runs at most once")
