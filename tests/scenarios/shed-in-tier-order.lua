-- All tiers are overloaded at both entries: no request of a higher tier is shed while one of a lower tier is accepted.
fleet { entries = 2, targets = 2, slots = 2, tiers = 3 }
for step = 1, 40 do
  for tier = 0, 2 do
    send { name = tier .. "-" .. step, entry = "entry-" .. (1 + step % 2), tier = tier, deadline = "4s", output = 60 }
  end
  run "100ms"
end
run "30s"
local ran = { [0] = 0, [1] = 0, [2] = 0 }
for step = 1, 40 do
  for tier = 0, 2 do
    ran[tier] = ran[tier] + runs(tier .. "-" .. step)
  end
end
check(ran[0] >= ran[1], "tier 0 gets at least what tier 1 gets")
check(ran[1] >= ran[2], "tier 1 gets at least what tier 2 gets")
expectGoodput(0, 0.9)
