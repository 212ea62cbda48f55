-- An engine crashes while running requests: their callers get "may have run" and nothing is retried.
fleet { entries = 1, targets = 1 }
send { name = "a", entry = "entry-1", output = 200 }
send { name = "b", entry = "entry-1", output = 200, key = "booking" }
run "500ms"
engine("target-1.engine-1", "crashed")
run "5s"
expect("a", "may-have-run")
expect("b", "may-have-run")
expectRuns("a", 1)
expectRuns("b", 1)
