package instance

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// errNoSource is the error of actions if the node has no ConfigSource or no ConfigApplier.
var errNoSource = Unavailable.New("no configuration source is set")

// runAction executes one action and reports the result to the syncer.
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

// stepSyncer runs a step of the syncer in the control goroutine and executes the actions that it returns.
func (n *Node) stepSyncer(step func(now time.Time) []configsync.Action) {
	n.runInControl(func() {
		n.runActions(step(time.Now()))
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
	n.stepSyncer(func(now time.Time) []configsync.Action { return n.syncer.HeadRead(version, err, now) })
}

func (n *Node) fetch(a configsync.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	changes, err := n.changes(ctx, a)
	trimmed := errors.Is(err, ErrTrimmed)
	if trimmed {
		err = nil
	}
	n.logFailure(err, "configuration changes could not be fetched")
	versions := make([]uint64, len(changes))
	for i, c := range changes {
		versions[i] = c.Version
	}
	n.stepSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.Fetched(a, versions, trimmed, err, now)
		return n.startApply(actions, func(a configsync.Action) { n.apply(a, changes) })
	})
}

func (n *Node) changes(ctx context.Context, a configsync.Action) ([]ConfigChange, error) {
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
	s, err := n.snapshot(ctx, a)
	n.logFailure(err, "configuration could not be fetched")
	n.stepSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.FetchedSnapshot(a, s.Version, err, now)
		return n.startApply(actions, func(a configsync.Action) { n.applySnapshot(a, s) })
	})
}

func (n *Node) snapshot(ctx context.Context, a configsync.Action) (ConfigSnapshot, error) {
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

// startApply starts the apply action among the actions, which needs the fetched content, and returns the
// other actions.
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

// apply applies the changes from a.First to a.Last in order and stops at the first that fails.
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

// reportApplied reports the active version to the syncer and to the other instances.
func (n *Node) reportApplied(a configsync.Action, last uint64, err error) {
	n.logFailure(err, "configuration could not be applied")
	n.stepSyncer(func(now time.Time) []configsync.Action {
		actions := n.syncer.Applied(a, last, err, now)
		if v := n.syncer.Version(); v > 0 {
			_ = n.memberList.Publish(membership.ConfigVersion{Number: v}) // A version is never out of bounds.
		}
		return actions
	})
}

func (n *Node) logFailure(err error, message string) {
	if err != nil && n.ctx.Err() == nil {
		n.logger.Warn().Err(err).Msg(message)
	}
}
