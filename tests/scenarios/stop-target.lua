-- A graceful shutdown of a target interrupts no request: running ones finish, waiting ones move to other targets, and
-- the process ends by itself.
fleet { entries = 1, targets = 2, slots = 2 }
for n = 1, 8 do
  send { name = "r" .. n, entry = "entry-1", output = 200 }
end
run "500ms"
stop "target-1"
run "60s"
for n = 1, 8 do
  expect("r" .. n, "completed")
  expectRuns("r" .. n, 1)
end
expectGone "target-1"
