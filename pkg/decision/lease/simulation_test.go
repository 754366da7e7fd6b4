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
	// A takeover needs 13 s of true time, and with it dozens of steps.
	_ = flag.Set("rapid.steps", "150")
}

const leaseShift = 24 // leaseShift is the number of sequence bits in an order's fencing number.

// engine accepts orders; one that checks refuses old fencing numbers.
type engine struct {
	checks   bool
	fence    uint64
	state    reconcile.State
	accepted []uint64
}

func (e *engine) order(o reconcile.Assignment) {
	if e.checks && o.FencingToken <= e.fence {
		return
	}
	e.fence, e.state = max(e.fence, o.FencingToken), o.State
	e.accepted = append(e.accepted, o.FencingToken)
}

// instance has a clock of its own, which differs from the true time in offset and rate.
type instance struct {
	name    string
	offset  time.Duration
	rate    float64
	holder  *lease.Elector
	orders  *reconcile.Reconciler
	checked []reconcile.Assignment // checked holds the orders of a paused holder, which it has yet to send.
}

// flight is an order on its way to an engine.
type flight struct {
	order  reconcile.Assignment
	limit  time.Duration // limit is the true time by which the order arrives or fails.
	paused bool
}

// world is a table row, engines and instances under a true time.
type world struct {
	now       time.Duration
	row       lease.Row
	engines   map[string]*engine
	instances []*instance
	flights   []flight
	delayed   []lease.Transaction
	holders   map[uint64]string // holders holds who was allowed to order under each lease number.
	newest    uint64
	calm      bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		engines: map[string]*engine{"checks": {checks: true}, "ignores": {}},
		holders: map[uint64]string{},
	}
	for n := range 3 {
		name := fmt.Sprint("entry-", n)
		w.instances = append(w.instances, &instance{
			name:   name,
			offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour,
			rate:   1 + float64(rapid.IntRange(-10, 10).Draw(t, "rate"))/100,
			holder: lease.New("leases/orders", name, name+"-run"),
			orders: reconcile.New(),
		})
	}
	return w
}

func (w *world) clock(i *instance) time.Time {
	local := time.Duration(float64(w.now) * i.rate)
	return time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC).Add(i.offset + local)
}

// chance is true about once in n draws, and never in a calm world.
func (w *world) chance(t *rapid.T, n int, label string) bool {
	return !w.calm && rapid.IntRange(1, n).Draw(t, label) == 1
}

func (w *world) advance(t *rapid.T, d time.Duration) {
	w.now += d
	var rest []flight
	for _, f := range w.flights {
		if w.now < f.limit {
			rest = append(rest, f)
			continue
		}
		if !w.chance(t, 2, "drop") {
			w.land(t, f)
		}
	}
	w.flights = rest
}

// land delivers an order. One that was not paused never meets a successor, whatever the engine does.
func (w *world) land(t *rapid.T, f flight) {
	if number := f.order.FencingToken >> leaseShift; !f.paused && number < w.newest {
		t.Fatalf("an order of lease %d arrives after lease %d was allowed to order", number, w.newest)
	}
	w.engines[f.order.Target].order(f.order)
}

func (w *world) commit(t *rapid.T, i *instance, x lease.Transaction) {
	switch {
	case w.chance(t, 6, "refused"):
	case w.chance(t, 6, "delayed"):
		w.delayed = append(w.delayed, x)
	case w.write(x) && !w.chance(t, 4, "lost"):
		i.holder.ObserveCommit(w.clock(i), x, w.row.Revision)
	}
}

func (w *world) write(x lease.Transaction) bool {
	if x.Revision != w.row.Revision {
		return false
	}
	w.row = lease.Row{Revision: w.row.Revision + 1, Value: x.Value}
	return true
}

// step runs one turn of an instance's control loop.
func (w *world) step(t *rapid.T, i *instance) {
	if !w.chance(t, 5, "read fails") {
		i.holder.Observe(w.clock(i), w.row)
	}
	if x, ok := i.holder.Acquire(w.clock(i)); ok {
		w.commit(t, i, x)
	}
	if x, ok := i.holder.Renew(w.clock(i)); ok {
		w.commit(t, i, x)
	}
	for name, e := range w.engines {
		i.orders.Report(w.clock(i), name, reconcile.Reported{State: e.state, FencingToken: e.fence})
	}
	w.order(t, i)
}

func (w *world) order(t *rapid.T, i *instance) {
	fence, ok := i.holder.AuthorizeAssignment(w.clock(i))
	if !ok {
		return
	}
	if other, found := w.holders[fence]; found && other != i.name {
		t.Fatalf("%s and %s both hold lease %d", i.name, other, fence)
	}
	w.holders[fence], w.newest = i.name, max(w.newest, fence)
	for _, order := range i.orders.DueAssignments(w.clock(i), fence) {
		if w.chance(t, 4, "pause") {
			i.checked = append(i.checked, order)
			continue
		}
		w.flights = append(w.flights, flight{order: order, limit: w.now + w.travel(t)})
	}
}

// travel returns how long an order takes: up to the limit by a clock that runs 10% slow.
func (w *world) travel(t *rapid.T) time.Duration {
	if w.calm {
		return 0
	}
	return time.Duration(rapid.IntRange(0, 2200).Draw(t, "travel")) * time.Millisecond
}

// resume lets a paused holder carry on with the orders that it checked before.
func (w *world) resume(t *rapid.T) {
	i := rapid.SampledFrom(w.instances).Draw(t, "resumed")
	for _, order := range i.checked {
		w.flights = append(w.flights, flight{order: order, limit: w.now + w.travel(t), paused: true})
	}
	i.checked = nil
}

func (w *world) desire(layers int) {
	desired := map[string]reconcile.State{}
	for name := range w.engines {
		a := reconcile.State{Model: "darning", Version: "v1"}
		a.Layers.End = layers
		desired[name] = a
	}
	for _, i := range w.instances {
		i.orders.SetDesired(desired)
	}
}

// check asserts that a checking engine never accepted an order after a newer one.
func (w *world) check(t *rapid.T) {
	accepted := w.engines["checks"].accepted
	for n := 1; n < len(accepted); n++ {
		if accepted[n] <= accepted[n-1] {
			t.Fatalf("a checking engine accepted %d after %d", accepted[n], accepted[n-1])
		}
	}
}

// settle ends all faults, lets everything delayed arrive, and runs the loops for three minutes.
func (w *world) settle(t *rapid.T) {
	w.calm = true
	for _, x := range w.delayed {
		w.write(x)
	}
	for _, i := range w.instances {
		for _, order := range i.checked {
			w.engines[order.Target].order(order)
		}
	}
	for range 180 {
		w.advance(t, time.Second)
		for _, i := range w.instances {
			w.step(t, i)
		}
	}
	for name, e := range w.engines {
		if e.state.Layers.End != 32 {
			t.Fatalf("the engine that %s holds %v in the end", name, e.state.Layers)
		}
	}
}

// TestHolders guards against two holders whose orders overlap, against engines that take an old
// order for a new one, and against a desired state that is never reached.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.desire(16)
		step := func(t *rapid.T) { w.step(t, rapid.SampledFrom(w.instances).Draw(t, "instance")) }
		t.Repeat(map[string]func(*rapid.T){
			"step":  step,
			"step2": step,
			"step3": step,
			"advance": func(t *rapid.T) {
				w.advance(t, time.Duration(rapid.IntRange(1, 4000).Draw(t, "time"))*time.Millisecond)
			},
			"outage": func(t *rapid.T) {
				w.advance(t, time.Duration(rapid.IntRange(5, 20).Draw(t, "seconds"))*time.Second)
			},
			"resume": w.resume,
			"delayed writes": func(*rapid.T) {
				for _, x := range w.delayed {
					w.write(x)
				}
				w.delayed = nil
			},
			"desire": func(t *rapid.T) { w.desire(rapid.IntRange(1, 32).Draw(t, "layers")) },
			"":       w.check,
		})
		w.desire(32)
		w.settle(t)
	})
}
