-- The store's answer is lost after the write took effect, and the entry dies right after: a resend through the other
-- entry is not told "not run" and does not run a second time.
fleet { entries = 2, targets = 2 }
for n = 1, 10 do
  store "lose-next-answer"
  send { name = "a" .. n, entry = "entry-1", key = "plant-" .. n }
  run(n .. "ms")
  kill "entry-1"
  run "3s"
  send { name = "b" .. n, entry = "entry-2", key = "plant-" .. n }
  run "5s"
  expect("b" .. n, "ended")
  check(runs("a" .. n) + runs("b" .. n) <= 1, "plant-" .. n .. " runs at most once")
  restart "entry-1"
  run "5s"
end
