fleet { entries = 2, targets = 3, seed = 7 }
for n = 1, 3 do send { name = "r" .. n, entry = "entry-1", tier = n % 2, deadline = "10s" } end
run "250ms"
link { from = "entry-1", to = "target-1", loss = 0.5 }
store "lose-next-answer"
expect("r1", "not-run", "shed")
