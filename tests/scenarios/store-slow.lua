-- The table service answers after seconds: each key still runs at most once, each caller is told the truth.
fleet { entries = 2, targets = 2 }
store "slow"
send { name = "a", entry = "entry-1", key = "plant-3" }
send { name = "b", entry = "entry-2", key = "plant-3" }
send { name = "draft", entry = "entry-1" }
run "30s"
expect("draft", "completed")
expect("a", "ended")
expect("b", "ended")
check(runs "a" + runs "b" <= 1, "one key runs at most once")
