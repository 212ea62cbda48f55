-- The store's answer is lost after the write took effect: the entry reads its own claim back and the request runs once.
fleet { entries = 2, targets = 2 }
store "lose-next-answer"
send { name = "a", entry = "entry-1", key = "plant-1" }
run "10s"
expect("a", "completed")
expectRuns("a", 1)
send { name = "resend", entry = "entry-2", key = "plant-1" }
run "5s"
expectRuns("resend", 0)
