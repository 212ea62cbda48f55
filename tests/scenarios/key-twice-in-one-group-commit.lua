-- Two requests with the same key wait at one entry for the same group commit: one of them runs.
fleet { entries = 1, targets = 1 }
send { name = "first", entry = "entry-1", key = "other" }
send { name = "a", entry = "entry-1", key = "roller" }
send { name = "b", entry = "entry-1", key = "roller" }
run "10s"
check(runs "a" + runs "b" == 1, "the booking ran once, not " .. runs "a" + runs "b" .. " times")
