package targetstats_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/memorylimit"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	loadInstances    = 146
	loadFanout       = 24                     // loadFanout is the number of instances to which an instance sends its loads.
	loadInterval     = 300 * time.Millisecond // loadInterval is the time between two such updates.
	streamTime       = 5 * time.Second        // streamTime is the mean time that a stream runs.
	streamsPerTarget = 100                    // streamsPerTarget is the number of streams for whose whole responses a target has memory.
	// maxStreamsPerTarget is the number of streams for which a target has memory on average: half of their output.
	maxStreamsPerTarget = streamsPerTarget * 112 / 100
)

// memoryLoad plays instances that place streams on targets. Each instance knows the loads of the others from updates
// that are late and reach only a sample.
type memoryLoad struct {
	random   *rand.Rand
	targets  []*target.Target
	finder   *path.Finder
	trackers []*targetstats.Tracker
	used     map[string]int // used counts the streams on each target.
	ends     map[int][]func()
	limits   []*memorylimit.Limit
	admitted int // admitted counts the streams that were sent to targets.
	refused  int // refused counts those of them that met a target without memory.
}

func newMemoryLoad() *memoryLoad {
	engine := &catalogue.Engine{
		Layers: 80, KVBytesPerToken: 80, BaseStepTime: time.Millisecond, PrefillRate: 1e5,
		Accelerators: map[string]catalogue.Accelerator{"k": {MemoryBytes: streamsPerTarget * 8 * 1000, StepFactor: 1, PrefillFactor: 1}},
	}
	m := &memoryLoad{random: rand.New(rand.NewPCG(1, 2)), used: make(map[string]int), ends: make(map[int][]func())}
	for i := range 100 {
		first := i % 10 * 8
		m.targets = append(m.targets, &target.Target{
			Name: fmt.Sprint("w", i), Kind: target.Engine, DataCentre: "a", Accelerator: "k", State: target.Live,
			Layers: layer.Range{First: first, End: first + 8}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		})
	}
	m.finder = path.New(engine, m.targets)
	for range loadInstances {
		m.trackers = append(m.trackers, targetstats.New())
		m.limits = append(m.limits, memorylimit.New())
	}
	return m
}

// sendLoads sends the loads of an instance to a random sample of the others.
func (m *memoryLoad) sendLoads(from int, now time.Time) {
	loads := make(map[uint64]targetstats.Load)
	for name, load := range m.trackers[from].LocalLoads() {
		loads[targetstats.TargetHash(name)] = load
	}
	for _, to := range m.random.Perm(loadInstances)[:loadFanout] {
		if to != from {
			m.trackers[to].SetInstanceCount(loadInstances)
			m.trackers[to].SetRemoteLoads(fmt.Sprint("i", from), loads, now)
		}
	}
}

// place sends a stream that ends at a tick, if its random instance finds a path.
func (m *memoryLoad) place(end int, now time.Time) {
	i := m.random.IntN(loadInstances)
	p, err := m.finder.Find(m.random, path.Request{
		To: 80, PromptTokens: 800, OutputTokens: 200, DataCentre: "a", Loads: m.trackers[i].Loads(m.finder.Targets(), now),
		MaxUtilization: m.limits[i].Utilization(now),
	})
	if err != nil {
		return
	}
	m.admitted++
	for _, stage := range p {
		if m.used[stage.Target.Name] >= maxStreamsPerTarget {
			m.refused++
			m.limits[i].Refused(now)
			m.trackers[i].RecordRefusal(stage.Target.Name, now)
			return
		}
	}
	release := m.trackers[i].Reserve(p, 1000)
	for _, stage := range p {
		m.used[stage.Target.Name]++
	}
	m.ends[end] = append(m.ends[end], func() {
		release()
		for _, stage := range p {
			m.used[stage.Target.Name]--
		}
	})
}

// TestMemoryUnderOverload guards against admitting streams beyond the memory of the targets when half more arrive than
// there is memory for: targets would preempt streams, prefill them again, and serve ever fewer. It also guards against
// leaving much of the memory unused.
func TestMemoryUnderOverload(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		duration = 14 * time.Second
		warmUp   = 6 * time.Second
		offered  = 1.5 * 10 * streamsPerTarget // offered is the number of streams that would run if all were admitted.
	)
	m := newMemoryLoad()
	arrivals, usedSum, samples := 0.0, 0.0, 0
	for i := range int(duration / tick) {
		now := start.Add(time.Duration(i) * tick)
		for _, end := range m.ends[i] {
			end()
		}
		delete(m.ends, i)
		for from := range loadInstances {
			if (i+from)%int(loadInterval/tick) == 0 {
				m.sendLoads(from, now)
			}
		}
		if i == int(warmUp/tick) {
			m.admitted, m.refused = 0, 0
		}
		if i > int(warmUp/tick) {
			for _, n := range m.used {
				usedSum += float64(n)
			}
			samples++
		}
		for arrivals += offered / streamTime.Seconds() * tick.Seconds(); arrivals >= 1; arrivals-- {
			shortest, spread := streamTime/5, streamTime*8/5
			m.place(i+int(shortest/tick)+m.random.IntN(int(spread/tick)), now)
		}
	}
	refused, used := float64(m.refused)/float64(m.admitted), usedSum/float64(samples*len(m.targets)*streamsPerTarget)
	t.Logf("%.3f of the streams met a target without memory, %.2f of the memory was used", refused, used)
	qt.Assert(t, refused <= 0.05, qt.IsTrue, qt.Commentf("%.3f of the streams met a target without memory", refused))
	qt.Assert(t, used >= 0.7, qt.IsTrue, qt.Commentf("%.2f of the memory was used", used))
}
