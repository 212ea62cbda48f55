-- A graceful shutdown of an entry interrupts no request and accepts no new ones.
fleet { entries = 2, targets = 1, slots = 1 }
for n = 1, 4 do
  send { name = "r" .. n, entry = "entry-1", output = 100 }
end
run "300ms"
stop "entry-1"
run "50ms"
expectAlive "entry-1"
send { name = "late", entry = "entry-1" }
run "30s"
for n = 1, 4 do expect("r" .. n, "completed") end
expect("late", "not-run", "stopping")
expectGone "entry-1"
