-- An entry and a target die at the same moment; the rest of the fleet keeps serving.
fleet { entries = 2, targets = 3 }
for n = 1, 12 do
  send { name = "r" .. n, entry = "entry-" .. (1 + n % 2), output = 100, key = "key-" .. n }
end
run "200ms"
kill "entry-1"
kill "target-1"
run "20s"
send { name = "next", entry = "entry-2" }
run "10s"
expect("next", "completed")
for n = 1, 12 do expect("r" .. n, "ended") end
