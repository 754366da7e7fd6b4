package instance

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// errNoSource is the error of actions that need a ConfigSource or ConfigApplier which is not set.
var errNoSource = Unavailable.New("no configuration source is set")

// runAction executes one action and reports the result to the syncer. Apply actions are executed by startApply.
func (n *Node) runAction(a configsync.Action) {
	switch a.Kind {
	case configsync.ReadHead:
		n.readHead(a)
	case configsync.Fetch:
		n.fetch(a)
	case configsync.FetchSnapshot:
		n.fetchSnapshot(a)
	}
}

// updateSyncer runs a function that reports a result to the syncer in the control goroutine, and executes the actions
// that the function returns.
func (n *Node) updateSyncer(report func(now time.Time) []configsync.Action) {
	n.runInControl(func() {
		n.runActions(report(time.Now()))
		n.storeView()
	})
}

func (n *Node) readHead(a configsync.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	version, err := uint64(0), error(errNoSource)
	if n.source != nil {
		version, err = n.source.Head(ctx)
	}
	n.logFailure(err, "head row could not be read")
	n.updateSyncer(func(now time.Time) []configsync.Action { return n.syncer.HeadRead(version, err, now) })
}

func (n *Node) fetch(a configsync.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	changes, err := n.fetchOrReadChanges(ctx, a)
	trimmed := errors.Is(err, ErrTrimmed)
	if trimmed {
		err = nil
	}
	n.logFailure(err, "configuration changes could not be fetched")
	versions := make([]uint64, len(changes))
	for i, c := range changes {
		versions[i] = c.Version
	}
	n.updateSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.Fetched(a, versions, trimmed, err, now)
		return n.startApply(actions, func(a configsync.Action) { n.apply(a, changes) })
	})
}

// fetchOrReadChanges fetches changes from the peer of the action, or reads them from the ConfigSource if it has none.
func (n *Node) fetchOrReadChanges(ctx context.Context, a configsync.Action) ([]ConfigChange, error) {
	switch {
	case n.applier == nil:
		return nil, errNoSource
	case a.Peer.IsValid():
		return n.FetchChanges(ctx, a.Peer, a.After)
	case n.source == nil:
		return nil, errNoSource
	}
	return n.source.Changes(ctx, a.After)
}

func (n *Node) fetchSnapshot(a configsync.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	s, err := n.fetchOrReadSnapshot(ctx, a)
	n.logFailure(err, "configuration could not be fetched")
	n.updateSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.FetchedSnapshot(a, s.Version, err, now)
		return n.startApply(actions, func(a configsync.Action) { n.applySnapshot(a, s) })
	})
}

// fetchOrReadSnapshot does the same as fetchOrReadChanges for a snapshot.
func (n *Node) fetchOrReadSnapshot(ctx context.Context, a configsync.Action) (ConfigSnapshot, error) {
	switch {
	case n.applier == nil:
		return ConfigSnapshot{}, errNoSource
	case a.Peer.IsValid():
		return n.FetchSnapshot(ctx, a.Peer)
	case n.source == nil:
		return ConfigSnapshot{}, errNoSource
	}
	return n.source.Snapshot(ctx)
}

// startApply starts the Apply action among the actions by calling apply, which has the fetched content, and returns
// the other actions.
func (n *Node) startApply(actions []configsync.Action, apply func(configsync.Action)) []configsync.Action {
	var others []configsync.Action
	for _, a := range actions {
		if a.Kind == configsync.Apply {
			n.start(func() { apply(a) })
			continue
		}
		others = append(others, a)
	}
	return others
}

// apply applies the changes from a.First to a.Last in order, stops at the first that fails, and reports the result
// to the syncer.
func (n *Node) apply(a configsync.Action, changes []ConfigChange) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	var err error
	last := a.First - 1
	for _, c := range changes {
		if c.Version != last+1 || c.Version > a.Last {
			continue
		}
		if err = n.applier.Apply(ctx, c); err != nil {
			break
		}
		n.changeLog.add(c)
		last = c.Version
	}
	n.reportApplied(a, last, err)
}

func (n *Node) applySnapshot(a configsync.Action, s ConfigSnapshot) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	last := a.Last
	err := n.applier.ApplySnapshot(ctx, s)
	if err != nil {
		last = 0
	}
	n.reportApplied(a, last, err)
}

// reportApplied reports the result of an Apply to the syncer, and publishes the active version to the other instances.
func (n *Node) reportApplied(a configsync.Action, last uint64, err error) {
	n.logFailure(err, "configuration could not be applied")
	n.updateSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.Applied(a, last, err, now)
		if v := n.syncer.Version(); v > 0 {
			_ = n.memberList.Publish(membership.ConfigVersion{Number: v}) // A version is never out of bounds.
		}
		return actions
	})
}

// logFailure logs an error, if there is one, unless the node is stopping.
func (n *Node) logFailure(err error, message string) {
	if err != nil && n.ctx.Err() == nil {
		n.logger.Warn().Err(err).Msg(message)
	}
}
