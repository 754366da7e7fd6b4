package membership

import "time"

// suspicion is kept for a member in state Suspect, until the member refutes it or is declared dead.
type suspicion struct {
	index          int       // index is the position in MemberList.suspects
	deadline       time.Time // deadline is when the member is declared dead
	fromLocalProbe bool      // fromLocalProbe is set if a probe by this member failed
	nextPing       time.Time // nextPing is when the member is pinged again, if fromLocalProbe is set
}

// suspicionTimeout returns the base suspicion timeout, multiplied by the local health score plus 1.
func (l *MemberList) suspicionTimeout() time.Duration {
	return baseSuspicionTimeout * time.Duration(1+l.probes.healthScore)
}

// suspect records that a probe by this member failed. If the member was already suspected because of a report by
// another member, its deadline is shortened to that of a local suspicion.
func (l *MemberList) suspect(r *record) {
	if !r.State.Live() {
		return
	}
	if r.State == Alive {
		m := r.Member
		m.State = Suspect
		l.merge(m, fromLocal, l.self.Address)
	}
	s := r.suspicion
	if s == nil || s.fromLocalProbe {
		return
	}
	s.fromLocalProbe = true
	s.nextPing = l.now
	if d := l.now.Add(l.suspicionTimeout()); d.Before(s.deadline) {
		s.deadline = d
	}
}

// pauseThreshold is the time between ticks above which this process is considered to have been paused.
const pauseThreshold = 10 * TickInterval

// extendDeadlines detects that this process was paused or starved of CPU, and extends the deadlines of other members
// by this time, in which their answers could not be read. It drops the running probe for the same reason.
func (l *MemberList) extendDeadlines() {
	gap := l.now.Sub(l.lastTick)
	paused := !l.lastTick.IsZero() && gap > pauseThreshold
	l.lastTick = l.now
	if !paused {
		return
	}
	l.probes.target = nil
	for _, r := range l.suspects {
		r.suspicion.deadline = r.suspicion.deadline.Add(gap)
	}
	for _, d := range l.verifier.active {
		d.deadline = d.deadline.Add(gap)
	}
}

// expireSuspicions declares members dead that did not refute their suspicion in time. It pings members whose probe
// by this member failed, since the suspicion may reach them too late by gossip for a refutation.
func (l *MemberList) expireSuspicions() {
	for i := len(l.suspects) - 1; i >= 0; i-- {
		r := l.suspects[i]
		s := r.suspicion
		if !l.now.Before(s.deadline) {
			m := r.Member
			m.State = Dead
			l.merge(m, fromLocal, l.self.Address)
			continue
		}
		if s.fromLocalProbe && !l.now.Before(s.nextPing) {
			s.nextPing = l.now.Add(probeInterval)
			l.send(l.newPacket(Ping, r.Address))
		}
	}
}
