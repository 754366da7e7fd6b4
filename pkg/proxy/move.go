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

// TargetDead takes in that another instance found a target dead. It is not believed while streams through the target run here:
// the other instance may be slow or cut off itself.
func (s *Server) TargetDead(t target.Target) {
	if s.watch.aliveSince(t.Name, time.Now().Add(-hearsayAge)) {
		s.counters.hearsay.Inc(1)
		return
	}
	now := time.Now()
	s.meter.MarkDead(t.Name, now.Add(deadFor))
	s.ledger.TargetCrashed(t.Name, now)
	s.watch.moveAll(t)
}

// DrainTarget moves the streams that pass through a target which gives up its layers or leaves. Those that cannot move stay:
// the target serves them to their end.
func (s *Server) DrainTarget(t target.Target) {
	s.watch.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(s.watch.vacated, func(_ string, until time.Time) bool { return now.After(until) })
	s.watch.vacated[t.Name] = now.Add(vacateTime)
	s.watch.mu.Unlock()
	s.watch.moveAll(t)
}

// left reports whether streams are to leave a target.
func (w *watch) left(name string) bool {
	w.mu.Lock()
	until, ok := w.vacated[name]
	w.mu.Unlock()
	return ok && time.Now().Before(until) || w.server.dead(name)
}

// moveAll moves the streams that pass through a target.
func (w *watch) moveAll(t target.Target) {
	for _, s := range w.running() {
		if s.currentPath().Contains(t.Name) {
			go w.move(s, t)
		}
	}
}

// move changes the path of a stream so that it leaves out a target. A stream that cannot change is resumed.
func (w *watch) move(s *session, t target.Target) {
	s.mu.Lock()
	if s.moving || s.ended {
		s.mu.Unlock()
		return
	}
	s.moving = true
	s.mu.Unlock()
	err := w.repath(s)
	s.mu.Lock()
	s.moving = false
	s.mu.Unlock()
	if err == nil {
		s.server.counters.repathed.Inc(1)
		s.lookAgain(firstSilence)
		return
	}
	resumes := w.server.dead(t.Name)
	w.server.logger.Info().Str("Request", s.ID).Str("Target", t.Name).Bool("Resumes", resumes).Err(err).Msg("path not changed")
	if resumes {
		s.interrupt()
	}
}

// repath replaces the parts of the path whose targets are avoided.
func (w *watch) repath(s *session) error {
	var err error
	for range maxRepaths {
		p := s.currentPath()
		if len(p) == 0 || w.left(p[0].Target.Name) {
			return errNoRepath
		}
		var changed path.Path
		changed, err = w.around(s, p)
		if err != nil {
			return err
		}
		if changed.Crossings() > p.Crossings() && !s.exhausted() {
			return errCrossing
		}
		ctx, cancel := context.WithTimeout(context.Background(), repathTimeout)
		err = w.server.upstream.ChangePath(ctx, s.ID, changed)
		cancel()
		if err == nil {
			s.repaths.Add(1)
			s.reserve(changed)
			return nil
		}
		var f *AttemptError
		if !errors.As(err, &f) || !f.FailedTarget.IsValid() {
			return err
		}
		if t, ok := changed.TargetAt(f.FailedTarget); ok {
			w.server.meter.RecordRefusal(t.Name, time.Now())
		}
	}
	return err
}

// around returns the path with its avoided parts replaced.
func (w *watch) around(s *session, p path.Path) (path.Path, error) {
	var changed path.Path
	for i := 0; i < len(p); {
		if !w.left(p[i].Target.Name) {
			changed = append(changed, p[i])
			i++
			continue
		}
		gap := p[i].Layers
		for i++; i < len(p) && w.left(p[i].Target.Name); i++ {
			gap.End = p[i].Layers.End
		}
		parts, err := w.fill(s, p, gap)
		if err != nil {
			return nil, err
		}
		changed = append(changed, parts...)
	}
	if !changed.Complete(s.service.Engine.Layers) {
		return nil, errors.New("the changed path does not run each layer once")
	}
	return changed, nil
}

// fill finds targets for a gap in a path that are not on it already.
func (w *watch) fill(s *session, p path.Path, gap layer.Range) (path.Path, error) {
	avoid := func(name string) bool {
		return p.Contains(name) || w.left(name) || w.server.meter.Saturated(name, time.Now())
	}
	return w.server.find(w.server.views.Snapshot(), s.activeRequest, path.Request{From: gap.First, To: gap.End, Excluded: avoid})
}
