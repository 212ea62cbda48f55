-- The target dies between the claim and the first byte of the answer: the caller does not get "not run".
fleet { entries = 1, targets = 1 }
send { name = "a", entry = "entry-1", prompt = 5000 }
run "300ms"
expectRuns("a", 1)
kill "target-1"
run "10s"
expect("a", "may-have-run")
expectRuns("a", 1)
