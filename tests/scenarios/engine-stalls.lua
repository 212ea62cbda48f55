-- An engine accepts requests but produces no output: they end with a correct verdict, others run elsewhere.
fleet { entries = 1, targets = 2 }
engine("target-1.engine-1", "stalled")
for n = 1, 6 do
  send { name = "r" .. n, entry = "entry-1", deadline = "8s" }
end
run "60s"
for n = 1, 6 do expect("r" .. n, "ended") end
