// Package targetstats keeps what an instance knows of the load and health of targets: the requests that it has sent
// itself, the load that other instances tell of, and how requests ended.
//
// It answers three loads. Many instances share the same targets, each with a partial view: what the others tell is
// added to what this instance sent. And a target may fail or crash while its health check is good: it is avoided
// after failures, for a time that doubles with each further one, and used again with its first good answer. And a
// full target refuses: it is not failing, and is only made to look slow for a moment.
//
// Usage:
//
//	meter := targetstats.New()
//	release := meter.Reserve(path.Parts, tokens)
//	defer release()
//	meter.Failed("w1", now)
//	if meter.Avoided("w1", now) { ... }
package targetstats

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// firstAvoidance is how long a target is avoided after one failure.
	firstAvoidance = 250 * time.Millisecond
	// maxAvoidance bounds the doubling.
	maxAvoidance = 4 * time.Second
	// remoteLife is how long the load that another instance told of is believed.
	remoteLife = 3 * time.Second
	// fullTime is how long a target that had no room counts as full.
	fullTime = 150 * time.Millisecond
	// fullFactor makes such a target look slower.
	fullFactor = 6
	// latencyWeight is the weight of a new answer in the smoothed latency.
	latencyWeight = 0.1
	// failureWeight is the weight of a new answer in the smoothed share of failures.
	failureWeight = 0.15
)

// Load is what requests take of a target.
type Load struct {
	KVCells int64 `json:"Cells"` // KVCells is KV cache, in tokens times layers.
	Streams int
}

// state is what is known of one target.
type state struct {
	load     Load
	avoided  time.Time
	full     time.Time // full is until when the target counts as full.
	dead     time.Time // dead is until when the target counts as dead.
	failures int
	failing  float64 // failing is the smoothed share of failed requests.
	latency  time.Duration
}

// remote is the load of another instance.
type remote struct {
	at    time.Time
	loads map[uint64]Load
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	targets map[string]*state
	remotes map[string]remote
	others  map[uint64]Load // others sums the remotes.
	scale   float64         // scale extends the remotes to the instances that were not heard.
	members int             // members is the number of live instances, this one included.
}

// New returns a meter that knows nothing.
func New() *Tracker {
	return &Tracker{targets: make(map[string]*state), remotes: make(map[string]remote), others: make(map[uint64]Load), scale: 1}
}

func (m *Tracker) state(name string) *state {
	s := m.targets[name]
	if s == nil {
		s = &state{}
		m.targets[name] = s
	}
	return s
}

// Reserve counts a request on the targets of a path until the result is called.
func (m *Tracker) Reserve(parts path.Path, tokens int) (release func()) {
	m.add(parts, tokens, 1)
	return sync.OnceFunc(func() { m.add(parts, tokens, -1) })
}

func (m *Tracker) add(parts path.Path, tokens, sign int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range parts {
		s := m.state(p.Target.Name)
		s.load.KVCells += int64(sign * tokens * max(p.Layers.Len(), 0))
		s.load.Streams += sign
	}
}

// LocalLoads returns the load of this instance's requests on each target that has any.
func (m *Tracker) LocalLoads() map[string]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := make(map[string]Load)
	for name, s := range m.targets {
		if s.load.Streams > 0 {
			own[name] = s.load
		}
	}
	return own
}

// TargetHash names a target in the loads of other instances.
func TargetHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetInstanceCount sets the number of live instances, this one included. Those that told nothing are taken to have the mean
// load of those that did.
func (m *Tracker) SetInstanceCount(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = n
}

// SetRemoteLoads takes in the load of another instance, by the keys of the targets. It replaces what it told before.
func (m *Tracker) SetRemoteLoads(instance string, loads map[uint64]Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.remotes {
		if name == instance || now.Sub(r.at) > remoteLife {
			m.count(r, -1)
			delete(m.remotes, name)
		}
	}
	m.remotes[instance] = remote{at: now, loads: loads}
	m.count(m.remotes[instance], 1)
	m.scale = 1
	if heard := len(m.remotes); heard > 0 && m.members-1 > heard {
		m.scale = float64(m.members-1) / float64(heard)
	}
}

// count adds what an instance told to the sums, or takes it off.
func (m *Tracker) count(r remote, sign int) {
	for target, load := range r.loads {
		sum := m.others[target]
		sum.KVCells += int64(sign) * load.KVCells
		sum.Streams += sign * load.Streams
		if sum == (Load{}) {
			delete(m.others, target)
			continue
		}
		m.others[target] = sum
	}
}

// Loads returns the loads of all instances on the targets, for a path through them.
func (m *Tracker) Loads(targets []*target.Target, now time.Time) []path.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := make([]path.Load, len(targets))
	for i, t := range targets {
		load := m.load(t.Name)
		loads[i] = path.Load{KVCells: load.KVCells, Streams: load.Streams}
		if s := m.targets[t.Name]; s != nil && now.Before(s.full) {
			loads[i].Slowdown = fullFactor
		}
	}
	return loads
}

// Load returns the load of all instances on a target.
func (m *Tracker) Load(name string) Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load(name)
}

func (m *Tracker) load(name string) Load {
	load := m.others[TargetHash(name)]
	load.KVCells = int64(m.scale * float64(load.KVCells))
	load.Streams = int(m.scale * float64(load.Streams))
	if s := m.targets[name]; s != nil {
		load.KVCells += s.load.KVCells
		load.Streams += s.load.Streams
	}
	return load
}

// RecordSuccess notes a good answer.
func (m *Tracker) RecordSuccess(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(name)
	s.failures, s.avoided, s.dead = 0, time.Time{}, time.Time{}
	s.failing *= 1 - failureWeight
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// RecordFailure notes a failed request: the target is avoided for a while.
func (m *Tracker) RecordFailure(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(name)
	s.failing += failureWeight * (1 - s.failing)
	wait := firstAvoidance << min(s.failures, 8)
	s.failures++
	if until := now.Add(min(wait, maxAvoidance)); until.After(s.avoided) {
		s.avoided = until
	}
}

// RecordError notes an answer that the target gave as its own failure. It raises the share of failures only: some
// requests fail wherever they run.
func (m *Tracker) RecordError(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(name)
	s.failing += failureWeight * (1 - s.failing)
}

// RecordRefusal notes that the target had no room.
func (m *Tracker) RecordRefusal(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(name)
	s.full = now.Add(fullTime)
}

// Saturated reports whether the target had no room a moment ago.
func (m *Tracker) Saturated(name string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.targets[name]
	return s != nil && now.Before(s.full)
}

// MarkDead keeps the target out of use until then.
func (m *Tracker) MarkDead(name string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.state(name); until.After(s.dead) {
		s.dead = until
	}
}

// MarkAlive notes that a target found dead answers again.
func (m *Tracker) MarkAlive(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(name).dead = time.Time{}
}

// IsDead reports whether the target was found dead.
func (m *Tracker) IsDead(name string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.targets[name]
	return s != nil && now.Before(s.dead)
}

// Ejected reports whether the target is out of use.
func (m *Tracker) Ejected(name string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.targets[name]
	return s != nil && now.Before(s.avoided)
}

// Health returns the smoothed latency and share of failures of a target.
func (m *Tracker) Health(name string) (latency time.Duration, failing float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.targets[name]; s != nil {
		return s.latency, s.failing
	}
	return 0, 0
}

// Retain forgets all targets but the known ones and those with requests.
func (m *Tracker) Retain(known func(name string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.targets {
		if s.load.Streams == 0 && !known(name) {
			delete(m.targets, name)
		}
	}
}
