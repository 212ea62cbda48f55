-- The table service is down for ten minutes: idempotent requests are served, the others are refused at once as "not
-- run".
fleet { entries = 2, targets = 2 }
store "down"
run "10min"
send { name = "draft", entry = "entry-1" }
send { name = "booking", entry = "entry-2", key = "roller-7" }
run "5s"
expect("draft", "completed")
expect("booking", "not-run", "store-unavailable")
store "up"
run "5s"
send { name = "again", entry = "entry-2", key = "roller-7" }
run "5s"
expect("again", "completed")
