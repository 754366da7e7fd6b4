package proxy

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TargetDead handles a report of another instance that a target is dead: it marks the target dead and migrates streams
// off it. ended means that the target's host refuses connections. The report is ignored if a stream of this instance
// received an event through the target within maxRefutingEventAge, since the reporting instance itself may be slow or
// partitioned.
func (s *Server) TargetDead(t target.Target, ended bool) {
	refuted := s.detector.aliveSince(t.Name, time.Now().Add(-maxRefutingEventAge))
	if refuted {
		s.counters.reportsRefuted.Inc(1)
	}
	if refuted || !s.isDead(t.Name) { // A report is repeated while the target stays dead.
		s.logger.Info().Str("Target", t.Name).Bool("Ended", ended).Bool("Refuted", refuted).Msg("target reported lost")
	}
	if refuted {
		return
	}
	s.detector.markDead(t, ended)
	s.detector.migrateAll(t)
}

// TargetAlive handles a report of another instance that a target that it reported dead responds again.
func (s *Server) TargetAlive(name string) {
	s.stats.MarkAlive(name)
}

// ExamineTarget probes a target on behalf of another instance whose stream has stalled. A dead target is reported to all
// instances. conclusive means that the other instance has ruled out that it has stalled itself.
func (s *Server) ExamineTarget(t target.Target, conclusive bool) {
	if !s.detector.aliveSince(t.Name, time.Now().Add(-maxRefutingEventAge)) {
		s.detector.examine(t, conclusive)
	}
}

// DrainTarget migrates streams off a target that releases layers or leaves, and keeps changed paths off it for
// drainDuration. Streams that cannot be migrated stay: the target serves them until they end.
func (s *Server) DrainTarget(t target.Target) {
	s.detector.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(s.detector.drainedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	s.detector.drainedUntil[t.Name] = now.Add(drainDuration)
	s.detector.mu.Unlock()
	s.detector.migrateAll(t)
}

// unusable reports whether streams must not use a target because it is being drained or is dead.
func (d *failureDetector) unusable(name string) bool {
	d.mu.Lock()
	until, ok := d.drainedUntil[name]
	d.mu.Unlock()
	return ok && time.Now().Before(until) || d.server.isDead(name)
}

// migrateAll migrates the streams that pass through a target off it, each in its own goroutine.
func (d *failureDetector) migrateAll(t target.Target) {
	for _, s := range d.activeStreams() {
		if s.currentPath().Contains(t.Name) {
			go d.migrate(s, t)
		}
	}
}

// migrate changes the path of a stream so that the path excludes t. If the path cannot be changed and t is dead, it
// cancels the current attempt, so that the stream is resumed on a new path.
func (d *failureDetector) migrate(s *activeStream, t target.Target) {
	s.mu.Lock()
	if s.migrating || s.ended {
		s.mu.Unlock()
		return
	}
	s.migrating = true
	s.mu.Unlock()
	err := d.changePath(s)
	s.mu.Lock()
	s.migrating = false
	s.mu.Unlock()
	if err == nil {
		s.server.counters.pathsChanged.Inc(1)
		s.resetStallTimer(firstEventStall)
		return
	}
	resume := d.server.isDead(t.Name)
	d.server.logger.Info().Str("Request", s.ID).Str("Target", t.Name).Bool("Resumes", resume).Err(err).Msg("path not changed")
	if resume {
		s.cancelAttempt()
	}
}

// changePath replaces the stages of the stream's path whose targets are unusable, and sends the changed path to the
// first target.
func (d *failureDetector) changePath(s *activeStream) error {
	var err error
	for range maxPathChanges {
		p := s.currentPath()
		if len(p) == 0 || d.unusable(p[0].Target.Name) {
			return errFirstTargetUnusable
		}
		var changed path.Path
		changed, err = d.bypass(s, p)
		if err != nil {
			return err
		}
		if changed.Crossings() > p.Crossings() && !s.targetLimitReached() {
			return errMoreHops
		}
		ctx, cancel := context.WithTimeout(context.Background(), changePathTimeout)
		err = d.server.upstream.ChangePath(ctx, s.ID, changed)
		cancel()
		if err == nil {
			s.pathChanges.Add(1)
			s.reserve(changed)
			s.takeLinks(changed, p)
			return nil
		}
		var attemptErr *AttemptError
		if !errors.As(err, &attemptErr) || !attemptErr.FailedTarget.IsValid() {
			return err
		}
		if t, ok := changed.TargetAt(attemptErr.FailedTarget); ok {
			d.server.stats.RecordRefusal(t.Name, time.Now())
		}
	}
	return err
}

// bypass returns p with the stages whose targets are unusable replaced.
func (d *failureDetector) bypass(s *activeStream, p path.Path) (path.Path, error) {
	var changed path.Path
	for i := 0; i < len(p); {
		if !d.unusable(p[i].Target.Name) {
			changed = append(changed, p[i])
			i++
			continue
		}
		gap := p[i].Layers
		for i++; i < len(p) && d.unusable(p[i].Target.Name); i++ {
			gap.End = p[i].Layers.End
		}
		stages, err := d.fillGap(s, p, gap)
		if err != nil {
			return nil, err
		}
		changed = append(changed, stages...)
	}
	if !changed.Complete(s.service.Engine.Layers) {
		return nil, errors.New("the changed path does not run each layer exactly once")
	}
	return changed, nil
}

// fillGap finds stages for the layers of a gap in p. Targets that are already on p are excluded.
func (d *failureDetector) fillGap(s *activeStream, p path.Path, gap layer.Range) (path.Path, error) {
	excluded := func(name string) bool {
		return p.Contains(name) || d.unusable(name) || d.server.stats.Saturated(name, time.Now())
	}
	return d.server.findPath(d.server.snapshots.Snapshot(), s.activeRequest, path.Request{From: gap.First, To: gap.End, Excluded: excluded})
}
