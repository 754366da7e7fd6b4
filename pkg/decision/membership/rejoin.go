package membership

// tickSeeds pings seeds that are not live members: three each joinInterval while no other member is known, and one
// each seedInterval afterwards, so that partitions of the cluster that have removed each other's records join again.
func (l *MemberList) tickSeeds() {
	if l.now.Before(l.nextSeed) {
		return
	}
	count := 1
	l.nextSeed = l.now.Add(seedInterval)
	if len(l.live) == 0 {
		count = fanout
		l.nextSeed = l.now.Add(joinInterval)
	}
	for _, i := range l.rand.Perm(len(l.seeds)) {
		if count == 0 {
			return
		}
		seed := l.seeds[i]
		if r := l.members[seed]; seed == l.self.Address || r != nil && r.State.Live() {
			continue
		}
		count--
		l.send(l.newPacket(Ping, seed))
	}
}

// tickDead pings a random dead member with the probability dead/live. The ping contains the member's dead record,
// so that the member refutes the record if it is alive.
func (l *MemberList) tickDead() {
	if l.now.Before(l.nextDead) {
		return
	}
	l.nextDead = l.now.Add(deadProbeInterval)
	var dead []*record
	for _, r := range l.deadOrLeft {
		if r.State == Dead {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 || l.rand.IntN(len(l.live)+1) >= len(dead) {
		return
	}
	l.send(l.newPacket(Ping, dead[l.rand.IntN(len(dead))].Address))
}
