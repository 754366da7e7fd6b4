package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// configurationWait is how long a call waits for a change of the configuration. Its start confirms the active
	// configuration, but only once it has ended, so that a configuration's age grows to up to twice this time.
	configurationWait = 1400 * time.Millisecond
	// targetsWait is the same for the target list. It is well below the time in which a leaving target must get no more
	// work, so that others notice in time that a watcher is disconnected from the store.
	targetsWait = 800 * time.Millisecond
	// targetsInterval is the time between two reads of target changes, so that changes in quick succession are read
	// together.
	targetsInterval = 200 * time.Millisecond
	// confirmTick is how often an instance that is not a watcher checks the age of its configuration. It asks watchers to
	// confirm it after confirmRefresh, and the store itself after confirmOverdue.
	confirmTick    = 400 * time.Millisecond
	confirmRefresh = 900 * time.Millisecond
	confirmOverdue = 4200 * time.Millisecond
	// confirmWithoutWatcher is the age at which it asks the store while no watcher is heard from.
	confirmWithoutWatcher = 500 * time.Millisecond
	// watcherCheckInterval is how often an instance that is not a watcher checks whether a watcher still sends it the
	// target list.
	watcherCheckInterval = 300 * time.Millisecond
	// storeTimeout is how long an answer of the store may take beyond the wait.
	storeTimeout = 300 * time.Millisecond
	// storeFailureTTL is how long a failed read of the configuration suppresses other reads of the store. These check
	// every storeFailureTick whether they may continue.
	storeFailureTTL  = 2 * time.Second
	storeFailureTick = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the mean delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// backoff is an exponential backoff with random jitter, so that instances that failed together do not retry together.
type backoff struct {
	next time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	waitFor(ctx, b.next/2+rand.N(b.next))
}

func (b *backoff) reset() { b.next = 0 }

// waitFor sleeps until the delay or the context has ended. Its callers check the context themselves.
func waitFor(ctx context.Context, d time.Duration) { _ = sleep.For(ctx, d) }

// watchConfiguration keeps the active configuration up to date. A watcher waits at the store for changes; the other
// instances receive them from watchers, and ask watchers to confirm their configuration.
func (g *Gateway) watchConfiguration(ctx context.Context) {
	var revision uint64
	var retry backoff
	for ctx.Err() == nil {
		if !g.configurationDue(ctx) {
			continue
		}
		started := bootTime()
		change, err := g.readConfiguration(ctx, revision)
		g.logStoreState("Configuration", err)
		if errors.Is(err, ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			g.storeFailedAt.Store(time.Now().UnixNano())
			g.peers.sendDisconnected()
			g.peers.requestConfirmation()
			g.peers.fetchConfiguration(ctx)
			retry.wait(ctx)
			continue
		}
		g.storeFailedAt.Store(0)
		retry.reset()
		before, _ := g.cache.version()
		for _, row := range change.Rows {
			if row.Name == g.platform.ConfigurationKey {
				g.cache.applyConfiguration(row)
			}
		}
		revision = change.Revision
		version, activeRevision := g.cache.version()
		if version == 0 {
			retry.wait(ctx) // No configuration has been written yet.
			continue
		}
		if change.Revision >= activeRevision { // An older answer confirms nothing.
			g.cache.confirm(started)
		}
		if version != before {
			g.peers.sendRevision()
		}
	}
}

// configurationDue waits until the configuration may have to be read from the store, and reports whether it has to be.
func (g *Gateway) configurationDue(ctx context.Context) bool {
	age, confirmed := g.cache.age()
	if version, _ := g.cache.version(); version == 0 || !confirmed || g.peers.isWatcher() || age > confirmOverdue {
		return true
	}
	if age > confirmWithoutWatcher && !g.peers.watcherSeen(time.Now()) {
		return true
	}
	select {
	case <-g.peers.wake:
		g.peers.fetchConfiguration(ctx)
		return g.peers.behind() || !g.peers.watcherSeen(time.Now())
	case <-ctx.Done():
		return false
	case <-time.After(confirmTick):
	}
	if age, _ = g.cache.age(); age > confirmRefresh {
		g.peers.requestConfirmation()
	}
	return false
}

// readConfiguration reads the configuration from the store. Only a watcher waits for a change.
func (g *Gateway) readConfiguration(ctx context.Context, revision uint64) (Change, error) {
	switch {
	case revision == 0:
		return g.platform.Store.Configuration(ctx)
	case g.peers.isWatcher():
		return g.platform.Store.WatchConfiguration(ctx, revision, configurationWait)
	default:
		return g.platform.Store.WatchConfiguration(ctx, revision, 0)
	}
}

// watchTargets keeps the target list up to date. A watcher reads it from the store and sends it to the others.
func (g *Gateway) watchTargets(ctx context.Context) {
	var revision uint64
	var retry backoff
	var failing time.Time // failing is when the first of the failing calls began; zero after an answer.
	for ctx.Err() == nil {
		now := time.Now()
		if g.targetsLoaded.Load() && g.peers.updatedByWatcher(now) {
			g.cache.expire(now)
			revision, failing = 0, time.Time{}
			g.targetsPolledAt.Store(0)
			waitFor(ctx, watcherCheckInterval)
			continue
		}
		if g.storeFailed(now) {
			if failing.IsZero() {
				failing = now
			}
			g.targetsPolledAt.Store(0)
			waitFor(ctx, storeFailureTick)
			continue
		}
		started := now
		change, err := g.readTargets(ctx, revision)
		g.logStoreState("Targets", err)
		now = time.Now()
		g.cache.expire(now)
		if errors.Is(err, ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			if failing.IsZero() {
				failing = started
			}
			g.targetsPolledAt.Store(0)
			g.peers.sendDisconnected()
			retry.wait(ctx)
			continue
		}
		retry.reset()
		outage := time.Duration(0)
		if !failing.IsZero() {
			outage = now.Sub(failing)
		}
		g.cache.applyTargets(change, outage, now)
		g.targetsLoaded.Store(true)
		g.targetsPolledAt.Store(now.UnixNano())
		failing, revision = time.Time{}, change.Revision
		waitFor(ctx, targetsInterval)
	}
}

// storeFailed reports whether the last read of the configuration failed a moment ago. Only that read is then repeated,
// since each call has a cost, also one without an answer.
func (g *Gateway) storeFailed(now time.Time) bool {
	at := g.storeFailedAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < storeFailureTTL
}

// polledTargets reports whether this instance has the target list from the store itself, not from a watcher.
func (g *Gateway) polledTargets(now time.Time) bool {
	at := g.targetsPolledAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < targetsInterval+targetsWait+storeTimeout
}

func (g *Gateway) readTargets(ctx context.Context, revision uint64) (Change, error) {
	if revision == 0 {
		return g.platform.Store.Targets(ctx)
	}
	return g.platform.Store.WatchTargets(ctx, revision, targetsWait)
}

// logStoreState logs when the store fails for a purpose, and when it answers again.
func (g *Gateway) logStoreState(purpose string, err error) {
	g.mu.Lock()
	failedBefore := g.storeFailing[purpose]
	failed := err != nil && !errors.Is(err, ErrCompacted)
	g.storeFailing[purpose] = failed
	g.mu.Unlock()
	switch {
	case failed && !failedBefore:
		g.logger.Warn().Str("Purpose", purpose).Err(err).Msg("store lost")
	case !failed && failedBefore:
		g.logger.Info().Str("Purpose", purpose).Msg("store regained")
	}
}
