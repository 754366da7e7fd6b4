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

// fleet is a seeded event loop: instances that each route with their own partial view, over
// workers that serve one step at a time in order of arrival.
type fleet struct {
	instances   int
	perGroup    int
	groups      int
	utilisation float64
	lag         time.Duration // lag is the age of a load report on arrival.
	length      time.Duration
	deadline    time.Duration
	slowLink    time.Duration // slowLink is added, for each answer, on the fastest worker of each group.
	pace        float64       // pace is the number of steps/s of the slowest worker; the fastest has eight times that.
}

// workerState is the queue of one worker.
type workerState struct {
	rate   float64
	link   time.Duration
	free   time.Time
	queued int
	served int
}

// event has a number that keeps the order of equal times fixed.
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
	good     int
	p95      time.Duration
	byWorker map[string]int
}

func (r result) goodput() float64 { return float64(r.good) / float64(r.offered) }

const fleetLayers = 32

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// targets returns perGroup workers for each of groups equal ranges.
func targets(groups, perGroup int) []target.Target {
	var list []target.Target
	for g := range groups {
		for i := range perGroup {
			list = append(list, target.Target{
				Name: fmt.Sprintf("g%d-%d", g, i), Kind: target.Engine, State: target.Live, Model: "m", ModelLayers: fleetLayers,
				Layers: layer.Range{First: g * fleetLayers / groups, End: (g + 1) * fleetLayers / groups},
			})
		}
	}
	return list
}

// run drives one policy. Arrivals, sizes and the receiving instances depend on the seed only.
func (f fleet) run(policy route.Policy, seed uint64) result {
	arrivals, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	list := targets(f.groups, f.perGroup)
	workers, capacity := f.workers(list)
	pickers := make([]*route.Picker, f.instances)
	for i := range pickers {
		pickers[i] = route.NewPicker(route.WithPolicy(policy))
		pickers[i].SetTargets(list)
	}
	queue, out := &events{}, result{byWorker: map[string]int{}}
	f.report(queue, pickers, list, workers)
	var latencies []time.Duration
	for at := epoch; at.Before(epoch.Add(f.length)); {
		at = at.Add(time.Duration(arrivals.ExpFloat64() / (capacity * f.utilisation) * float64(time.Second)))
		picker := pickers[arrivals.IntN(len(pickers))]
		size := 0.5 + arrivals.Float64()
		out.offered++
		queue.add(at, func(now time.Time) {
			chosen, err := picker.Pick(choices, route.Request{Model: "m", Layers: fleetLayers, Now: now})
			if err != nil {
				panic(err)
			}
			f.stage(queue, picker, workers, chosen.Stages, size, now, func(done time.Time) {
				latencies = append(latencies, done.Sub(now))
				if done.Sub(now) <= f.deadline {
					out.good++
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
	for name, w := range workers {
		out.byWorker[name] = w.served
	}
	return out
}

// workers returns the workers, with rates spread eightfold within each group, and the capacity of
// one group in steps/s.
func (f fleet) workers(list []target.Target) (map[string]*workerState, float64) {
	workers := map[string]*workerState{}
	capacity := 0.0
	for i, t := range list {
		place := i % f.perGroup
		rate := f.pace * math.Pow(8, float64(place)/float64(max(1, f.perGroup-1)))
		w := &workerState{rate: rate, free: epoch}
		if place == f.perGroup-1 {
			w.link = f.slowLink
		}
		workers[t.Name] = w
		if i < f.perGroup {
			capacity += rate
		}
	}
	return workers, capacity
}

// stage runs the first of the stages and then the others.
func (f fleet) stage(queue *events, picker *route.Picker, workers map[string]*workerState, stages []target.Target, size float64, sent time.Time, done func(time.Time)) {
	name := stages[0].Name
	w := workers[name]
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
		f.stage(queue, picker, workers, stages[1:], size, now, done)
	})
}

// report sends each worker's load to every instance once a second, late by the lag.
func (f fleet) report(queue *events, pickers []*route.Picker, list []target.Target, workers map[string]*workerState) {
	for at := epoch; at.Before(epoch.Add(f.length)); at = at.Add(time.Second) {
		queue.add(at, func(measured time.Time) {
			for _, t := range list {
				w := workers[t.Name]
				r := route.Report{Queued: w.queued, Measured: measured, StepTime: time.Duration(float64(time.Second) / w.rate)}
				queue.add(measured.Add(f.lag), func(now time.Time) {
					for _, p := range pickers {
						p.UpdateReport(t.Name, r, now)
					}
				})
			}
		})
	}
}
