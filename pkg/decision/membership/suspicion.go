package membership

import "time"

// suspicion is the state of a suspected member, which it may refute.
type suspicion struct {
	index          int // index is the position in MemberList.suspects
	deadline       time.Time
	fromLocalProbe bool      // fromLocalProbe is set if a probe by this member failed
	nextPing       time.Time // nextPing is when the suspect is pinged again with a local suspicion
}

// suspicionTimeout is the base suspicion timeout, multiplied while the local health score is above 0.
func (l *MemberList) suspicionTimeout() time.Duration {
	return baseSuspicionTimeout * time.Duration(1+l.probes.healthScore)
}

// suspect records that a probe by this member failed.
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

// extendDeadlines extends the deadlines of other members by the time that this process was paused or starved of
// CPU, in which their answers could not be read.
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
	for _, d := range l.verifier.probing {
		d.deadline = d.deadline.Add(gap)
	}
}

// expireSuspicions declares members dead that did not refute in time, and pings members that this member suspects
// itself, since gossip may reach them too late to refute.
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
