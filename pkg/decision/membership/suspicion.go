package membership

import "time"

// suspicion is a member's chance to refute.
type suspicion struct {
	index    int // index is the position in Table.suspects
	deadline time.Time
	own      bool      // own is set if this table's probe failed
	nextPing time.Time // nextPing is when an own suspicion is told to the suspect again
}

// patience is the suspicion time, longer while this member itself seems unwell.
func (t *MemberList) patience() time.Duration {
	return suspicionTime * time.Duration(1+t.probes.health)
}

// suspect records that a probe of this table failed.
func (t *MemberList) suspect(r *record) {
	if !r.State.Live() {
		return
	}
	if r.State == Alive {
		m := r.Member
		m.State = Suspect
		t.merge(m, local, t.self.Address)
	}
	s := r.suspicion
	if s == nil || s.own {
		return
	}
	s.own = true
	s.nextPing = t.now
	if d := t.now.Add(t.patience()); d.Before(s.deadline) {
		s.deadline = d
	}
}

// stallLimit is the time between ticks from which on this process counts as paused.
const stallLimit = 10 * TickInterval

// excuseStall gives the others the time that this process was paused or starved, in which their
// answers could not be read.
func (t *MemberList) excuseStall() {
	gap := t.now.Sub(t.lastTick)
	stalled := !t.lastTick.IsZero() && gap > stallLimit
	t.lastTick = t.now
	if !stalled {
		return
	}
	t.probes.target = nil
	for _, r := range t.suspects {
		r.suspicion.deadline = r.suspicion.deadline.Add(gap)
	}
	for _, c := range t.verifier.told {
		c.deadline = c.deadline.Add(gap)
	}
}

// expireSuspicions declares members dead that did not refute, and tells suspects of this table's
// own suspicions directly, since news may reach them too late to refute.
func (t *MemberList) expireSuspicions() {
	for i := len(t.suspects) - 1; i >= 0; i-- {
		r := t.suspects[i]
		s := r.suspicion
		if !t.now.Before(s.deadline) {
			m := r.Member
			m.State = Dead
			t.merge(m, local, t.self.Address)
			continue
		}
		if s.own && !t.now.Before(s.nextPing) {
			s.nextPing = t.now.Add(probeInterval)
			t.send(t.compose(Ping, r.Address))
		}
	}
}
