package lease_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

func init() {
	// A fixed seed makes runs repeatable; the command line can still set another.
	_ = flag.Set("rapid.seed", "1")
	// A takeover takes 13 s of simulated time, so dozens of steps are needed for one.
	_ = flag.Set("rapid.steps", "150")
}

// leaseShift is the number of low bits in the fencing token of an assignment that number the assignments of one
// lease. The other bits are the fencing token of the lease.
const leaseShift = 24

// engine accepts assignments. If checksToken is set, it refuses those whose fencing token is not higher than before.
type engine struct {
	checksToken bool
	token       uint64
	state       reconcile.State
	accepted    []uint64 // accepted lists the fencing tokens of the accepted assignments.
}

func (e *engine) assign(a reconcile.Assignment) {
	if e.checksToken && a.FencingToken <= e.token {
		return
	}
	e.token, e.state = max(e.token, a.FencingToken), a.State
	e.accepted = append(e.accepted, a.FencingToken)
}

// instance has its own clock, which differs from simulated time in offset and rate.
type instance struct {
	name       string
	offset     time.Duration
	rate       float64
	elector    *lease.Elector
	reconciler *reconcile.Reconciler
	// authorized contains assignments that were authorized but not sent yet, because the instance was paused.
	authorized []reconcile.Assignment
}

// inFlight is an assignment that was sent and has not reached its engine.
type inFlight struct {
	assignment reconcile.Assignment
	arrival    time.Duration // arrival is the simulated time at which the assignment arrives or is lost.
	paused     bool          // paused is set if the sender was paused before it sent the authorized assignment.
}

// simulation simulates instances that compete for the lease and send assignments to engines.
type simulation struct {
	now         time.Duration
	row         lease.Row
	history     []lease.Row // history holds the earlier rows, from which the store may come back.
	engines     map[string]*engine
	instances   []*instance
	inFlight    []inFlight
	delayed     []lease.Transaction // delayed lists transactions that reach the store later.
	tokenUsers  map[uint64]string   // tokenUsers maps each lease's fencing token to the instance that used it.
	newestToken uint64
	faultFree   bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		engines:    map[string]*engine{"checks": {checksToken: true}, "ignores": {}},
		tokenUsers: map[uint64]string{},
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

// inject reports whether a fault is injected: in one of n draws, and never in a fault-free simulation.
func (s *simulation) inject(t *rapid.T, n int, label string) bool {
	return !s.faultFree && rapid.IntRange(1, n).Draw(t, label) == 1
}

// advance advances the simulated time, and delivers or drops the assignments that arrive.
func (s *simulation) advance(t *rapid.T, d time.Duration) {
	s.now += d
	var remaining []inFlight
	for _, f := range s.inFlight {
		if s.now < f.arrival {
			remaining = append(remaining, f)
			continue
		}
		if !s.inject(t, 2, "drop") {
			s.deliver(t, f)
		}
	}
	s.inFlight = remaining
}

// deliver passes an assignment to its engine. Unless the sender was paused, it must not arrive after an assignment
// of a newer lease was authorized, whether the engine checks fencing tokens or not.
func (s *simulation) deliver(t *rapid.T, f inFlight) {
	if number := f.assignment.FencingToken >> leaseShift; !f.paused && number < s.newestToken {
		t.Fatalf("an assignment of lease %d arrives after lease %d was allowed to assign", number, s.newestToken)
	}
	s.engines[f.assignment.Target].assign(f.assignment)
}

// commit executes a transaction. Injected faults refuse or delay it, or lose its response.
func (s *simulation) commit(t *rapid.T, i *instance, transaction lease.Transaction) {
	switch {
	case s.inject(t, 6, "refused"):
	case s.inject(t, 6, "delayed"):
		s.delayed = append(s.delayed, transaction)
	case s.write(transaction) && !s.inject(t, 4, "lost"):
		i.elector.ObserveCommit(s.clock(i), transaction, s.row.Revision)
	}
}

func (s *simulation) write(transaction lease.Transaction) bool {
	if transaction.Revision.Number != s.row.Revision.Number { // The store compares numbers, whatever the era.
		return false
	}
	s.history = append(s.history, s.row)
	s.row = lease.Row{Revision: revision.New(s.row.Revision.Era, s.row.Revision.Number+1), Value: transaction.Value}
	return true
}

// restore brings the store back from a copy, which is some writes old. Numbers are given out again.
func (s *simulation) restore(t *rapid.T) {
	if len(s.history) == 0 || s.faultFree {
		return
	}
	lost := rapid.IntRange(1, min(len(s.history), 4)).Draw(t, "lost writes")
	era := s.row.Revision.Era + 1
	s.row = s.history[len(s.history)-lost]
	s.row.Revision.Era = era
	s.history = s.history[:len(s.history)-lost]
}

// exchangeTokens tells an instance the highest fencing tokens that the others have seen.
func (s *simulation) exchangeTokens(i *instance) {
	for _, other := range s.instances {
		i.elector.ObserveFencingToken(other.elector.HighestFencingToken())
	}
}

// step runs one iteration of an instance's loop: it reads the row, executes due transactions and sends assignments.
func (s *simulation) step(t *rapid.T, i *instance) {
	if !s.inject(t, 5, "read fails") {
		i.elector.Observe(s.clock(i), s.row)
	}
	s.exchangeTokens(i)
	if transaction, ok := i.elector.Acquire(s.clock(i)); ok {
		s.commit(t, i, transaction)
	}
	if transaction, ok := i.elector.Renew(s.clock(i)); ok {
		s.commit(t, i, transaction)
	}
	for name, e := range s.engines {
		i.reconciler.Report(s.clock(i), name, reconcile.Reported{State: e.state, FencingToken: e.token})
	}
	s.sendAssignments(t, i)
}

func (s *simulation) sendAssignments(t *rapid.T, i *instance) {
	token, ok := i.elector.AuthorizeAssignment(s.clock(i))
	if !ok {
		return
	}
	if other, found := s.tokenUsers[token]; found && other != i.name {
		t.Fatalf("%s and %s both hold lease %d", i.name, other, token)
	}
	s.tokenUsers[token], s.newestToken = i.name, max(s.newestToken, token)
	for _, assignment := range i.reconciler.DueAssignments(s.clock(i), token) {
		if s.inject(t, 4, "pause") {
			i.authorized = append(i.authorized, assignment)
			continue
		}
		s.inFlight = append(s.inFlight, inFlight{assignment: assignment, arrival: s.now + s.latency(t)})
	}
}

// latency returns how long an assignment takes: at most the assignment timeout as measured by a clock that runs
// 10% slow.
func (s *simulation) latency(t *rapid.T) time.Duration {
	if s.faultFree {
		return 0
	}
	return time.Duration(rapid.IntRange(0, 2200).Draw(t, "travel")) * time.Millisecond
}

// resume lets an instance send the assignments that were authorized before it was paused.
func (s *simulation) resume(t *rapid.T) {
	i := rapid.SampledFrom(s.instances).Draw(t, "resumed")
	for _, assignment := range i.authorized {
		s.inFlight = append(s.inFlight, inFlight{assignment: assignment, arrival: s.now + s.latency(t), paused: true})
	}
	i.authorized = nil
}

// setDesired sets the desired state of all engines: that they hold the first layers of a model.
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

// settle ends all faults, executes or delivers everything delayed, and runs the instances' loops for three minutes.
// All engines must then be in the desired state.
func (s *simulation) settle(t *rapid.T) {
	s.faultFree = true
	for _, transaction := range s.delayed {
		s.write(transaction)
	}
	for _, i := range s.instances {
		for _, assignment := range i.authorized {
			s.engines[assignment.Target].assign(assignment)
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

// TestHolders guards against two holders whose assignments overlap, against engines that accept an older
// assignment after a newer one, and against a desired state that is never reached, also if the store comes back from an
// older copy.
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
			"resume":  s.resume,
			"restore": s.restore,
			"delayed writes": func(*rapid.T) {
				for _, transaction := range s.delayed {
					s.write(transaction)
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
