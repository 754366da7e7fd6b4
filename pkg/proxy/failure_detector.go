package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// probeTimeout bounds a probe of a suspect. A live host accepts a connection within one or two milliseconds.
	probeTimeout = 40 * time.Millisecond
	// lateProbeRatio is the ratio of a probe's measured duration to its timeout above which this process must have
	// stalled.
	lateProbeRatio = 1.4
	// probeAttempts is the number of probes of a suspect that neither accepts nor refuses the connection: this process
	// itself may have stalled during the first probe.
	probeAttempts = 2
	// conclusiveProbeTimeout bounds the only probe of a suspect through which at least conclusiveStreams streams have
	// stalled while streams through other targets have not: then neither this process nor its links can have stalled.
	conclusiveProbeTimeout = 15 * time.Millisecond
	conclusiveStreams      = 3
	// reprobeTimeout bounds the later probes of a dead target.
	reprobeTimeout = 250 * time.Millisecond
	// probeTTL is how long the result of a probe is reused.
	probeTTL = 100 * time.Millisecond
	// deadTTL is how long a target stays marked dead without further reports. The instance that found the target dead
	// probes it every reprobeInterval for reprobeDuration, and reports it dead to the other instances after each probe
	// without a response.
	deadTTL         = 2 * time.Second
	reprobeInterval = 700 * time.Millisecond
	reprobeDuration = 8 * time.Second
	// changePathTimeout bounds the request to change a path.
	changePathTimeout = 250 * time.Millisecond
	// maxPathChanges bounds the attempts to change a stream's path after one target died or is drained.
	maxPathChanges = 3
	// drainDuration is how long changed paths avoid a target that is being drained.
	drainDuration = 10 * time.Second
	// maxRefutingEventAge is the maximum age of an event through a target that refutes another instance's report that
	// the target is dead.
	maxRefutingEventAge = 70 * time.Millisecond
	// stallRecheckInterval is the time until a stalled stream is checked again if its suspects all respond to probes.
	stallRecheckInterval = 150 * time.Millisecond
)

// failureDetector finds dead targets that stall streams, and migrates the streams off them.
//
// The suspects of a stalled stream are the targets of its path through which no other stream has received an event
// since the stalled stream's last event. A suspect whose host does not accept a connection is dead: the path of every
// stream of this instance through the dead target is changed, and the target is reported to the other instances.
type failureDetector struct {
	server *Server
	onDead func(t target.Target) // onDead reports a dead target to the other instances.

	mu           sync.Mutex
	streams      map[*activeStream]struct{}
	probes       map[string]*probe    // probes holds the recent probe of each target.
	drainedUntil map[string]time.Time // drainedUntil holds until when changed paths avoid a drained target.
}

// probe is a running or finished probe of a target.
type probe struct {
	startedAt time.Time
	done      chan struct{} // done is closed when the probe has finished.
	err       error         // err is the result; nil means that the target is not dead.
}

func newFailureDetector(s *Server) *failureDetector {
	return &failureDetector{
		server: s, onDead: func(target.Target) {}, streams: make(map[*activeStream]struct{}),
		probes: make(map[string]*probe), drainedUntil: make(map[string]time.Time),
	}
}

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

// streamStalled probes the suspects of a stream that has received no event for longer than its stall timeout.
func (d *failureDetector) streamStalled(s *activeStream) {
	analysis := d.findSuspects(s)
	if stalled := time.Since(s.lastEvent()); analysis.stalledStreams <= 1 && stalled < loneStall {
		s.resetStallTimer(loneStall - stalled)
		return
	}
	var dead atomic.Bool
	var group sync.WaitGroup
	for _, t := range analysis.suspects {
		group.Go(func() {
			if d.confirmDead(t, analysis.conclusive()) {
				dead.Store(true)
				d.targetDead(t, "Silence")
			}
		})
	}
	group.Wait()
	if !dead.Load() {
		s.resetStallTimer(stallRecheckInterval)
	}
}

// probeAfterError probes a target whose connection broke after the request was sent. If the probe fails, the target
// counts as dead.
func (d *failureDetector) probeAfterError(t target.Target, err error) {
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) && attemptErr.Sent && !attemptErr.Refused && d.confirmDead(t, false) {
		d.targetDead(t, "Broken")
	}
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

// confirmDead probes a target and reports whether it is dead. Calls within probeTTL share the result of one probe.
func (d *failureDetector) confirmDead(t target.Target, conclusive bool) bool {
	d.mu.Lock()
	maps.DeleteFunc(d.probes, func(_ string, p *probe) bool { return time.Since(p.startedAt) > probeTTL })
	p := d.probes[t.Name]
	if p == nil {
		p = &probe{startedAt: time.Now(), done: make(chan struct{})}
		d.probes[t.Name] = p
		go d.runProbe(t, p, conclusive)
	}
	d.mu.Unlock()
	<-p.done
	return p.err != nil
}

// runProbe probes a target until the result is certain or the attempts are used up, and stores the result in p.
func (d *failureDetector) runProbe(t target.Target, p *probe, conclusive bool) {
	defer close(p.done)
	attempts, timeout := probeAttempts, probeTimeout
	if conclusive {
		attempts, timeout = 1, conclusiveProbeTimeout
	}
	for range attempts {
		var late, slow bool
		late, slow, p.err = d.probeOnce(t, timeout)
		if slow {
			// This process itself stalled, so the missing response says nothing about the target.
			p.err = nil
		}
		if p.err == nil || !late || d.aliveSince(t.Name, p.startedAt) {
			break
		}
	}
	if d.aliveSince(t.Name, p.startedAt) {
		p.err = nil
	}
}

// probeOnce probes a target once. late reports that the probe timed out; slow reports that this process noticed the end
// of the probe much later than the timeout.
func (d *failureDetector) probeOnce(t target.Target, timeout time.Duration) (late, slow bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = d.server.upstream.Probe(ctx, t)
	return ctx.Err() != nil, time.Since(started) > time.Duration(lateProbeRatio*float64(timeout)), err
}

// aliveSince reports whether a stream through the target has received an event after the given time.
func (d *failureDetector) aliveSince(name string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.streams {
		if s.lastEvent().After(since) && s.currentPath().Contains(name) {
			return true
		}
	}
	return false
}

// targetDead marks a target dead and migrates all streams off it. If the target was not marked dead before, it is also
// reported to the other instances and probed again; see reprobe.
func (d *failureDetector) targetDead(t target.Target, reason string) {
	now := time.Now()
	alreadyDead := d.server.stats.IsDead(t.Name, now)
	d.server.stats.MarkDead(t.Name, now.Add(deadTTL))
	d.server.crashTracker.TargetCrashed(t.Name, now)
	if alreadyDead {
		d.migrateAll(t)
		return
	}
	d.server.logger.Info().Str("Target", t.Name).Str("Address", t.Address.String()).Str("Reason", reason).Msg("target lost")
	d.onDead(t)
	d.migrateAll(t)
	go d.reprobe(t)
}

// reprobe probes a dead target until it responds or reprobeDuration is over.
func (d *failureDetector) reprobe(t target.Target) {
	for end := time.Now().Add(reprobeDuration); time.Now().Before(end); {
		time.Sleep(reprobeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), reprobeTimeout)
		err := d.server.upstream.Probe(ctx, t)
		cancel()
		if err == nil {
			d.server.stats.MarkAlive(t.Name)
			d.server.logger.Info().Str("Target", t.Name).Msg("target answers again")
			return
		}
		d.server.stats.MarkDead(t.Name, time.Now().Add(deadTTL))
		d.onDead(t)
	}
}

var errFirstTargetUnusable = errors.New("the first target of the path is dead or being drained")

// errMoreHops rejects a changed path with more cross-data-centre hops: all tokens of the stream would cross the links
// between the data centres, together with the tokens of all other streams that the same failure interrupts. Resuming
// the stream elsewhere, with another prefill, is faster.
var errMoreHops = errors.New("the changed path has more cross-data-centre hops")
