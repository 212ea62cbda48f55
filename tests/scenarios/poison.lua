-- A request that crashes every target that runs it is resent ten times through all entries: at most two targets crash,
-- and other requests are served.
fleet { entries = 3, targets = 5 }
for n = 1, 10 do
  send { name = "poison" .. n, entry = "entry-" .. (1 + n % 3), body = "the same", poison = true }
  run "5s"
end
local crashes = 0
for n = 1, 10 do crashes = crashes + runs("poison" .. n) end
check(crashes <= 2, "at most two targets are lost to one request, not " .. crashes)
expect("poison10", "not-run", "suspected-crash")
send { name = "bystander", entry = "entry-1" }
run "10s"
expect("bystander", "completed")
