package membership

import (
	"net/netip"
	"time"
)

// verifier checks death reports: records in a digest response that state the death of a member whose record is
// live here. Such a record may be an outdated one from the other side of a healed partition, so it is sent to the
// member itself, which refutes it if it is alive. Until then, the death is neither merged nor gossiped.
type verifier struct {
	reports map[netip.AddrPort]*deathReport
	pending []*deathReport // pending lists reports whose verification has not started
	active  []*deathReport // active lists reports whose members are pinged
}

// deathReport is a reported death that is being verified.
type deathReport struct {
	Member             // Member is the received record, in state Dead.
	deadline time.Time // deadline is when the report is accepted
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
	remaining := v.active[:0]
	for _, d := range v.active {
		if l.continueVerification(d) {
			remaining = append(remaining, d)
		} else {
			delete(v.reports, d.Address)
		}
	}
	clear(v.active[len(remaining):])
	v.active = remaining
}

// startVerification starts the verification of the next pending report that is still contested, and drops the
// reports before it that are not.
func (l *MemberList) startVerification() {
	v := &l.verifier
	for len(v.pending) > 0 {
		d := v.pending[0]
		v.pending = v.pending[1:]
		if l.contested(d) {
			d.deadline = l.now.Add(l.suspicionTimeout())
			v.active = append(v.active, d)
			return
		}
		delete(v.reports, d.Address)
	}
}

// continueVerification pings the member of a report, or accepts the report after its deadline. It returns false if
// the verification has ended.
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

// contested reports whether the member of a death report is live here and has not refuted the report.
func (l *MemberList) contested(d *deathReport) bool {
	r := l.members[d.Address]
	return r != nil && r.State.Live() && d.Supersedes(r.Member)
}
