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
	// heldTicks is how long a held request in flight waits for a final verdict, a little longer than the detector takes.
	heldTicks = 600
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is a client's request. A crashing one crashes each target that completes its prefill.
type job struct {
	id          string
	fingerprint uint64
	crashes     bool
	path        []string
	prefill     int // prefill is the number of ticks until the first token.
	remaining   int // remaining is the number of ticks until the response is complete.
	finished    bool
	refused     bool
	started     bool // started is set once the job has been started on a path.
	held        int  // held is the number of ticks for which the job has waited for a final verdict.
}

// simulatedTarget is one target. A crashed one stays in use until the crash is detected.
type simulatedTarget struct {
	crashed    bool
	undetected int // undetected is the number of ticks until the crash is detected.
}

// simulation drives a detector as an instance does. It is also the test oracle, since it knows which content crashed
// which target.
type simulation struct {
	detector *quarantine.Detector
	random   *rand.Rand
	now      time.Time
	targets  map[string]*simulatedTarget
	jobs     []*job
	crashes  map[uint64]int // crashes counts the targets crashed by each content.
	number   int            // number is the last number used in a name or ID.
	stages   int
}

func newSimulation(seed uint64, targetCount, stages int) *simulation {
	s := &simulation{
		detector: quarantine.New(), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		targets: map[string]*simulatedTarget{}, crashes: map[uint64]int{}, stages: stages,
	}
	for range targetCount {
		s.addTarget()
	}
	return s
}

func (s *simulation) addTarget() {
	s.number++
	s.targets[fmt.Sprintf("t%04d", s.number)] = &simulatedTarget{}
}

func (s *simulation) submit(content string, crashes bool) *job {
	s.number++
	j := &job{
		id: fmt.Sprintf("r%04d", s.number), fingerprint: quarantine.Fingerprint("w", []byte(content)),
		crashes: crashes, remaining: 20 + s.random.IntN(200),
	}
	s.jobs = append(s.jobs, j)
	return j
}

// resend submits crashing content under a new ID, unless its client still has two copies that were not refused.
func (s *simulation) resend(content string) {
	fingerprint := quarantine.Fingerprint("w", []byte(content))
	unrefused := 0
	for _, j := range s.jobs {
		if j.fingerprint == fingerprint && !j.refused {
			unrefused++
		}
	}
	if unrefused < 2 {
		s.submit(content, true)
	}
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(tick)
	for _, j := range s.jobs {
		switch {
		case j.finished || j.refused:
		case j.path == nil:
			s.assign(j)
		default:
			s.run(j)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		switch {
		case !t.crashed:
			if s.random.IntN(4) == 0 {
				s.detector.TargetResponded(name)
			}
		case t.undetected > 0:
			t.undetected--
		default:
			s.detect(name)
		}
	}
}

// assign starts a job on a random path that the detector permits, or refuses it.
func (s *simulation) assign(j *job) {
	switch s.detector.Check(j.fingerprint, s.now) {
	case quarantine.Quarantined:
		j.refused = true
		return
	case quarantine.Held:
		j.held++
		j.refused = !j.started || j.held > heldTicks
		return
	}
	names := slices.Sorted(maps.Keys(s.targets))
	s.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var path []string
	for _, name := range names {
		if len(path) < s.stages && s.detector.MayRun(j.id, j.fingerprint, name, s.now) {
			path = append(path, name)
		}
	}
	if len(path) < s.stages {
		return
	}
	j.path, j.started = path, true
	j.prefill = 1 + s.random.IntN(10)
	for _, name := range path {
		s.detector.RequestStarted(j.id, j.fingerprint, name)
	}
}

// run advances a job that is on a path. A crashed target stops it.
func (s *simulation) run(j *job) {
	for _, name := range j.path {
		if s.targets[name].crashed {
			return
		}
	}
	j.prefill--
	j.remaining--
	if j.prefill > 0 {
		return
	}
	if j.crashes {
		s.crash(j.path[0], s.random.IntN(3))
		s.crashes[j.fingerprint]++
		return
	}
	if j.prefill == 0 {
		s.detector.RequestProgressed(j.id)
	}
	if j.remaining <= 0 {
		s.leave(j)
		s.detector.RequestCompleted(j.fingerprint)
		j.finished = true
	}
}

// leave ends the runs of a job on its path.
func (s *simulation) leave(j *job) {
	for _, name := range j.path {
		s.detector.RequestFinished(j.id, name)
	}
	j.path = nil
}

// crash crashes a target, which is detected after the given number of ticks.
func (s *simulation) crash(name string, undetected int) {
	if t := s.targets[name]; !t.crashed {
		t.crashed, t.undetected = true, undetected
	}
}

// failRack crashes several random targets at once.
func (s *simulation) failRack(count int) {
	names := slices.Sorted(maps.Keys(s.targets))
	s.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	for _, name := range names[:count] {
		s.crash(name, s.random.IntN(10))
	}
}

// detect reports the crash of a target to the detector, replaces the target, and ends the runs of the jobs on it.
func (s *simulation) detect(name string) {
	delete(s.targets, name)
	s.detector.TargetCrashed(name, s.now)
	s.addTarget()
	for _, j := range s.jobs {
		if slices.Contains(j.path, name) {
			s.leave(j)
		}
	}
}
