-- A request that crashes each target that runs it is resent ten times through all entries: at most two targets are lost
-- to it, and bystanders are served.
fleet { entries = 3, targets = 5 }
for n = 1, 10 do
  send { name = "poison" .. n, entry = "entry-" .. (1 + n % 3), body = "the same", poison = true }
  run "5s"
end
local lost = 0
for n = 1, 10 do lost = lost + runs("poison" .. n) end
check(lost <= 2, "at most two targets are lost to one request, not " .. lost)
expect("poison10", "not-run", "suspected-crash")
send { name = "bystander", entry = "entry-1" }
run "10s"
expect("bystander", "completed")
