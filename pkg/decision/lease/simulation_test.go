package lease_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

func init() {
	// A fixed seed makes runs repeatable; the command line can still set another.
	_ = flag.Set("rapid.seed", "1")
	// A takeover takes 13 s of simulated time, which is dozens of steps.
	_ = flag.Set("rapid.steps", "150")
}

const leaseShift = 24 // leaseShift is the number of sequence bits in the fencing token of an assignment.

// engine accepts assignments. One that checks fencing tokens refuses old ones.
type engine struct {
	checksFence bool
	fence       uint64
	state       reconcile.State
	accepted    []uint64
}

func (e *engine) assign(o reconcile.Assignment) {
	if e.checksFence && o.FencingToken <= e.fence {
		return
	}
	e.fence, e.state = max(e.fence, o.FencingToken), o.State
	e.accepted = append(e.accepted, o.FencingToken)
}

// instance has its own clock, which differs from simulated time in offset and rate.
type instance struct {
	name       string
	offset     time.Duration
	rate       float64
	elector    *lease.Elector
	reconciler *reconcile.Reconciler
	// authorized contains the assignments of a paused holder, which it has yet to send.
	authorized []reconcile.Assignment
}

// inFlight is an assignment on its way to an engine.
type inFlight struct {
	order  reconcile.Assignment
	limit  time.Duration // limit is the simulated time by which the assignment arrives or fails.
	paused bool
}

// simulation contains the lease row, engines and instances, and the simulated time.
type simulation struct {
	now       time.Duration
	row       lease.Row
	engines   map[string]*engine
	instances []*instance
	inFlight  []inFlight
	delayed   []lease.Transaction
	holders   map[uint64]string // holders maps each lease's fencing token to the instance that used it.
	newest    uint64
	faultFree bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		engines: map[string]*engine{"checks": {checksFence: true}, "ignores": {}},
		holders: map[uint64]string{},
	}
	for n := range 3 {
		name := fmt.Sprint("entry-", n)
		s.instances = append(s.instances, &instance{
			name:       name,
			offset:     time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour,
			rate:       1 + float64(rapid.IntRange(-10, 10).Draw(t, "rate"))/100,
			elector:    lease.New("leases/orders", name, name+"-run"),
			reconciler: reconcile.New(),
		})
	}
	return s
}

func (s *simulation) clock(i *instance) time.Time {
	local := time.Duration(float64(s.now) * i.rate)
	return time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC).Add(i.offset + local)
}

// chance is true about once in n draws, and never in a fault-free simulation.
func (s *simulation) chance(t *rapid.T, n int, label string) bool {
	return !s.faultFree && rapid.IntRange(1, n).Draw(t, label) == 1
}

func (s *simulation) advance(t *rapid.T, d time.Duration) {
	s.now += d
	var rest []inFlight
	for _, f := range s.inFlight {
		if s.now < f.limit {
			rest = append(rest, f)
			continue
		}
		if !s.chance(t, 2, "drop") {
			s.deliver(t, f)
		}
	}
	s.inFlight = rest
}

// deliver hands an assignment to its engine. One that was not paused must not arrive after a successor may act,
// whether the engine checks fencing tokens or not.
func (s *simulation) deliver(t *rapid.T, f inFlight) {
	if number := f.order.FencingToken >> leaseShift; !f.paused && number < s.newest {
		t.Fatalf("an assignment of lease %d arrives after lease %d was allowed to assign", number, s.newest)
	}
	s.engines[f.order.Target].assign(f.order)
}

func (s *simulation) commit(t *rapid.T, i *instance, x lease.Transaction) {
	switch {
	case s.chance(t, 6, "refused"):
	case s.chance(t, 6, "delayed"):
		s.delayed = append(s.delayed, x)
	case s.write(x) && !s.chance(t, 4, "lost"):
		i.elector.ObserveCommit(s.clock(i), x, s.row.Revision)
	}
}

func (s *simulation) write(x lease.Transaction) bool {
	if x.Revision != s.row.Revision {
		return false
	}
	s.row = lease.Row{Revision: s.row.Revision + 1, Value: x.Value}
	return true
}

// step runs one iteration of an instance's control loop.
func (s *simulation) step(t *rapid.T, i *instance) {
	if !s.chance(t, 5, "read fails") {
		i.elector.Observe(s.clock(i), s.row)
	}
	if x, ok := i.elector.Acquire(s.clock(i)); ok {
		s.commit(t, i, x)
	}
	if x, ok := i.elector.Renew(s.clock(i)); ok {
		s.commit(t, i, x)
	}
	for name, e := range s.engines {
		i.reconciler.Report(s.clock(i), name, reconcile.Reported{State: e.state, FencingToken: e.fence})
	}
	s.sendAssignments(t, i)
}

func (s *simulation) sendAssignments(t *rapid.T, i *instance) {
	fence, ok := i.elector.AuthorizeAssignment(s.clock(i))
	if !ok {
		return
	}
	if other, found := s.holders[fence]; found && other != i.name {
		t.Fatalf("%s and %s both hold lease %d", i.name, other, fence)
	}
	s.holders[fence], s.newest = i.name, max(s.newest, fence)
	for _, order := range i.reconciler.DueAssignments(s.clock(i), fence) {
		if s.chance(t, 4, "pause") {
			i.authorized = append(i.authorized, order)
			continue
		}
		s.inFlight = append(s.inFlight, inFlight{order: order, limit: s.now + s.latency(t)})
	}
}

// latency returns how long an assignment takes: up to the timeout by a clock that runs 10% slow.
func (s *simulation) latency(t *rapid.T) time.Duration {
	if s.faultFree {
		return 0
	}
	return time.Duration(rapid.IntRange(0, 2200).Draw(t, "travel")) * time.Millisecond
}

// resume lets a paused holder send the assignments that were authorized before the pause.
func (s *simulation) resume(t *rapid.T) {
	i := rapid.SampledFrom(s.instances).Draw(t, "resumed")
	for _, order := range i.authorized {
		s.inFlight = append(s.inFlight, inFlight{order: order, limit: s.now + s.latency(t), paused: true})
	}
	i.authorized = nil
}

func (s *simulation) setDesired(layers int) {
	desired := map[string]reconcile.State{}
	for name := range s.engines {
		a := reconcile.State{Model: "darning", Version: "v1"}
		a.Layers.End = layers
		desired[name] = a
	}
	for _, i := range s.instances {
		i.reconciler.SetDesired(desired)
	}
}

// check asserts that an engine that checks fencing tokens never accepted an assignment after a newer one.
func (s *simulation) check(t *rapid.T) {
	accepted := s.engines["checks"].accepted
	for n := 1; n < len(accepted); n++ {
		if accepted[n] <= accepted[n-1] {
			t.Fatalf("an engine that checks fencing tokens accepted %d after %d", accepted[n], accepted[n-1])
		}
	}
}

// settle ends all faults, delivers everything delayed, and runs the control loops for three minutes.
func (s *simulation) settle(t *rapid.T) {
	s.faultFree = true
	for _, x := range s.delayed {
		s.write(x)
	}
	for _, i := range s.instances {
		for _, order := range i.authorized {
			s.engines[order.Target].assign(order)
		}
	}
	for range 180 {
		s.advance(t, time.Second)
		for _, i := range s.instances {
			s.step(t, i)
		}
	}
	for name, e := range s.engines {
		if e.state.Layers.End != 32 {
			t.Fatalf("the engine that %s fencing tokens holds %v in the end", name, e.state.Layers)
		}
	}
}

// TestHolders guards against two holders whose assignments overlap, against engines that take an old
// assignment for a new one, and against a desired state that is never reached.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.setDesired(16)
		step := func(t *rapid.T) { s.step(t, rapid.SampledFrom(s.instances).Draw(t, "instance")) }
		t.Repeat(map[string]func(*rapid.T){
			"step":  step,
			"step2": step,
			"step3": step,
			"advance": func(t *rapid.T) {
				s.advance(t, time.Duration(rapid.IntRange(1, 4000).Draw(t, "time"))*time.Millisecond)
			},
			"outage": func(t *rapid.T) {
				s.advance(t, time.Duration(rapid.IntRange(5, 20).Draw(t, "seconds"))*time.Second)
			},
			"resume": s.resume,
			"delayed writes": func(*rapid.T) {
				for _, x := range s.delayed {
					s.write(x)
				}
				s.delayed = nil
			},
			"desire": func(t *rapid.T) { s.setDesired(rapid.IntRange(1, 32).Draw(t, "layers")) },
			"":       s.check,
		})
		s.setDesired(32)
		s.settle(t)
	})
}
