-- A request that once ran on the same engine as a poison request is not refused later.
fleet { entries = 1, targets = 3 }
send { name = "good", entry = "entry-1", output = 400, body = "good" }
send { name = "poison", entry = "entry-1", poison = true, body = "bad" }
run "20s"
send { name = "again", entry = "entry-1", body = "good" }
run "20s"
expect("again", "completed")
