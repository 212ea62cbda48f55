-- An entry is paused for a minute, longer than its lease, and resumed: a request that it still hands over has not run
-- elsewhere.
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
