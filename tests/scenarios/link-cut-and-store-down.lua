-- The link to a target is cut while the store is down.
fleet { entries = 1, targets = 2 }
send { name = "a", entry = "entry-1", output = 100 }
send { name = "b", entry = "entry-1", output = 100, key = "roller" }
run "300ms"
store "down"
link { from = "entry-1", to = "target-1", cut = true }
run "20s"
send { name = "c", entry = "entry-1" }
run "5s"
expect("a", "ended")
expect("b", "ended")
expect("c", "completed")
