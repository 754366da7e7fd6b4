package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// simulation is a seeded event loop of instances that each route with their own partial view, over targets that serve
// one step at a time in order of arrival.
type simulation struct {
	instances   int
	perGroup    int
	groups      int
	utilisation float64
	lag         time.Duration // lag is the age of a load report on arrival.
	length      time.Duration
	deadline    time.Duration
	slowLink    time.Duration // slowLink is the delay added to each response of the fastest target of each group.
	slowestRate float64       // slowestRate is the number of steps/s of the slowest target; the fastest has eight times that.
}

// simulatedTarget is the queue of one target.
type simulatedTarget struct {
	rate   float64
	link   time.Duration
	free   time.Time
	queued int
	served int
}

// event is a scheduled call of run. Its number fixes the order of events at the same time.
type event struct {
	at     time.Time
	number int
	run    func(now time.Time)
}

type events struct {
	list   []event
	number int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].number < e.list[j].number
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (e *events) add(at time.Time, run func(time.Time)) {
	e.number++
	heap.Push(e, event{at: at, number: e.number, run: run})
}

// result is the outcome of a run.
type result struct {
	offered  int
	onTime   int
	p95      time.Duration
	byTarget map[string]int
}

func (r result) goodput() float64 { return float64(r.onTime) / float64(r.offered) }

const modelLayers = 32

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// targets returns perGroup targets for each of the groups, which hold equal ranges.
func targets(groups, perGroup int) []target.Target {
	var list []target.Target
	for g := range groups {
		for i := range perGroup {
			list = append(list, target.Target{
				Name: fmt.Sprintf("g%d-%d", g, i), Kind: target.Engine, State: target.Live, Model: "m", ModelLayers: modelLayers,
				Layers: layer.Range{First: g * modelLayers / groups, End: (g + 1) * modelLayers / groups},
			})
		}
	}
	return list
}

// run simulates one policy. Arrivals, sizes and the receiving instances depend only on the seed.
func (s simulation) run(policy route.Policy, seed uint64) result {
	arrivals, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	list := targets(s.groups, s.perGroup)
	simulated, capacity := s.newTargets(list)
	pickers := make([]*route.Picker, s.instances)
	for i := range pickers {
		pickers[i] = route.NewPicker(route.WithPolicy(policy))
		pickers[i].SetTargets(list)
	}
	queue, out := &events{}, result{byTarget: map[string]int{}}
	s.scheduleReports(queue, pickers, list, simulated)
	var latencies []time.Duration
	for at := epoch; at.Before(epoch.Add(s.length)); {
		at = at.Add(time.Duration(arrivals.ExpFloat64() / (capacity * s.utilisation) * float64(time.Second)))
		picker := pickers[arrivals.IntN(len(pickers))]
		size := 0.5 + arrivals.Float64()
		out.offered++
		queue.add(at, func(now time.Time) {
			chosen, err := picker.Pick(choices, route.Request{Model: "m", Layers: modelLayers, Now: now})
			if err != nil {
				panic(err)
			}
			s.runStage(queue, picker, simulated, chosen.Stages, size, now, func(done time.Time) {
				latencies = append(latencies, done.Sub(now))
				if done.Sub(now) <= s.deadline {
					out.onTime++
				}
			})
		})
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		e.run(e.at)
	}
	slices.Sort(latencies)
	out.p95 = latencies[len(latencies)*95/100]
	for name, w := range simulated {
		out.byTarget[name] = w.served
	}
	return out
}

// newTargets returns the simulated targets, with rates that differ by a factor of up to eight within each group, and
// the capacity of one group in steps/s.
func (s simulation) newTargets(list []target.Target) (map[string]*simulatedTarget, float64) {
	simulated := map[string]*simulatedTarget{}
	capacity := 0.0
	for i, t := range list {
		place := i % s.perGroup
		rate := s.slowestRate * math.Pow(8, float64(place)/float64(max(1, s.perGroup-1)))
		w := &simulatedTarget{rate: rate, free: epoch}
		if place == s.perGroup-1 {
			w.link = s.slowLink
		}
		simulated[t.Name] = w
		if i < s.perGroup {
			capacity += rate
		}
	}
	return simulated, capacity
}

// runStage runs the first of the stages and then the others, and calls done at the end of the last one.
func (s simulation) runStage(queue *events, picker *route.Picker, simulated map[string]*simulatedTarget, stages []target.Target, size float64, sent time.Time, done func(time.Time)) {
	name := stages[0].Name
	w := simulated[name]
	picker.RequestSent(name, 1, sent)
	w.queued++
	w.served++
	if w.free.Before(sent) {
		w.free = sent
	}
	w.free = w.free.Add(time.Duration(size / w.rate * float64(time.Second)))
	queue.add(w.free, func(time.Time) { w.queued-- })
	queue.add(w.free.Add(w.link), func(now time.Time) {
		picker.RequestFinished(name, 1, now.Sub(sent), now)
		if len(stages) == 1 {
			done(now)
			return
		}
		s.runStage(queue, picker, simulated, stages[1:], size, now, done)
	})
}

// scheduleReports sends each target's load to every instance once a second, delayed by the lag.
func (s simulation) scheduleReports(queue *events, pickers []*route.Picker, list []target.Target, simulated map[string]*simulatedTarget) {
	for at := epoch; at.Before(epoch.Add(s.length)); at = at.Add(time.Second) {
		queue.add(at, func(measured time.Time) {
			for _, t := range list {
				w := simulated[t.Name]
				r := route.Report{Queued: w.queued, Measured: measured, StepTime: time.Duration(float64(time.Second) / w.rate)}
				queue.add(measured.Add(s.lag), func(now time.Time) {
					for _, p := range pickers {
						p.UpdateReport(t.Name, r, now)
					}
				})
			}
		})
	}
}
