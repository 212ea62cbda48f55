-- A caller disconnects while its request waits: the request frees its place in the queue and does not run.
fleet { entries = 1, targets = 1, slots = 1 }
send { name = "running", entry = "entry-1", output = 200 }
run "200ms"
send { name = "gone", entry = "entry-1" }
run "100ms"
hangUp "gone"
run "30s"
expectRuns("gone", 0)
expect("running", "completed")
