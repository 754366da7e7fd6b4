package service

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// balancer chooses the targets of requests. It counts the outstanding requests of each target, estimates the target's
// latency, and ejects a target that failed, which means that the target gets no requests for ejectionTime.
type balancer struct {
	// acquire reports whether the target's request limit allows a request now, and counts the request if so.
	acquire func(name string, now time.Time) bool

	mu      sync.Mutex
	targets map[string]*targetLoad
}

type targetLoad struct {
	outstanding int
	latency     latency.Estimator
	retryAt     time.Time // retryAt is when an ejected target gets its next request, or zero if the target is not ejected.
}

const (
	// maxTrackedTargets limits the targets whose load is kept, since targets that no longer exist stay in the map.
	maxTrackedTargets = 4096
	// ejectionTime is the time for which a failed target gets no requests. A target that stops responding therefore
	// delays one request in this time instead of every request.
	ejectionTime = 5 * time.Second
)

func newBalancer(acquire func(name string, now time.Time) bool) *balancer {
	return &balancer{acquire: acquire, targets: map[string]*targetLoad{}}
}

var (
	errNoTarget = errors.New("no target accepts requests")
	errLimited  = errors.New("the targets take no more requests now")
)

// choose picks the less loaded of two random targets that accept requests, are not excluded and whose request limit allows the
// request, and counts an outstanding request of the chosen target until finish is called. It picks an ejected target only if
// there are no others. Its error is errNoTarget, or errLimited if request limits are the only reason.
func (b *balancer) choose(all []target.Target, excluded []string, now time.Time) (target.Target, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var available, ejected []target.Target
	for _, t := range all {
		switch {
		case !t.AcceptsRequests() || slices.Contains(excluded, t.Name):
		case b.load(t.Name).retryAt.After(now):
			ejected = append(ejected, t)
		default:
			available = append(available, t)
		}
	}
	if len(available) == 0 {
		available = ejected
	}
	if len(available) == 0 {
		return target.Target{}, errNoTarget
	}
	for len(available) > 0 {
		i := b.lessLoaded(available)
		if chosen := available[i]; b.acquire(chosen.Name, now) {
			b.start(chosen.Name, now)
			return chosen, nil
		}
		available = slices.Delete(available, i, i+1)
	}
	return target.Target{}, errLimited
}

// lessLoaded returns the index of the less loaded of two random targets. The lock must be held.
func (b *balancer) lessLoaded(available []target.Target) int {
	chosen, other := rand.IntN(len(available)), rand.IntN(len(available))
	if b.load(available[other].Name).outstanding < b.load(available[chosen].Name).outstanding {
		return other
	}
	return chosen
}

// start counts an outstanding request of a target. The lock must be held.
func (b *balancer) start(name string, now time.Time) {
	l := b.load(name)
	l.outstanding++
	if !l.retryAt.IsZero() {
		l.retryAt = now.Add(ejectionTime) // Until the target responds, only this request is sent to it.
	}
}

// load returns the load of a target, and adds an empty one if there is none. The lock must be held.
func (b *balancer) load(name string) *targetLoad {
	if l, found := b.targets[name]; found {
		return l
	}
	b.evictIdle()
	l := &targetLoad{}
	b.targets[name] = l
	return l
}

// evictIdle removes the targets without outstanding requests if maxTrackedTargets is reached. The lock must be held.
func (b *balancer) evictIdle() {
	if len(b.targets) < maxTrackedTargets {
		return
	}
	for name, l := range b.targets {
		if l.outstanding == 0 {
			delete(b.targets, name)
		}
	}
}

// finish ends a request that choose counted. A request without a response ejects its target, and a response ends the
// ejection.
func (b *balancer) finish(name string, start, now time.Time, responded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(name)
	l.outstanding--
	l.latency.Observe(now.Sub(start))
	l.retryAt = time.Time{}
	if !responded {
		l.retryAt = now.Add(ejectionTime)
	}
}

// eject ejects a target that has not responded to a request within its usual latency. The request still counts as outstanding.
func (b *balancer) eject(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(name).retryAt = now.Add(ejectionTime)
}

// release ends a request that choose counted and that was not sent. An ejected target may get its next request at once, since
// choose put it off.
func (b *balancer) release(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(name)
	l.outstanding--
	if !l.retryAt.IsZero() {
		l.retryAt = now
	}
}

// attemptTimeout returns the time to wait for a target's response before another target is looked for.
func (b *balancer) attemptTimeout(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(name).latency.Deadline()
}
