-- A burst of ten times the fleet's capacity: the top tier meets its deadlines, the others get correct verdicts.
fleet { entries = 2, targets = 2, slots = 2, tiers = 3 }
for n = 1, 60 do
  send { name = "low" .. n, entry = "entry-" .. (1 + n % 2), tier = 2, deadline = "5s", output = 100 }
end
run "500ms"
for n = 1, 4 do
  send { name = "top" .. n, entry = "entry-" .. (1 + n % 2), tier = 0, deadline = "10s", output = 100 }
end
run "60s"
expectGoodput(0, 1)
for n = 1, 60 do expect("low" .. n, "ended") end
