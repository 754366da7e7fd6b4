package membership

// tickSeeds pings seeds that are not live members: often while no other member is known, and now
// and then afterwards, so that parts of the cluster that have forgotten each other meet again.
func (t *MemberList) tickSeeds() {
	if t.now.Before(t.nextSeed) {
		return
	}
	count := 1
	t.nextSeed = t.now.Add(seedInterval)
	if len(t.live) == 0 {
		count = fanout
		t.nextSeed = t.now.Add(joinInterval)
	}
	for _, i := range t.rand.Perm(len(t.seeds)) {
		if count == 0 {
			return
		}
		seed := t.seeds[i]
		if r := t.members[seed]; seed == t.self.Address || r != nil && r.State.Live() {
			continue
		}
		count--
		t.send(t.compose(Ping, seed))
	}
}

// tickDead pings a random dead member with the probability dead/live. The ping tells it that it is
// held dead, so it refutes if it lives.
func (t *MemberList) tickDead() {
	if t.now.Before(t.nextDead) {
		return
	}
	t.nextDead = t.now.Add(deadProbeInterval)
	var dead []*record
	for _, r := range t.gone {
		if r.State == Dead {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 || t.rand.IntN(len(t.live)+1) >= len(dead) {
		return
	}
	t.send(t.compose(Ping, dead[t.rand.IntN(len(dead))].Address))
}
