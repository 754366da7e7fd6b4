package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/freshness"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// configurationWait is how long a call waits for a change of the configuration. A completed call shows that the
	// configuration was current when the call started, so its age may reach twice configurationWait.
	configurationWait = 1400 * time.Millisecond
	// targetsWait is how long a call waits for a change of the target list. A watcher, an instance that reads the list
	// from the store for the others, may notice only after this time that it is disconnected from the store. The wait is
	// well below the time within which a leaving target must get no more requests, so that the others notice in time.
	targetsWait = 800 * time.Millisecond
	// targetsInterval is the time between two reads of target changes, so that changes in quick succession are read
	// together.
	targetsInterval = 200 * time.Millisecond
	// confirmCheckInterval is how often an instance that is not a watcher asks others to confirm its configuration.
	confirmCheckInterval = 400 * time.Millisecond
	// confirmAfter is the age after which an instance that is not a watcher asks other instances to confirm its
	// configuration.
	confirmAfter = 900 * time.Millisecond
	// maxConfirmationAge is the age after which an instance that is not a watcher always reads the store itself.
	maxConfirmationAge = 4200 * time.Millisecond
	// minFetchTime is the time that fetching the configuration from another instance has at least, before it is read from the store.
	minFetchTime = 200 * time.Millisecond
	// watcherCheckInterval is how often an instance that is not a watcher checks whether a watcher still reads
	// configuration and target list for it.
	watcherCheckInterval = 100 * time.Millisecond
	// storeTimeout is how long an answer of the store may take in addition to the wait.
	storeTimeout = 300 * time.Millisecond
	// storeFailureTTL is how long a failed read of the configuration suppresses other reads of the store. Reads of the
	// target list check every storeFailureTick whether they may continue.
	storeFailureTTL  = 2 * time.Second
	storeFailureTick = 50 * time.Millisecond
	// callSpacing is the mean time between two calls of a fleet whose instances lack a confirmation of the configuration.
	callSpacing = 50 * time.Millisecond
	// watcherBackoff is the largest mean delay of a watcher after a failed read of the configuration: the others wait for it.
	watcherBackoff = 200 * time.Millisecond
	// silentStoreTimeout bounds a watcher's reads of the configuration while the store is silent. Other instances keep the usual timeout,
	// since the store may be slow instead.
	silentStoreTimeout = 350 * time.Millisecond
	// minBackoff and maxBackoff bound the mean delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// backoff is an exponential backoff with random jitter, so that instances that failed together do not retry together.
type backoff struct {
	delay time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	waitFor(ctx, b.next(maxBackoff))
}

// next returns the delay before the next call, of which longest is the largest mean.
func (b *backoff) next(longest time.Duration) time.Duration {
	b.delay = min(max(2*b.delay, minBackoff), longest)
	return b.delay/2 + rand.N(b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// waitFor sleeps for the duration or until the context ends. Its callers check the context themselves.
func waitFor(ctx context.Context, d time.Duration) { _ = sleep.For(ctx, d) }

// watchConfiguration keeps the active configuration up to date. A watcher long-polls the store for changes. An
// instance that is not a watcher receives changes from watchers, and asks other instances whether its configuration is
// current.
func (g *Gateway) watchConfiguration(ctx context.Context) {
	var after revision.Revision // after is the revision up to which changes were read; zero means that the whole is to be read.
	var retry backoff
	failures := 0      // failures counts the failed reads since the last answer.
	takenOver := false // takenOver is set if the others know that this instance is the watcher.
	for ctx.Err() == nil {
		reason, due := g.awaitConfigurationDue(ctx)
		g.logReadReason(reason)
		if !due {
			continue
		}
		g.configurationReads.Inc(1)
		startedAt := g.cache.sinceBoot()
		reading, cancel := g.peers.untilRegained(ctx, failures > 0, g.peers.configurationRegained)
		change, err := g.readConfiguration(reading, after, failures)
		cancelled := err != nil && reading.Err() != nil && ctx.Err() == nil
		cancel()
		if cancelled {
			continue // The call was sent before the store answered again, and would hang.
		}
		g.logStoreState("Configuration", err)
		if errors.Is(err, ErrCompacted) {
			after = revision.Revision{}
			continue
		}
		if err != nil {
			failures++
			failedAt := time.Now()
			g.storeFailedAt.Store(&failedAt)
			g.peers.sendDisconnected()
			g.awaitConfirmation(ctx, retry.next(g.longestBackoff()))
			continue
		}
		g.storeFailedAt.Store(nil)
		read := time.Now() // What this read shows is reported only once its rows are applied.
		before, revisionBefore := g.cache.configurationVersion()
		for _, row := range change.Rows {
			if row.Name == g.platform.ConfigurationKey {
				g.cache.applyConfiguration(row)
			}
		}
		after = change.Revision
		g.answered(freshness.Configuration, read)
		version, activeRevision := g.cache.configurationVersion()
		if version == 0 {
			g.awaitConfirmation(ctx, retry.next(g.longestBackoff())) // No configuration has been written yet.
			continue
		}
		// An answer older than the active configuration does not confirm it. Neither does an older version in the store: a
		// newer one than the active one may have been lost with it.
		confirmed := !change.Revision.Before(activeRevision) && g.cache.storedConfigurationIsActive()
		if confirmed {
			g.cache.confirm(startedAt)
			retry.reset()
			if failures > 0 {
				g.peers.sendRegained(time.Now())
			}
		}
		failures = 0
		if version != before || !activeRevision.SameEra(revisionBefore) {
			g.peers.sendRevision()
		} else if reason == readAsWatcher && !takenOver || g.peers.readsAlone(freshness.Configuration, read) {
			g.peers.sendReport()
		}
		takenOver = reason == readAsWatcher
		if !confirmed {
			g.awaitConfirmation(ctx, retry.next(g.longestBackoff()))
		}
	}
}

// longestBackoff returns the largest mean delay between two calls that do not confirm the configuration. In a large fleet
// all instances but the watchers share the calls, since the calls would otherwise grow with the fleet; one call that
// succeeds lets the others ask the instance that made it.
func (g *Gateway) longestBackoff() time.Duration {
	if g.peers.isWatcher() {
		return watcherBackoff
	}
	return max(maxBackoff, time.Duration(len(g.peers.node.Members()))*callSpacing)
}

// awaitConfirmation asks other instances to confirm the configuration, or to provide a newer one, until one does or the
// time is over. For a watcher, it also ends when the store answers another instance again.
func (g *Gateway) awaitConfirmation(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil; {
		g.peers.requestConfirmation()
		g.peers.fetchConfiguration(ctx, latest(end, time.Now().Add(minFetchTime)))
		select {
		case <-g.peers.configurationRegained:
			if g.peers.isWatcher() {
				return
			}
		case <-ctx.Done():
		case <-time.After(min(time.Until(end), confirmCheckInterval)):
		}
		if age, confirmed := g.cache.confirmationAge(); confirmed && age < confirmAfter || !time.Now().Before(end) {
			return
		}
	}
}

// awaitConfigurationDue reports whether the configuration must be read from the store now, and why. If not yet, it waits for up to
// watcherCheckInterval, fetches a newer configuration from another instance when woken, or requests a confirmation.
func (g *Gateway) awaitConfigurationDue(ctx context.Context) (reason readReason, due bool) {
	age, confirmed := g.cache.confirmationAge()
	version, _ := g.cache.configurationVersion()
	now := time.Now()
	shownAt, _ := g.peers.configurationShownAt(now)
	dueAt := shownAt.Add(g.peers.relianceLimit)
	switch {
	case version == 0 || !confirmed:
		return readNoConfiguration, true
	case g.peers.isWatcher():
		return readAsWatcher, true
	case age > maxConfirmationAge:
		return readUnconfirmed, true
	case !now.Before(dueAt):
		return readNoWatcher, true
	}
	select {
	case <-g.peers.wake:
		g.peers.fetchConfiguration(ctx, latest(dueAt, now.Add(minFetchTime)))
		if g.peers.behind() {
			return readBehind, true
		}
	case <-ctx.Done():
	case <-time.After(min(dueAt.Sub(now), watcherCheckInterval)):
	}
	if age, _ = g.cache.confirmationAge(); age > confirmAfter && time.Since(g.confirmationRequestedAt) >= confirmCheckInterval {
		g.confirmationRequestedAt = time.Now()
		g.peers.requestConfirmation()
	}
	return readNone, false
}

// readConfiguration reads the configuration from the store, after a number of failures in a row. Only a watcher waits for a change.
func (g *Gateway) readConfiguration(ctx context.Context, after revision.Revision, failures int) (change Change, err error) {
	wait := time.Duration(0)
	if after.Exists() && failures == 0 && g.peers.isWatcher() {
		wait = configurationWait
	}
	g.began(freshness.Configuration, wait)
	defer func() {
		if err != nil {
			g.failed(freshness.Configuration)
		}
	}()
	if failures > 0 && g.peers.isWatcher() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, silentStoreTimeout)
		defer cancel()
		return g.platform.Store.Configuration(ctx) // It answers at once, unlike a watch.
	}
	if !after.Exists() {
		return g.platform.Store.Configuration(ctx)
	}
	return g.platform.Store.WatchConfiguration(ctx, after, wait)
}

// watchTargets keeps the target list up to date. A watcher reads it from the store and sends it to the others.
func (g *Gateway) watchTargets(ctx context.Context) {
	var after revision.Revision // after is the revision up to which changes were read; zero means that they are not being read.
	whole := false              // whole is set if the whole list must be read from the store.
	var retry backoff
	var failingSince time.Time // failingSince is when the first of the failing calls began; zero after an answer.
	for ctx.Err() == nil {
		now := time.Now()
		if g.targetsLoaded.Load() && g.peers.receivesTargetsFromWatcher(now) {
			g.cache.expire(now)
			after, whole, failingSince = revision.Revision{}, false, time.Time{}
			g.targetsReadAt.Store(nil)
			waitFor(ctx, min(g.peers.listReliance(now), watcherCheckInterval))
			continue
		}
		if g.storeFailed(now) {
			if failingSince.IsZero() {
				failingSince = now
			}
			g.targetsReadAt.Store(nil)
			waitFor(ctx, storeFailureTick)
			continue
		}
		if g.cache.copiedEraEnded(now) {
			after, whole = revision.Revision{}, true
		}
		started := now
		reading, cancel := g.peers.untilRegained(ctx, !failingSince.IsZero(), g.peers.targetsRegained)
		change, received, err := g.readTargets(reading, after, whole)
		if err != nil {
			g.failed(freshness.Targets)
		}
		cancelled := err != nil && reading.Err() != nil && ctx.Err() == nil
		cancel()
		if cancelled {
			continue
		}
		if received {
			g.targetsLoaded.Store(true)
			failingSince = time.Time{}
			continue
		}
		g.logStoreState("Targets", err)
		now = time.Now()
		g.cache.expire(now)
		if errors.Is(err, ErrCompacted) {
			after, whole = revision.Revision{}, true
			continue
		}
		if err != nil {
			if failingSince.IsZero() {
				failingSince = started
			}
			g.targetsReadAt.Store(nil)
			g.peers.sendDisconnected()
			retry.wait(ctx)
			continue
		}
		retry.reset()
		outage := time.Duration(0)
		if !failingSince.IsZero() {
			outage = now.Sub(failingSince)
		}
		if g.targetsLoaded.Load() {
			g.targetsReadAt.Store(&now) // Changes are sent to the other instances as they are applied, but not the first list.
		}
		g.cache.applyTargets(change, outage, now)
		if !g.targetsLoaded.Swap(true) {
			g.peers.recordListSeen(started) // The first digest of a watcher is awaited for as long as any other.
		}
		g.answered(freshness.Targets, now)
		g.targetsReadAt.Store(&now)
		if g.peers.readsAlone(freshness.Targets, now) {
			g.peers.sendReport()
		}
		failingSince, after, whole = time.Time{}, change.Revision, false
		if g.peers.recordListRead(started) {
			after = revision.Revision{}
		}
		waitFor(ctx, targetsInterval)
	}
}

// storeFailed reports whether the last read of the configuration failed within storeFailureTTL. Meanwhile only reads of
// the configuration are repeated, since each call has a cost, also one without an answer.
func (g *Gateway) storeFailed(now time.Time) bool {
	at := g.storeFailedAt.Load()
	return at != nil && now.Sub(*at) < storeFailureTTL
}

// readsTargetsFromStore reports whether this instance currently reads the target list from the store itself, not from a
// watcher's updates.
func (g *Gateway) readsTargetsFromStore(now time.Time) bool {
	at := g.targetsReadAt.Load()
	return at != nil && now.Sub(*at) < targetsInterval+targetsWait+storeTimeout
}

// readTargets reads the changes of the target list after a revision from the store, or the list if the revision is zero. It takes a list
// of more than smallList targets from another instance where it can, and then reports that it was received; if whole is set, it does not.
func (g *Gateway) readTargets(ctx context.Context, after revision.Revision, whole bool) (change Change, received bool, err error) {
	if !after.Exists() && !whole {
		now := time.Now()
		switch {
		case !g.targetsLoaded.Load():
			change, complete, err := g.readSmallTargets(ctx)
			if err != nil || complete {
				return change, false, err
			}
			received = g.peers.fetchFirstTargets(ctx)
		case g.cache.targetCount() <= smallList:
		case g.peers.isWatcher():
			after = g.cache.recentListRevision(now)
		case g.peers.receivedDigest(now): // The list has differed from the watcher's for too long.
			received = g.peers.mendTargets(ctx)
		default:
			if received = g.peers.renewTargets(ctx); !received {
				after = g.cache.recentListRevision(now)
			}
		}
		if received {
			return Change{}, true, nil
		}
	}
	if after.Exists() {
		g.began(freshness.Targets, targetsWait)
		change, err = g.platform.Store.WatchTargets(ctx, after, targetsWait)
	} else {
		g.began(freshness.Targets, 0)
		g.listsRead.Inc(1)
		change, err = g.platform.Store.Targets(ctx)
	}
	return change, false, err
}

// readSmallTargets reads the target list from the store if it has at most smallList targets, and otherwise reports false. An instance that
// takes the list from no other one in any case does not ask.
func (g *Gateway) readSmallTargets(ctx context.Context) (change Change, complete bool, err error) {
	if g.settings.IsSeed || len(g.settings.Seeds) == 0 {
		return Change{}, false, nil
	}
	g.began(freshness.Targets, 0)
	return g.platform.Store.SmallTargets(ctx, smallList)
}

// logStoreState logs when calls to the store for a resource begin to fail, and when they succeed again.
func (g *Gateway) logStoreState(resource string, err error) {
	g.mu.Lock()
	failedBefore := g.storeFailing[resource]
	failed := err != nil && !errors.Is(err, ErrCompacted)
	g.storeFailing[resource] = failed
	g.mu.Unlock()
	switch {
	case failed && !failedBefore:
		g.logger.Warn().Str("Purpose", resource).Err(err).Msg("store lost")
	case !failed && failedBefore:
		g.logger.Info().Str("Purpose", resource).Msg("store regained")
	}
}

// began records that a call to the store began.
func (g *Gateway) began(r freshness.Resource, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads.Began(r, wait, time.Now())
}

// answered records that the store answered the last call at a time, and that the answer was applied.
func (g *Gateway) answered(r freshness.Resource, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads.Answered(r, at)
}

// failed records that the last call to the store failed.
func (g *Gateway) failed(r freshness.Resource) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads.Failed(r)
}

// shownAt returns the last time as of which the reads of this instance show the newest state of a resource.
func (g *Gateway) shownAt(r freshness.Resource, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads.ShownAt(r, now)
}
