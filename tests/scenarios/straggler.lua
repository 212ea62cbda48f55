-- One engine becomes ten times slower: the top tier still meets its deadlines on the others.
fleet { entries = 1, targets = 3, slots = 2 }
engine("target-1.engine-1", "slow")
run "1s"
for n = 1, 20 do
  send { name = "r" .. n, entry = "entry-1", deadline = "10s" }
  run "200ms"
end
run "30s"
expectGoodput(0, 0.8)
