-- The table service takes seconds to answer: each key runs at most once and each caller gets a correct verdict.
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
