package service

import (
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

func newBalancer() *balancer {
	return &balancer{targets: map[string]*targetLoad{}}
}

// choose picks the less loaded of two random targets that accept requests and are not excluded, and counts an
// outstanding request of the chosen target until finish is called. It picks an ejected target only if there are no
// others.
func (b *balancer) choose(all []target.Target, excluded []string, now time.Time) (target.Target, bool) {
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
		return target.Target{}, false
	}
	return b.chooseLessLoaded(available, now), true
}

// chooseLessLoaded picks the less loaded of two random targets and counts an outstanding request of the chosen one. The
// lock must be held.
func (b *balancer) chooseLessLoaded(available []target.Target, now time.Time) target.Target {
	chosen, other := available[rand.IntN(len(available))], available[rand.IntN(len(available))]
	if b.load(other.Name).outstanding < b.load(chosen.Name).outstanding {
		chosen = other
	}
	l := b.load(chosen.Name)
	l.outstanding++
	if !l.retryAt.IsZero() {
		l.retryAt = now.Add(ejectionTime) // Until the target responds, only this request is sent to it.
	}
	return chosen
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

// attemptTimeout returns the time to wait for a target's response before another target is tried.
func (b *balancer) attemptTimeout(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(name).latency.Deadline()
}
