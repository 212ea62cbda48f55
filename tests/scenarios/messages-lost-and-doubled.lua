-- Messages are lost and duplicated on every link: nothing runs twice and every caller gets a correct verdict.
fleet { entries = 2, targets = 2, seed = 7 }
for e = 1, 2 do
  for t = 1, 2 do
    link { from = "entry-" .. e, to = "target-" .. t, loss = 0.2, duplicate = 0.3 }
  end
end
for n = 1, 40 do
  send { name = "r" .. n, entry = "entry-" .. (1 + n % 2), key = "key-" .. n, deadline = "20s" }
  run "50ms"
end
run "90s"
for n = 1, 40 do expect("r" .. n, "ended") end
