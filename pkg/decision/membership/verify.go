package membership

import (
	"net/netip"
	"time"
)

// verifier checks deaths that a digest response reports of members that are live here. The report may be
// an outdated record from the other side of a healed partition, so it is sent to the member
// itself, which refutes it if it is alive. Nothing is announced meanwhile.
type verifier struct {
	reports map[netip.AddrPort]*deathReport
	pending []*deathReport // pending lists reports whose verification has not started
	probing []*deathReport
}

// deathReport is a reported death that is being verified.
type deathReport struct {
	Member
	deadline time.Time
	nextPing time.Time
}

// queueVerification queues a death report, or replaces an earlier one about the same member.
func (l *MemberList) queueVerification(m Member) {
	v := &l.verifier
	if d := v.reports[m.Address]; d != nil {
		if m.Supersedes(d.Member) {
			d.Member = m
		}
		return
	}
	d := &deathReport{Member: m}
	v.reports[m.Address] = d
	v.pending = append(v.pending, d)
}

// tickVerify starts one verification per tick, which bounds the pings when half of the cluster is reported
// dead, and accepts the reports that were not refuted in time.
func (l *MemberList) tickVerify() {
	v := &l.verifier
	l.startVerification()
	active := v.probing[:0]
	for _, d := range v.probing {
		if l.continueVerification(d) {
			active = append(active, d)
		} else {
			delete(v.reports, d.Address)
		}
	}
	clear(v.probing[len(active):])
	v.probing = active
}

// startVerification starts the verification of the next report that is still contested.
func (l *MemberList) startVerification() {
	v := &l.verifier
	for len(v.pending) > 0 {
		d := v.pending[0]
		v.pending = v.pending[1:]
		if l.contested(d) {
			d.deadline = l.now.Add(l.suspicionTimeout())
			v.probing = append(v.probing, d)
			return
		}
		delete(v.reports, d.Address)
	}
}

// continueVerification advances the verification of a report and reports whether it goes on.
func (l *MemberList) continueVerification(d *deathReport) bool {
	if !l.contested(d) {
		return false
	}
	if !l.now.Before(d.deadline) {
		l.merge(d.Member, fromLocal, l.self.Address)
		return false
	}
	if !l.now.Before(d.nextPing) {
		d.nextPing = l.now.Add(probeInterval)
		l.send(l.newPacket(Ping, d.Address, d.Member))
	}
	return true
}

// contested reports whether a report still concerns a live record that has not refuted it.
func (l *MemberList) contested(d *deathReport) bool {
	r := l.members[d.Address]
	return r != nil && r.State.Live() && d.Supersedes(r.Member)
}
