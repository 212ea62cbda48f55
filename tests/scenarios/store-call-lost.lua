-- The write itself is lost: reading back finds no row, the entry writes again and the request runs once.
fleet { entries = 1, targets = 1 }
store "lose-next-call"
send { name = "a", entry = "entry-1", key = "plant-1" }
run "10s"
expect("a", "completed")
expectRuns("a", 1)
