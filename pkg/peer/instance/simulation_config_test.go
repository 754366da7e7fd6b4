package instance_test

import (
	"errors"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

var errUnreachable = errors.New("unreachable")

// changeBytes is the size of a workspace document and the overhead of a call over a new connection.
const changeBytes, callBytes, headBytes = 2000, 600, 700

// runActions reports the results of the syncer's actions after a delay. An action that fails takes
// its whole timeout, but no more than a dial may take.
func (c *cluster) runActions(p *process, actions []configsync.Action) {
	for _, a := range actions {
		switch {
		case a.Kind == configsync.ReadHead:
			c.fetched += headBytes
			c.completeAction(p, a, !c.storeDown, func(err error) []configsync.Action { return p.syncer.HeadRead(c.head, err, c.now()) })
		case a.Kind == configsync.Apply:
			c.completeAction(p, a, true, func(error) []configsync.Action { return c.apply(p, a) })
		case a.Peer.IsValid():
			peer := c.byAddress[a.Peer]
			c.fetch(p, a, c.reachable(p, peer), func() uint64 { return peer.syncer.Version() })
		default:
			c.storeReads++
			c.fetch(p, a, !c.storeDown, func() uint64 { return c.head })
		}
	}
}

func (c *cluster) fetch(p *process, a configsync.Action, reached bool, version func() uint64) {
	c.completeAction(p, a, reached && c.rand.Float64() >= 3*c.loss, func(err error) []configsync.Action {
		newest := version()
		if a.Kind == configsync.FetchSnapshot {
			return p.syncer.FetchedSnapshot(a, newest, err, c.now())
		}
		var versions []uint64
		for v := a.After + 1; v <= newest && err == nil; v++ {
			versions = append(versions, v)
		}
		c.fetched += callBytes + changeBytes*len(versions)
		return p.syncer.Fetched(a, versions, false, err, c.now())
	})
}

func (c *cluster) completeAction(p *process, a configsync.Action, ok bool, step func(error) []configsync.Action) {
	delay, err := c.between(2*time.Millisecond, 20*time.Millisecond), error(nil)
	if !ok {
		delay, err = min(a.Timeout, time.Second), errUnreachable
	}
	c.after(delay, func() {
		if p.up {
			c.runActions(p, step(err))
		}
	})
}

// apply fails the test if the active version would decrease.
func (c *cluster) apply(p *process, a configsync.Action) []configsync.Action {
	before := p.syncer.Version()
	if a.Last <= before || !a.Snapshot && a.First != before+1 {
		c.t.Errorf("%s applies %d to %d after %d", p.self.Name, a.First, a.Last, before)
	}
	next := p.syncer.Applied(a, a.Last, nil, c.now())
	if v := p.syncer.Version(); v != a.Last {
		c.t.Errorf("%s is at %d after it applied %d", p.self.Name, v, a.Last)
	}
	qt.Assert(c.t, p.memberList.Publish(membership.ConfigVersion{Number: a.Last}), qt.IsNil)
	c.recordVersion(p)
	return next
}
