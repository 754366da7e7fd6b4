package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/probe"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// conclusiveStreams is the number of streams that must have stalled at a suspect, while streams through other targets
	// have not, to rule out that this process or its links have stalled.
	conclusiveStreams = 3
	// deadTTL is how long a target stays marked dead without further reports. The instance that found the target dead
	// probes it every reprobeInterval for reprobeDuration, and reports it dead to the other instances after each probe
	// without a response.
	deadTTL         = 2 * time.Second
	reprobeInterval = 700 * time.Millisecond
	reprobeDuration = 8 * time.Second
	// minLinkSilence is how long no stream may have received an event from a first target before the link to it is checked.
	minLinkSilence = 240 * time.Millisecond
	// linkCheckTimeout bounds the check of the link to a target.
	linkCheckTimeout = 500 * time.Millisecond
	// changePathTimeout bounds the request to change a path.
	changePathTimeout = 250 * time.Millisecond
	// maxPathChanges bounds the attempts to change a stream's path after one target died or is drained.
	maxPathChanges = 3
	// drainDuration is how long changed paths avoid a target that is being drained.
	drainDuration = 10 * time.Second
	// maxRefutingEventAge is the maximum age of an event through a target that refutes another instance's report that
	// the target is dead.
	maxRefutingEventAge = 70 * time.Millisecond
	// stallRecheckInterval is the time until a stalled stream is checked again if no suspect is found dead. It doubles
	// with each check, up to maxStallRecheckInterval, since further probes seldom find what the first ones did not.
	stallRecheckInterval    = 150 * time.Millisecond
	maxStallRecheckInterval = 600 * time.Millisecond
	// endedTTL is how long it is remembered that a target has ended. No request runs longer.
	endedTTL = time.Minute
)

// failureDetector finds dead targets that stall streams, and migrates the streams off them.
//
// The suspects of a stalled stream are the targets of its path through which no other stream has received an event
// since the stalled stream's last event. The suspects are probed by their monitors, see package monitor: if each instance
// probed all of its own suspects, the connections of a large fleet would stall the targets. A suspect whose host does not
// accept a connection is dead: the path of every stream through the dead target is changed.
type failureDetector struct {
	server *Server
	prober *probe.Prober
	// onDead reports a dead target to the other instances. ended means that its host refuses connections.
	onDead func(t target.Target, ended bool)
	// onAlive reports to the other instances that a target that was reported dead responds again.
	onAlive func(t target.Target)
	// control connects to a host that is expected to respond, for comparison with a target that does not.
	control func(ctx context.Context) error
	// delegate asks the monitors of suspects to probe them, and returns the suspects that this instance monitors itself.
	// The round counts the checks of the same stall.
	delegate func(suspects []target.Target, round int, conclusive bool) (own []target.Target)
	// linkFailedAt returns when this instance was found to have lost its link to a target that other instances reach, or zero.
	linkFailedAt func(ctx context.Context, t target.Target) time.Time

	mu           sync.Mutex
	streams      map[*activeStream]struct{}
	drainedUntil map[string]time.Time // drainedUntil holds until when changed paths avoid a drained target.
	ended        map[string]time.Time // ended holds when a target was last found to have ended.
}

func newFailureDetector(s *Server) *failureDetector {
	d := &failureDetector{
		server: s, onDead: func(target.Target, bool) {}, onAlive: func(target.Target) {}, delegate: probeAll,
		control: func(context.Context) error { return nil }, linkFailedAt: func(context.Context, target.Target) time.Time { return time.Time{} },
		streams: make(map[*activeStream]struct{}), drainedUntil: make(map[string]time.Time), ended: make(map[string]time.Time),
	}
	d.prober = probe.New(s.upstream, d.aliveSince, probe.WithControl(func(ctx context.Context) error { return d.control(ctx) }))
	return d
}

// probeAll makes the instance probe all suspects itself.
func probeAll(suspects []target.Target, _ int, _ bool) []target.Target { return suspects }

func (d *failureDetector) add(s *activeStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[s] = struct{}{}
}

func (d *failureDetector) remove(s *activeStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, s)
}

// activeStreams returns a copy of the stream set, for use without the lock.
func (d *failureDetector) activeStreams() []*activeStream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.streams))
}

// streamStalled has the suspects probed of a stream that has received no event for longer than its stall timeout.
func (d *failureDetector) streamStalled(s *activeStream) {
	if s.receivesEventWithin(probe.Tick) {
		return // The process was paused, and the event arrived meanwhile.
	}
	analysis := d.findSuspects(s)
	if stalled := time.Since(s.lastEvent()); analysis.stalledStreams <= 1 && stalled < loneStall {
		s.resetStallTimer(loneStall - stalled)
		return
	}
	round := s.nextStallCheck()
	var dead atomic.Bool
	var group sync.WaitGroup
	for _, t := range d.delegate(analysis.suspects, round, analysis.conclusive()) {
		group.Go(func() {
			if d.examine(t, analysis.conclusive()) {
				dead.Store(true)
			}
		})
	}
	group.Go(func() { d.resumeIfLinkFailed(s) })
	group.Wait()
	if !dead.Load() {
		s.resetStallTimer(min(stallRecheckInterval<<min(round, 8), maxStallRecheckInterval))
	}
}

// resumeIfLinkFailed resumes a stalled stream on another connection if this instance has lost its link to the first target of
// its path since the stream was sent there. Other instances reach that target, so that nobody finds it dead.
func (d *failureDetector) resumeIfLinkFailed(s *activeStream) {
	p, stalledSince := s.currentPath(), s.lastEvent()
	if len(p) == 0 || d.linkWorks(p[0].Target.Name, stalledSince) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckTimeout)
	defer cancel()
	failedAt := d.linkFailedAt(ctx, p[0].Target)
	if s.attemptStartedAt().Before(failedAt) && s.lastEvent().Equal(stalledSince) {
		s.server.logger.Info().Str("Request", s.ID).Str("Target", p[0].Target.Name).Msg("stream resumed, the link to its first target has failed")
		s.cancelAttempt()
	}
}

// linkWorks reports whether a stream that was sent to the first target before the given time has received an event within
// minLinkSilence.
func (d *failureDetector) linkWorks(first string, before time.Time) bool {
	since := time.Now().Add(-minLinkSilence)
	return slices.ContainsFunc(d.activeStreams(), func(s *activeStream) bool {
		p := s.currentPath()
		return len(p) > 0 && p[0].Target.Name == first && s.attemptStartedAt().Before(before) && s.lastEvent().After(since)
	})
}

// examine probes a target, marks it dead if it does not accept a connection, and reports whether it is dead.
func (d *failureDetector) examine(t target.Target, conclusive bool) bool {
	return d.applyVerdict(t, d.prober.Judge(t, conclusive), "Silence")
}

// examineAfterBreak probes a target whose connection broke after a request was sent on it, and marks the target dead if
// it does not accept a connection. The crash is then recorded before the request ends, so that its content is a suspect
// when the client sends it again.
func (d *failureDetector) examineAfterBreak(t target.Target, err error) {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) || !attemptErr.Sent || attemptErr.Refused || d.server.isDead(t.Name) {
		return
	}
	d.applyVerdict(t, d.prober.JudgeBroken(t, time.Now()), "Broken")
}

// applyVerdict marks a target dead unless the verdict is that it is alive, and reports whether it is dead.
func (d *failureDetector) applyVerdict(t target.Target, verdict probe.Verdict, reason string) bool {
	if verdict == probe.Alive {
		return false
	}
	d.targetDead(t, verdict == probe.Ended, reason)
	return true
}

// stallAnalysis holds the conclusions from the other streams about the cause of a stall.
type stallAnalysis struct {
	suspects       []target.Target
	stalledStreams int  // stalledStreams counts the stalled streams that share the suspects, 1 if only this one is stalled.
	othersAlive    bool // othersAlive means that streams through other targets have received events after the stall began.
}

// conclusive reports whether the suspects or their links must have failed, and not this process.
func (a stallAnalysis) conclusive() bool {
	return a.othersAlive && a.stalledStreams >= conclusiveStreams
}

// findSuspects returns the targets of the stream's path through which no other stream has received an event since the
// last event of s. If other stalled streams pass through some of these targets, only the ones with the most stalled
// streams are suspects.
func (d *failureDetector) findSuspects(s *activeStream) stallAnalysis {
	p, since := s.currentPath(), s.lastEvent()
	now := time.Now()
	alive := make(map[string]bool)
	stalled := make(map[string]int)
	analysis := stallAnalysis{stalledStreams: 1}
	for _, other := range d.activeStreams() {
		if other == s {
			continue
		}
		last := other.lastEvent()
		for _, stage := range other.currentPath() {
			switch {
			case last.After(since.Add(minStall / 3)):
				alive[stage.Target.Name] = true
				analysis.othersAlive = true
			case now.Sub(last) > minStall*2/3:
				stalled[stage.Target.Name]++
			}
		}
	}
	var mostStalled []target.Target // mostStalled holds the suspects shared with the most other stalled streams.
	most := 1
	for _, stage := range p {
		name := stage.Target.Name
		if alive[name] {
			continue
		}
		analysis.suspects = append(analysis.suspects, stage.Target)
		if n := stalled[name]; n > most {
			most, mostStalled = n, nil
		}
		if stalled[name] == most {
			mostStalled = append(mostStalled, stage.Target)
		}
	}
	if len(mostStalled) > 0 {
		analysis.suspects, analysis.stalledStreams = mostStalled, most+1
	}
	return analysis
}

// aliveSince reports whether a stream through the target has received an event after the given time.
func (d *failureDetector) aliveSince(name string, since time.Time) bool {
	return slices.ContainsFunc(d.activeStreams(), func(s *activeStream) bool {
		return s.lastEvent().After(since) && s.currentPath().Contains(name)
	})
}

// targetDead marks a target dead and migrates all streams off it. If the target was not marked dead before, it is also
// reported to the other instances and probed again; see reprobe.
func (d *failureDetector) targetDead(t target.Target, ended bool, reason string) {
	alreadyDead := d.markDead(t, ended)
	if alreadyDead {
		d.migrateAll(t)
		return
	}
	d.server.logger.Info().Str("Target", t.Name).Str("Address", t.Address.String()).Str("Reason", reason).Bool("Ended", ended).Msg("target lost")
	d.onDead(t, ended)
	d.migrateAll(t)
	go d.reprobe(t)
}

// markDead marks a target dead for deadTTL, and reports whether it was marked dead before.
func (d *failureDetector) markDead(t target.Target, ended bool) (before bool) {
	now := time.Now()
	before = d.server.stats.IsDead(t.Name, now)
	d.server.stats.MarkDead(t.Name, now.Add(deadTTL))
	if !before {
		d.server.crashTracker.TargetCrashed(t.Name, now)
	}
	if ended {
		d.mu.Lock()
		maps.DeleteFunc(d.ended, func(_ string, at time.Time) bool { return now.Sub(at) > endedTTL })
		d.ended[t.Name] = now
		d.mu.Unlock()
	}
	return before
}

// hasEndedSince reports whether the target was found to have ended after the given time.
func (d *failureDetector) hasEndedSince(name string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended[name].After(since)
}

// reprobe probes a dead target until it responds or reprobeDuration is over.
func (d *failureDetector) reprobe(t target.Target) {
	for end := time.Now().Add(reprobeDuration); time.Now().Before(end); {
		time.Sleep(reprobeInterval)
		verdict := d.prober.Repeat(t)
		if verdict == probe.Alive {
			d.server.stats.MarkAlive(t.Name)
			d.onAlive(t)
			d.server.logger.Info().Str("Target", t.Name).Msg("target answers again")
			return
		}
		d.markDead(t, verdict == probe.Ended)
		d.onDead(t, verdict == probe.Ended)
	}
}

var errFirstTargetUnusable = errors.New("the first target of the path is dead or being drained")

// errMoreHops rejects a changed path with more cross-data-centre hops: all tokens of the stream would cross the links
// between the data centres, together with the tokens of all other streams that the same failure interrupts. Resuming
// the stream elsewhere, with another prefill, is faster.
var errMoreHops = errors.New("the changed path has more cross-data-centre hops")
