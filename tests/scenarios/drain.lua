-- A draining target gets no new requests after a few seconds and finishes those it has.
fleet { entries = 2, targets = 2 }
send { name = "old", entry = "entry-1", output = 600 }
run "500ms"
drain "target-1"
run "3s"
local before = dispatches "target-1"
for n = 1, 30 do
  send { name = "new" .. n, entry = "entry-" .. (1 + n % 2) }
  run "100ms"
end
run "20s"
check(dispatches "target-1" == before, "a draining target is given nothing")
expect("old", "completed")
for n = 1, 30 do expect("new" .. n, "completed") end
