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
}

// maxTargets bounds the targets that are remembered after they have gone.
const maxTargets = 4096

func newBalancer() *balancer {
	return &balancer{targets: map[string]*load{}}
}

// choose returns the less loaded of two random targets that accept work and are not in avoid, and counts a request to it.
func (b *balancer) choose(all []target.Target, avoid []string) (target.Target, bool) {
	open := make([]target.Target, 0, len(all))
	for _, t := range all {
		if t.Accepting() && !slices.Contains(avoid, t.Name) {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		return target.Target{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen, other := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	if b.of(other.Name).outstanding < b.of(chosen.Name).outstanding {
		chosen = other
	}
	b.of(chosen.Name).outstanding++
	return chosen, true
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

// done ends what choose counted.
func (b *balancer) done(name string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(name)
	l.outstanding--
	l.times.Observe(took)
}

// deadline is the time after which another target is tried.
func (b *balancer) deadline(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(name).times.Deadline()
}
