package service

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// balancer counts the outstanding requests of each target and estimates its answer times.
type balancer struct {
	mu      sync.Mutex
	targets map[string]*load
}

type load struct {
	outstanding int
	times       latency.Estimator
	retryAt     time.Time // retryAt is when a failed target gets its next request, zero for one that has not failed.
}

const (
	// maxTargets bounds the targets that are remembered after they have gone.
	maxTargets = 4096
	// suspension keeps requests away from a target that failed, so that each frozen target stalls one
	// request in this time and not every one.
	suspension = 5 * time.Second
)

func newBalancer() *balancer {
	return &balancer{targets: map[string]*load{}}
}

// choose returns the less loaded of two random targets that accept work and are not in avoid, and
// counts a request to it. Targets that failed recently are chosen only where there are no others.
func (b *balancer) choose(all []target.Target, avoid []string, now time.Time) (target.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open, suspended []target.Target
	for _, t := range all {
		switch {
		case !t.AcceptsRequests() || slices.Contains(avoid, t.Name):
		case b.of(t.Name).retryAt.After(now):
			suspended = append(suspended, t)
		default:
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		open = suspended
	}
	if len(open) == 0 {
		return target.Target{}, false
	}
	return b.lessLoaded(open, now), true
}

func (b *balancer) lessLoaded(open []target.Target, now time.Time) target.Target {
	chosen, other := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	if b.of(other.Name).outstanding < b.of(chosen.Name).outstanding {
		chosen = other
	}
	l := b.of(chosen.Name)
	l.outstanding++
	if !l.retryAt.IsZero() {
		l.retryAt = now.Add(suspension) // Only this request tries the target until it answers.
	}
	return chosen
}

// of returns the load of a target. The lock is held.
func (b *balancer) of(name string) *load {
	if l, found := b.targets[name]; found {
		return l
	}
	b.forgetIdle()
	l := &load{}
	b.targets[name] = l
	return l
}

func (b *balancer) forgetIdle() {
	if len(b.targets) < maxTargets {
		return
	}
	for name, l := range b.targets {
		if l.outstanding == 0 {
			delete(b.targets, name)
		}
	}
}

// done ends what choose counted. A request without an answer suspends its target.
func (b *balancer) done(name string, began, now time.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(name)
	l.outstanding--
	l.times.Observe(now.Sub(began))
	l.retryAt = time.Time{}
	if !answered {
		l.retryAt = now.Add(suspension)
	}
}

// deadline is the time after which another target is tried.
func (b *balancer) deadline(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(name).times.Deadline()
}
