package gateway

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// receive takes in a bulletin.
func (p *peers) receive(from netip.AddrPort, b *instancepb.StatusUpdate) {
	s := p.station
	now := time.Now()
	if b.GetHasLoads() {
		loads := make(map[uint64]targetstats.Load, len(b.GetLoads()))
		for _, l := range b.GetLoads() {
			loads[l.GetTarget()] = targetstats.Load{KVCells: l.GetCells(), Streams: int(l.GetStreams())}
		}
		s.meter.SetRemoteLoads(from.String(), loads, now)
	}
	for _, name := range b.GetLost() {
		p.receiveLost(name)
	}
	if rows := b.GetTargets(); len(rows) > 0 && s.listed.Load() {
		var c Change
		for _, r := range rows {
			c.Rows = append(c.Rows, Row{Name: r.GetName(), Value: r.GetValue(), Revision: r.GetRevision(), Removed: r.GetRemoved()})
		}
		s.knowledge.list(c, 0, now)
	}
	for _, placed := range b.GetPlaced() {
		s.knowledge.hear(placed.GetTarget(), layer.Range{First: int(placed.GetFirst()), End: int(placed.GetEnd())}, now)
	}
	if l := b.GetLease(); l != nil {
		p.mu.Lock()
		p.lease, p.leaseRow = now, l
		p.mu.Unlock()
		s.leader.observe(lease.Row{Revision: l.GetRevision(), Value: l.GetValue()})
	}
	if b.GetAlone() {
		p.forgetReaders()
	}
	if d := b.GetDigest(); d != 0 {
		p.compare(d, now)
	}
	p.receiveProof(from, b)
}

func (p *peers) receiveLost(name string) {
	if t, ok := p.station.knowledge.target(name); ok {
		go p.station.server.TargetDead(t) // It may tell others, which waits for the node.
	}
}

// compare notes whether the list is the same as that of an instance that reads it from the store.
func (p *peers) compare(digest uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = now
	switch {
	case digest == p.station.knowledge.digest.Load():
		p.differs = time.Time{}
	case p.differs.IsZero():
		p.differs = now
	}
}

// told reports whether a reader keeps the list up to date here.
func (p *peers) told(now time.Time) bool {
	if p.reads() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.differs.IsZero() && now.Sub(p.differs) > digestPatience {
		p.differs = time.Time{}
		return false
	}
	return now.Sub(p.heard) < readerLife
}

// forgetReaders makes this instance ask the store itself until it hears of a reader again.
func (p *peers) forgetReaders() {
	p.mu.Lock()
	p.heard = time.Time{}
	p.mu.Unlock()
	notify(p.wake)
}

// readers reports whether an instance that has the list from the store itself was heard lately.
func (p *peers) readers(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heard) < readerLife
}

// leaseHeard reports whether the holder of the lease has told of it lately.
func (p *peers) leaseHeard(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lease) < 2*bulletinInterval
}

// passOnLease returns the row of the lease as its holder told it.
func (p *peers) passOnLease() *instancepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRow
}

// receiveProof answers a question for the proof of the configuration, and takes in an answer.
func (p *peers) receiveProof(from netip.AddrPort, b *instancepb.StatusUpdate) {
	k := p.station.knowledge
	_, revision := k.version()
	if b.GetQuestion() != 0 {
		if age, ok := k.age(); ok {
			p.send([]netip.AddrPort{from}, &instancepb.StatusUpdate{Answer: b.GetQuestion(), AgeNs: int64(age), Revision: revision})
		}
	}
	if b.GetAnswer() != 0 && b.GetRevision() == revision && b.GetAgeNs() >= 0 {
		// The proof was the age old after the question was sent.
		k.prove(time.Duration(b.GetAnswer()) - time.Duration(b.GetAgeNs()))
	}
	if b.GetRevision() > revision {
		p.mu.Lock()
		if b.GetRevision() >= p.newest {
			p.newest, p.holder = b.GetRevision(), from
		}
		p.mu.Unlock()
		notify(p.wake)
	}
}

// behind reports whether a newer configuration is known of than the one in force.
func (p *peers) behind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, revision := p.station.knowledge.version()
	return p.newest > revision
}
