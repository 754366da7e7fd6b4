package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// configurationWait is how long a call waits for a change of the configuration. Its start proves what is in force,
	// but only once it has ended, so that a proof is up to twice as old.
	configurationWait = 1400 * time.Millisecond
	// targetsWait is the same for the list of targets. It is well below the time in which a leaving target must get no
	// more work, so that others notice in time that a reader has lost the store.
	targetsWait = 800 * time.Millisecond
	// targetsPace is the time between two answers about the targets, so that changes in quick succession are read together.
	targetsPace = 200 * time.Millisecond
	// proofTick is how often an instance that is no reader looks at the age of its proof. It asks readers for a newer
	// one after proofRefresh, and the store itself after proofOverdue.
	proofTick    = 400 * time.Millisecond
	proofRefresh = 900 * time.Millisecond
	proofOverdue = 4200 * time.Millisecond
	// proofAlone is the age at which it asks the store while no reader is heard.
	proofAlone = 500 * time.Millisecond
	// toldTick is how often an instance that is no reader looks whether a reader still tells it of the targets.
	toldTick = 300 * time.Millisecond
	// storePatience is how long an answer of the store may take beyond the wait.
	storePatience = 300 * time.Millisecond
	// lostLife is how long a failed question for the configuration keeps other questions back, which are looked at
	// again each lostTick.
	lostLife = 2 * time.Second
	lostTick = 50 * time.Millisecond
	// firstBackoff and maxBackoff bound the mean pause after a call without an answer.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// backoff is the pause after failed calls. It is drawn, so that instances that failed together do not come back together.
type backoff struct {
	next time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, firstBackoff), maxBackoff)
	waitFor(ctx, b.next/2+rand.N(b.next))
}

func (b *backoff) reset() { b.next = 0 }

// waitFor waits. The loops that call it look at the context themselves.
func waitFor(ctx context.Context, d time.Duration) { _ = sleep.For(ctx, d) }

// followConfiguration keeps the configuration in force up to date. A reader waits at the store for changes; the others
// hear of them from readers, and ask readers how old their proof is.
func (s *Gateway) followConfiguration(ctx context.Context) {
	var revision uint64
	var retry backoff
	for ctx.Err() == nil {
		if !s.configurationDue(ctx) {
			continue
		}
		started := bootTime()
		change, err := s.configurationAfter(ctx, revision)
		s.dependency("Configuration", err)
		if errors.Is(err, ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			s.lostAt.Store(time.Now().UnixNano())
			s.peers.tellAlone()
			s.peers.ask()
			s.peers.fetch(ctx)
			retry.wait(ctx)
			continue
		}
		s.lostAt.Store(0)
		retry.reset()
		before, _ := s.knowledge.version()
		for _, row := range change.Rows {
			if row.Name == s.platform.ConfigurationKey {
				s.knowledge.configure(row)
			}
		}
		revision = change.Revision
		version, inForce := s.knowledge.version()
		if version == 0 {
			retry.wait(ctx) // No configuration has been written yet.
			continue
		}
		if change.Revision >= inForce { // An older answer proves nothing.
			s.knowledge.prove(started)
		}
		if version != before {
			s.peers.tellRevision()
		}
	}
}

// configurationDue waits until the store is to be asked for the configuration, and reports whether it is.
func (s *Gateway) configurationDue(ctx context.Context) bool {
	age, proven := s.knowledge.age()
	if version, _ := s.knowledge.version(); version == 0 || !proven || s.peers.reads() || age > proofOverdue {
		return true
	}
	if age > proofAlone && !s.peers.readers(time.Now()) {
		return true
	}
	select {
	case <-s.peers.wake:
		s.peers.fetch(ctx)
		return s.peers.behind() || !s.peers.readers(time.Now())
	case <-ctx.Done():
		return false
	case <-time.After(proofTick):
	}
	if age, _ = s.knowledge.age(); age > proofRefresh {
		s.peers.ask()
	}
	return false
}

// configurationAfter reads the configuration. Only a reader waits for a change.
func (s *Gateway) configurationAfter(ctx context.Context, revision uint64) (Change, error) {
	switch {
	case revision == 0:
		return s.platform.Store.Configuration(ctx)
	case s.peers.reads():
		return s.platform.Store.WatchConfiguration(ctx, revision, configurationWait)
	default:
		return s.platform.Store.WatchConfiguration(ctx, revision, 0)
	}
}

// followTargets keeps the list of targets up to date. A reader reads it from the store and tells the others.
func (s *Gateway) followTargets(ctx context.Context) {
	var revision uint64
	var retry backoff
	var failing time.Time // failing is since when calls have had no answer; zero after an answer.
	for ctx.Err() == nil {
		now := time.Now()
		if s.listed.Load() && s.peers.told(now) {
			s.knowledge.expire(now)
			revision, failing = 0, time.Time{}
			s.polledAt.Store(0)
			waitFor(ctx, toldTick)
			continue
		}
		if s.storeLost(now) {
			if failing.IsZero() {
				failing = now
			}
			s.polledAt.Store(0)
			waitFor(ctx, lostTick)
			continue
		}
		started := now
		change, err := s.targetsAfter(ctx, revision)
		s.dependency("Targets", err)
		now = time.Now()
		s.knowledge.expire(now)
		if errors.Is(err, ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			if failing.IsZero() {
				failing = started
			}
			s.polledAt.Store(0)
			s.peers.tellAlone()
			retry.wait(ctx)
			continue
		}
		retry.reset()
		silent := time.Duration(0)
		if !failing.IsZero() {
			silent = now.Sub(failing)
		}
		s.knowledge.list(change, silent, now)
		s.listed.Store(true)
		s.polledAt.Store(now.UnixNano())
		failing, revision = time.Time{}, change.Revision
		waitFor(ctx, targetsPace)
	}
}

// storeLost reports whether the store did not answer the last question for the configuration, a moment ago. Only that
// question is then repeated: each call has its price, also one without an answer.
func (s *Gateway) storeLost(now time.Time) bool {
	at := s.lostAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < lostLife
}

// polled reports whether this instance has the list from the store itself, not from others.
func (s *Gateway) polled(now time.Time) bool {
	at := s.polledAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < targetsPace+targetsWait+storePatience
}

func (s *Gateway) targetsAfter(ctx context.Context, revision uint64) (Change, error) {
	if revision == 0 {
		return s.platform.Store.Targets(ctx)
	}
	return s.platform.Store.WatchTargets(ctx, revision, targetsWait)
}

// dependency logs when the store is lost for a purpose, and when it is back.
func (s *Gateway) dependency(purpose string, err error) {
	s.mu.Lock()
	lost := s.lost[purpose]
	now := err != nil && !errors.Is(err, ErrCompacted)
	s.lost[purpose] = now
	s.mu.Unlock()
	switch {
	case now && !lost:
		s.logger.Warn().Str("Purpose", purpose).Err(err).Msg("store lost")
	case !now && lost:
		s.logger.Info().Str("Purpose", purpose).Msg("store regained")
	}
}
