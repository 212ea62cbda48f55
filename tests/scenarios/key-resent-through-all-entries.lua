-- Requests with one key are sent through every entry at once, and again later: the key runs once.
fleet { entries = 3, targets = 3 }
for n = 1, 3 do
  send { name = "first" .. n, entry = "entry-" .. n, key = "roller" }
end
run "10s"
for n = 1, 3 do
  send { name = "second" .. n, entry = "entry-" .. n, key = "roller" }
end
run "10s"
local ran = 0
for n = 1, 3 do
  ran = ran + runs("first" .. n) + runs("second" .. n)
  expect("second" .. n, "ended")
end
check(ran == 1, "the booking ran once, not " .. ran .. " times")
