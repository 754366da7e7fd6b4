package instance_test

import (
	"errors"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

var errUnreachable = errors.New("unreachable")

const (
	// changeBytes is the size of a workspace document, counted for each change.
	changeBytes = 2000
	// callBytes is the overhead of a call over a new connection.
	callBytes = 600
	// headBytes is the traffic of a read of the head row.
	headBytes = 700
	// fetchLossFactor is the probability that a fetch fails, as a multiple of the packet loss rate. A fetch takes
	// several packets.
	fetchLossFactor = 3
)

// runActions simulates the syncer's actions, and passes their results to the syncer after a delay.
func (c *cluster) runActions(p *process, actions []configsync.Action) {
	for _, a := range actions {
		switch {
		case a.Kind == configsync.ReadHead:
			c.fetchedBytes += headBytes
			c.completeAction(p, a, !c.storeDown, func(err error) []configsync.Action {
				return p.syncer.HeadRead(c.headVersion, err, c.now())
			})
		case a.Kind == configsync.Apply:
			c.completeAction(p, a, true, func(error) []configsync.Action { return c.apply(p, a) })
		case a.Peer.IsValid():
			peer := c.byAddress[a.Peer]
			c.fetch(p, a, c.reachable(p, peer), func() uint64 { return peer.syncer.Version() })
		default:
			c.storeReads++
			c.fetch(p, a, !c.storeDown, func() uint64 { return c.headVersion })
		}
	}
}

// fetch simulates a fetch from a peer or the store, which has the given version when the fetch completes.
func (c *cluster) fetch(p *process, a configsync.Action, reachable bool, version func() uint64) {
	c.completeAction(p, a, reachable && c.rand.Float64() >= fetchLossFactor*c.lossRate, func(err error) []configsync.Action {
		newest := version()
		if a.Kind == configsync.FetchSnapshot {
			return p.syncer.FetchedSnapshot(a, newest, err, c.now())
		}
		var versions []uint64
		for v := a.After + 1; v <= newest && err == nil; v++ {
			versions = append(versions, v)
		}
		c.fetchedBytes += callBytes + changeBytes*len(versions)
		return p.syncer.Fetched(a, versions, false, err, c.now())
	})
}

// completeAction calls onComplete with the result of an action after a delay, and runs the actions that it returns. An
// action that fails takes its timeout, limited to the dial timeout of 1 s.
func (c *cluster) completeAction(p *process, a configsync.Action, ok bool, onComplete func(error) []configsync.Action) {
	delay, err := c.between(2*time.Millisecond, 20*time.Millisecond), error(nil)
	if !ok {
		delay, err = min(a.Timeout, time.Second), errUnreachable
	}
	c.after(delay, func() {
		if p.up {
			c.runActions(p, onComplete(err))
		}
	})
}

// apply applies a version range or a snapshot. It fails the test if the range does not follow the active version, or
// if the snapshot's version is not higher.
func (c *cluster) apply(p *process, a configsync.Action) []configsync.Action {
	before := p.syncer.Version()
	if a.Last <= before || !a.Snapshot && a.First != before+1 {
		c.t.Errorf("%s applies versions %d-%d while at version %d", p.self.Name, a.First, a.Last, before)
	}
	next := p.syncer.Applied(a, a.Last, nil, c.now())
	if v := p.syncer.Version(); v != a.Last {
		c.t.Errorf("%s is at %d after it applied %d", p.self.Name, v, a.Last)
	}
	qt.Assert(c.t, p.memberList.Publish(membership.ConfigVersion{Number: a.Last}), qt.IsNil)
	c.recordVersion(p)
	return next
}
