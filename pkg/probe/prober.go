// Package probe finds out whether a target that stalls streams is dead, by opening a connection to it.
//
// An instance may be slow itself: on a small fraction of a core, the process pauses for longer than a target takes to
// respond. The prober therefore measures its timeouts in running time of the process, in ticks. A pause counts as one
// tick, and a response that arrived during the pause is taken for one. Its link may be busy as well, for example with a
// large configuration. A target that does not respond is therefore compared with a host that is expected to respond: if
// that one does not either, the probe says nothing about the target.
//
// Usage:
//
//	prober := probe.New(upstream, func(name string, since time.Time) bool { return false })
//	if prober.Judge(t, false) != probe.Alive { ... }
package probe

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// timeout bounds a probe of a suspect in running time of this process. A live host accepts a connection within
	// one or two milliseconds.
	timeout = 40 * time.Millisecond
	// conclusiveTimeout bounds the only probe of a suspect if neither this process nor its links can have stalled. It covers
	// the attempts of several peers in turn, if only the link to the suspect has failed.
	conclusiveTimeout = 20 * time.Millisecond
	// repeatTimeout bounds the later probes of a dead target in running time of this process.
	repeatTimeout = 100 * time.Millisecond
	// Tick is the resolution of this process's running time: a pause of the process between two ticks, such as one forced
	// by its processor quota, counts as one tick.
	Tick = 5 * time.Millisecond
	// wallTimeout bounds a probe in wall time. A process that needs longer for the ticks of a probe is too slow to judge a
	// target.
	wallTimeout = 400 * time.Millisecond
	// attempts is the number of probes of a suspect that neither accepts nor refuses the connection: the packets of
	// the first probe may have been lost.
	attempts = 2
	// resultTTL is how long the result of a probe is reused. It doubles with each further probe that finds the target
	// alive, up to maxResultTTL: a target that is suspected again and again is slow, and connections make it slower.
	resultTTL    = 100 * time.Millisecond
	maxResultTTL = 800 * time.Millisecond
	// breakSlack is how much earlier than a broken connection a probe may have started whose result is reused: the
	// connections of a target that ends break within milliseconds of each other.
	breakSlack = 10 * time.Millisecond
)

// Verdict is the conclusion of a probe.
type Verdict string

const (
	// Alive means that the target accepts connections, or that this process or its link is too slow to judge it.
	Alive Verdict = "Alive"
	// Silent means that the target's host does not respond.
	Silent Verdict = "Silent"
	// Ended means that the target's host refuses connections, so that the target's process has ended.
	Ended Verdict = "Ended"
)

// Upstream opens connections to targets. The interface is declared here because this package uses it.
type Upstream interface {
	// Probe reports whether the target's host accepts connections.
	Probe(ctx context.Context, t target.Target) error
}

// Prober probes targets. Calls within resultTTL share the result of one probe of a target. It is safe for concurrent
// use.
type Prober struct {
	upstream   Upstream
	aliveSince func(name string, since time.Time) bool
	tick       func() <-chan time.Time
	control    func(ctx context.Context) error

	mu     sync.Mutex
	probes map[string]*probe // probes holds the recent probe of each target.
}

// probe is a running or finished probe of a target.
type probe struct {
	startedAt time.Time
	ttl       time.Duration // ttl is how long the result is reused.
	done      chan struct{} // done is closed when the probe has finished.
	verdict   Verdict
}

// Option configures a Prober.
type Option func(*Prober)

// WithTicks sets the source of the ticks that measure the running time of this process. The function returns a channel
// that receives one value when the next tick is over.
func WithTicks(tick func() <-chan time.Time) Option {
	return func(r *Prober) { r.tick = tick }
}

// WithControl sets the function that connects to a host that is expected to respond, such as another instance. It is
// called if a target does not respond at once.
func WithControl(control func(ctx context.Context) error) Option {
	return func(r *Prober) { r.control = control }
}

// New returns a prober. aliveSince reports whether a stream through the target has received an event since then, which
// refutes a probe without a response.
func New(upstream Upstream, aliveSince func(name string, since time.Time) bool, options ...Option) *Prober {
	r := &Prober{
		upstream: upstream, aliveSince: aliveSince, tick: func() <-chan time.Time { return time.After(Tick) },
		control: func(context.Context) error { return nil }, probes: make(map[string]*probe),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Judge probes a target and returns the verdict. If conclusive is set, the caller has ruled out that this process or
// its links have stalled, and one short probe is enough.
func (r *Prober) Judge(t target.Target, conclusive bool) Verdict {
	return r.judge(t, conclusive, time.Time{})
}

// JudgeBroken probes a target after a connection to it broke, and returns the verdict. It does not reuse the result of a
// probe from before the break: the target may have ended since.
func (r *Prober) JudgeBroken(t target.Target, brokenAt time.Time) Verdict {
	return r.judge(t, false, brokenAt.Add(-breakSlack))
}

// judge probes a target, unless a probe that started after the given time is running or its result may be reused.
func (r *Prober) judge(t target.Target, conclusive bool, after time.Time) Verdict {
	r.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(r.probes, func(_ string, p *probe) bool { return p.finished() && now.Sub(p.startedAt) > 2*p.ttl })
	p := r.probes[t.Name]
	if p == nil || p.startedAt.Before(after) || p.finished() && now.Sub(p.startedAt) > p.ttl {
		p = nextProbe(p, now)
		r.probes[t.Name] = p
		go r.run(t, p, conclusive)
	}
	r.mu.Unlock()
	<-p.done
	return p.verdict
}

// finished reports whether the verdict is known.
func (p *probe) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// nextProbe returns a new probe after the previous one, which is nil if there was none recently.
func nextProbe(previous *probe, now time.Time) *probe {
	p := &probe{startedAt: now, ttl: resultTTL, done: make(chan struct{})}
	if previous != nil && previous.finished() && previous.verdict == Alive {
		p.ttl = min(2*previous.ttl, maxResultTTL)
	}
	return p
}

// run probes a target until the verdict is certain or the attempts are used up, and stores the verdict in p.
func (r *Prober) run(t target.Target, p *probe, conclusive bool) {
	defer close(p.done)
	remaining, limit := attempts, timeout
	if conclusive {
		remaining, limit = 1, conclusiveTimeout
	}
	for range remaining {
		p.verdict = r.once(t, limit)
		if p.verdict != Silent || r.aliveSince(t.Name, p.startedAt) {
			break
		}
	}
	if r.aliveSince(t.Name, p.startedAt) {
		p.verdict = Alive
	}
}

// Repeat probes a target that was found dead once more and returns the verdict.
func (r *Prober) Repeat(t target.Target) Verdict {
	return r.once(t, repeatTimeout)
}

// once probes a target once. The limit counts running time of this process, in ticks, so that a response that arrived
// while the process was paused is still taken for one.
func (r *Prober) once(t target.Target, limit time.Duration) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), wallTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- r.upstream.Probe(ctx, t) }()
	var control chan error
	for range limit / Tick {
		select {
		case err := <-result:
			return conclude(ctx, err)
		case <-r.tick():
		}
		if control == nil {
			control = make(chan error, 1)
			go func() { control <- r.control(ctx) }()
		}
	}
	select {
	case err := <-result:
		return conclude(ctx, err)
	default:
		return concludeSilence(control)
	}
}

// concludeSilence returns the verdict on a target that has not responded. It is Silent only if the control has
// responded meanwhile.
func concludeSilence(control <-chan error) Verdict {
	select {
	case err := <-control:
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return Silent
		}
	default:
	}
	return Alive
}

// conclude returns the verdict of a probe that has ended by itself. A probe that was ended by its context says
// nothing about the target.
func conclude(ctx context.Context, err error) Verdict {
	switch {
	case err == nil || ctx.Err() != nil:
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	default:
		return Silent
	}
}
