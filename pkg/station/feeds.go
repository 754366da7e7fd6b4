package station

import (
	"context"
	"errors"
	"time"
)

const (
	// configurationWait is how long a call waits for a change of the configuration. Its start proves what is in
	// force, so that the proof is never much older.
	configurationWait = 2500 * time.Millisecond
	// targetsWait is the same for the list of targets.
	targetsWait = 5 * time.Second
	// targetsPace is the time between two answers about the targets: each heartbeat of each target changes the list.
	targetsPace = 800 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a call without an answer.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// backoff is the pause after failed calls.
type backoff struct {
	next time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, firstBackoff), maxBackoff)
	sleep(ctx, b.next)
}

func (b *backoff) reset() { b.next = 0 }

// sleep waits, but not beyond the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followConfiguration keeps the configuration in force up to date.
func (s *Station) followConfiguration(ctx context.Context) {
	var revision uint64
	var pause backoff
	for ctx.Err() == nil {
		started := bootTime()
		change, err := s.configurationAfter(ctx, revision)
		s.dependency("Configuration", err)
		if errors.Is(err, ErrHistory) {
			revision = 0
			continue
		}
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		for _, row := range change.Rows {
			if row.Name == s.platform.ConfigurationName {
				s.knowledge.configure(row)
			}
		}
		revision = change.Revision
		if version, _ := s.knowledge.version(); version > 0 {
			s.knowledge.prove(started)
		} else {
			pause.wait(ctx) // No configuration has been written yet.
		}
	}
}

func (s *Station) configurationAfter(ctx context.Context, revision uint64) (Change, error) {
	if revision == 0 {
		return s.platform.Store.Configuration(ctx)
	}
	return s.platform.Store.WatchConfiguration(ctx, revision, configurationWait)
}

// followTargets keeps the list of targets up to date.
func (s *Station) followTargets(ctx context.Context) {
	var revision uint64
	var pause backoff
	answered := time.Now()
	for ctx.Err() == nil {
		change, err := s.targetsAfter(ctx, revision)
		s.dependency("Targets", err)
		now := time.Now()
		s.knowledge.expire(now)
		if errors.Is(err, ErrHistory) {
			revision = 0
			continue
		}
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		s.knowledge.list(change, now.Sub(answered), now)
		s.listed.Store(true)
		answered, revision = now, change.Revision
		sleep(ctx, targetsPace)
	}
}

func (s *Station) targetsAfter(ctx context.Context, revision uint64) (Change, error) {
	if revision == 0 {
		return s.platform.Store.Targets(ctx)
	}
	return s.platform.Store.WatchTargets(ctx, revision, targetsWait)
}

// dependency logs when the store is lost for a purpose, and when it is back.
func (s *Station) dependency(purpose string, err error) {
	s.mu.Lock()
	lost := s.lost[purpose]
	now := err != nil && !errors.Is(err, ErrHistory)
	s.lost[purpose] = now
	s.mu.Unlock()
	switch {
	case now && !lost:
		s.logger.Warn().Str("Purpose", purpose).Err(err).Msg("store lost")
	case !now && lost:
		s.logger.Info().Str("Purpose", purpose).Msg("store regained")
	}
}
