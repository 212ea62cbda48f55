-- Answer chunks are duplicated on slow links: an inconsistent answer is not delivered and its caller gets "may have
-- run".
fleet { entries = 2, targets = 3 }
for e = 1, 2 do
  for t = 1, 3 do
    link { from = "entry-" .. e, to = "target-" .. t, delay = (e * t * 40) .. "ms", duplicate = 0.3 }
  end
end
for n = 1, 30 do
  send { name = "r" .. n, entry = "entry-" .. (1 + n % 2), output = n % 7 }
end
run "60s"
local completed = 0
for n = 1, 30 do
  expect("r" .. n, "ended")
  check(verdict("r" .. n) ~= "not-run", "r" .. n .. " was handed over once")
  if verdict("r" .. n) == "completed" then completed = completed + 1 end
end
check(completed > 0, "some answers arrive whole")
