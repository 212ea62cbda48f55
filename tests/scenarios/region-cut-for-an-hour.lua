-- Two regions cannot reach each other for an hour: each serves from its own targets, and they share targets again
-- afterwards.
fleet { entries = 2, targets = 2, regions = 2 }
link { from = "entry-1", to = "target-2", cut = true }
link { from = "entry-2", to = "target-1", cut = true }
link { from = "entry-1", to = "entry-2", cut = true }
for n = 1, 12 do
  send { name = "north" .. n, entry = "entry-1" }
  send { name = "south" .. n, entry = "entry-2" }
  run "5min"
  expect("north" .. n, "completed")
  expect("south" .. n, "completed")
end
link { from = "entry-1", to = "target-2" }
link { from = "entry-2", to = "target-1" }
link { from = "entry-1", to = "entry-2" }
run "10s"
kill "target-1"
run "5s"
send { name = "after", entry = "entry-1" }
run "10s"
expect("after", "completed")
