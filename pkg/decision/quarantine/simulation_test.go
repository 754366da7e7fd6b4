package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
)

const (
	tick = 10 * time.Millisecond
	// heldTicks is how long a request in flight waits for a verdict, a little more than the ledger takes.
	heldTicks = 600
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is a caller's request. A crashing one kills each target that comes to the end of its prefill.
type job struct {
	id       string
	print    uint64
	crashes  bool
	route    []string
	prefill  int // prefill is the number of ticks until the next token.
	left     int // left is the number of ticks until the answer is complete.
	finished bool
	refused  bool
	placed   bool
	held     int // held is the number of ticks for which a request in flight has waited for a verdict.
}

// machine is one target. A dead one stays in use until its death is detected.
type machine struct {
	dead   bool
	detect int // detect is the number of ticks until the death is noticed.
}

// world drives a ledger as an entry instance does, and is the oracle: it knows what killed what.
type world struct {
	ledger   *quarantine.Detector
	random   *rand.Rand
	now      time.Time
	machines map[string]*machine
	jobs     []*job
	killed   map[uint64]int // killed counts the targets lost to each content.
	number   int
	stages   int
}

func newWorld(seed uint64, targets, stages int) *world {
	w := &world{
		ledger: quarantine.New(), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		machines: map[string]*machine{}, killed: map[uint64]int{}, stages: stages,
	}
	for range targets {
		w.join()
	}
	return w
}

func (w *world) join() {
	w.number++
	w.machines[fmt.Sprintf("t%04d", w.number)] = &machine{}
}

func (w *world) submit(content string, crashes bool) *job {
	w.number++
	j := &job{
		id: fmt.Sprintf("r%04d", w.number), print: quarantine.Fingerprint("w", []byte(content)),
		crashes: crashes, left: 20 + w.random.IntN(200),
	}
	w.jobs = append(w.jobs, j)
	return j
}

// resend submits crashing content under a new ID, unless its caller still has two copies waiting.
func (w *world) resend(content string) {
	fingerprint := quarantine.Fingerprint("w", []byte(content))
	open := 0
	for _, j := range w.jobs {
		if j.print == fingerprint && !j.refused {
			open++
		}
	}
	if open < 2 {
		w.submit(content, true)
	}
}

// step advances the world by one tick.
func (w *world) step() {
	w.now = w.now.Add(tick)
	for _, j := range w.jobs {
		switch {
		case j.finished || j.refused:
		case j.route == nil:
			w.place(j)
		default:
			w.run(j)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[name]
		switch {
		case !m.dead:
			if w.random.IntN(4) == 0 {
				w.ledger.TargetResponded(name)
			}
		case m.detect > 0:
			m.detect--
		default:
			w.detect(name)
		}
	}
}

// place starts a job on a random route that the ledger permits, or refuses it.
func (w *world) place(j *job) {
	switch w.ledger.Check(j.print, w.now) {
	case quarantine.Quarantined:
		j.refused = true
		return
	case quarantine.Held:
		j.held++
		j.refused = !j.placed || j.held > heldTicks
		return
	}
	names := slices.Sorted(maps.Keys(w.machines))
	w.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var route []string
	for _, name := range names {
		if len(route) < w.stages && w.ledger.MayRun(j.id, j.print, name, w.now) {
			route = append(route, name)
		}
	}
	if len(route) < w.stages {
		return
	}
	j.route, j.placed = route, true
	j.prefill = 1 + w.random.IntN(10)
	for _, name := range route {
		w.ledger.RequestStarted(j.id, j.print, name)
	}
}

// run advances a job that is on a route. A dead target stops it.
func (w *world) run(j *job) {
	for _, name := range j.route {
		if w.machines[name].dead {
			return
		}
	}
	j.prefill--
	j.left--
	if j.prefill > 0 {
		return
	}
	if j.crashes {
		w.kill(j.route[0], w.random.IntN(3))
		w.killed[j.print]++
		return
	}
	if j.prefill == 0 {
		w.ledger.RequestProgressed(j.id)
	}
	if j.left <= 0 {
		w.leave(j)
		w.ledger.RequestCompleted(j.print)
		j.finished = true
	}
}

func (w *world) leave(j *job) {
	for _, name := range j.route {
		w.ledger.RequestFinished(j.id, name)
	}
	j.route = nil
}

func (w *world) kill(name string, detect int) {
	if m := w.machines[name]; !m.dead {
		m.dead, m.detect = true, detect
	}
}

// rack kills several random targets at once.
func (w *world) rack(count int) {
	names := slices.Sorted(maps.Keys(w.machines))
	w.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	for _, name := range names[:count] {
		w.kill(name, w.random.IntN(10))
	}
}

// detect reports a death to the ledger, and takes the jobs there off their routes.
func (w *world) detect(name string) {
	delete(w.machines, name)
	w.ledger.TargetCrashed(name, w.now)
	w.join()
	for _, j := range w.jobs {
		if slices.Contains(j.route, name) {
			w.leave(j)
		}
	}
}
