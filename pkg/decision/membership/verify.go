package membership

import (
	"net/netip"
	"time"
)

// verifier checks deaths that the answer to a digest claims of members that are live here. What it
// says may be what the other side of a healed cut still believes, so the claim is told to the member
// itself, which refutes it if it lives. Nothing is announced meanwhile.
type verifier struct {
	claims  map[netip.AddrPort]*claim
	waiting []*claim // waiting lists claims that are not told yet
	told    []*claim
}

// claim is a death that is being checked.
type claim struct {
	Member
	deadline time.Time
	nextPing time.Time
}

// verify queues a claim, or replaces the one about the same member by a later one.
func (t *MemberList) verify(m Member) {
	v := &t.verifier
	if c := v.claims[m.Address]; c != nil {
		if m.Supersedes(c.Member) {
			c.Member = m
		}
		return
	}
	c := &claim{Member: m}
	v.claims[m.Address] = c
	v.waiting = append(v.waiting, c)
}

// tickVerify starts one check per tick, which bounds the pings when half of the cluster is claimed
// dead, and concludes those that were not refuted in time.
func (t *MemberList) tickVerify() {
	v := &t.verifier
	t.startCheck()
	told := v.told[:0]
	for _, c := range v.told {
		if t.check(c) {
			told = append(told, c)
		} else {
			delete(v.claims, c.Address)
		}
	}
	clear(v.told[len(told):])
	v.told = told
}

// startCheck starts the check of the next claim that still stands.
func (t *MemberList) startCheck() {
	v := &t.verifier
	for len(v.waiting) > 0 {
		c := v.waiting[0]
		v.waiting = v.waiting[1:]
		if t.stands(c) {
			c.deadline = t.now.Add(t.patience())
			v.told = append(v.told, c)
			return
		}
		delete(v.claims, c.Address)
	}
}

// check reports whether the check of a claim goes on.
func (t *MemberList) check(c *claim) bool {
	if !t.stands(c) {
		return false
	}
	if !t.now.Before(c.deadline) {
		t.merge(c.Member, local, t.self.Address)
		return false
	}
	if !t.now.Before(c.nextPing) {
		c.nextPing = t.now.Add(probeInterval)
		t.send(t.compose(Ping, c.Address, c.Member))
	}
	return true
}

// stands reports whether a claim still concerns a live record that has not refuted it.
func (t *MemberList) stands(c *claim) bool {
	r := t.members[c.Address]
	return r != nil && r.State.Live() && c.Supersedes(r.Member)
}
