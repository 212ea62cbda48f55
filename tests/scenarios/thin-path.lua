-- A request is served end to end and its caller gets the complete answer to it.
fleet { entries = 2, targets = 2 }
send { name = "a", entry = "entry-1" }
send { name = "b", entry = "entry-2", key = "roller-1" }
run "5s"
expect("a", "completed")
expectRuns("a", 1)
expect("b", "completed")
expectRuns("b", 1)
