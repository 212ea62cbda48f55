-- A request whose deadline no engine can meet is refused as "not run" before any prefill.
fleet { entries = 1, targets = 1, slots = 1 }
send { name = "running", entry = "entry-1", output = 400 }
run "500ms"
send { name = "hurry", entry = "entry-1", deadline = "100ms", output = 50 }
run "10s"
expect("hurry", "not-run")
expectRuns("hurry", 0)
