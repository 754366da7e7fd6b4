package stream_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/layer"
	client "github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	model  = "darning"
	layers = 6
)

var quiet = &log.Logger{Level: log.PanicLevel}

// router picks a random target of each range, except the excluded ones.
type router struct {
	mu              sync.Mutex
	random          *rand.Rand
	groups          [][]target.Target
	requests        []stream.RouteRequest
	failed          map[string]int
	leaving         []string
	exclusiveHolder string  // exclusiveHolder is the one suspect that has exclusive targets.
	outstanding     float64 // outstanding is the cost that was sent and neither finished nor abandoned.
}

func newRouter(groups [][]target.Target) *router {
	return &router{random: rand.New(rand.NewPCG(1, 2)), groups: groups, failed: map[string]int{}}
}

func (r *router) PickRoute(p stream.RouteRequest) ([]target.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, p)
	if p.Exclusive && r.exclusiveHolder != "" {
		return nil, errors.New("another suspect holds the targets")
	}
	var route []target.Target
	for _, group := range r.groups {
		open := slices.DeleteFunc(slices.Clone(group), func(t target.Target) bool { return slices.Contains(p.Excluded, t.Name) })
		if len(open) == 0 {
			return nil, errors.New("no target")
		}
		route = append(route, open[r.random.IntN(len(open))])
	}
	if p.Exclusive {
		r.exclusiveHolder = p.Request
	}
	return route, nil
}

func (r *router) ReleaseExclusive([]target.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclusiveHolder = ""
}

func (r *router) currentHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exclusiveHolder
}

func (r *router) RequestSent(_ string, cost float64, _ time.Time) { r.addOutstanding(cost) }

func (r *router) RequestFinished(_ string, cost float64, _ time.Duration, _ time.Time) {
	r.addOutstanding(-cost)
}

func (r *router) RequestAbandoned(_ string, cost float64, _ time.Time) { r.addOutstanding(-cost) }

func (r *router) addOutstanding(cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding += cost
}

func (r *router) TargetFailed(name string, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[name]++
}

func (r *router) MarkLeaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, name)
}

// testCluster is a few stand-in engines for each of three layer ranges.
type testCluster struct {
	router  *router
	runner  *stream.Runner
	engines map[string]*engine.Server
}

func newTestCluster(c *qt.C, perRange int, options ...stream.Option) *testCluster {
	f := &testCluster{engines: map[string]*engine.Server{}}
	var groups [][]target.Target
	for first := 0; first < layers; first += 2 {
		groups = append(groups, f.startEngines(c, layer.Range{First: first, End: first + 2}, perRange))
	}
	f.router = newRouter(groups)
	pool := client.NewPool()
	c.Cleanup(pool.Close)
	stage := func(t target.Target) stream.Stage { return pool.Client(t.Address) }
	f.runner = stream.NewRunner(f.router, stage, append([]stream.Option{stream.WithLogger(quiet)}, options...)...)
	return f
}

func (f *testCluster) startEngines(c *qt.C, held layer.Range, n int) []target.Target {
	var group []target.Target
	for i := range n {
		name := fmt.Sprintf("w%d-%d", held.First, i)
		s, err := engine.New(engine.WithName(name), engine.WithModel(model, layers, held))
		c.Assert(err, qt.IsNil)
		c.Cleanup(s.Close)
		f.engines[name] = s
		group = append(group, target.Target{Name: name, Address: s.Addr(), State: target.Live, Layers: held})
	}
	return group
}

// targetRunning returns the engine of the range that ran the request's latest step.
func (f *testCluster) targetRunning(request string, first int) *engine.Server {
	var latest engine.Execution
	for _, s := range f.engines {
		for _, e := range s.Executions() {
			if e.Request == request && e.Layers.First == first && e.At.After(latest.At) {
				latest = e
			}
		}
	}
	return f.engines[latest.Target]
}

func request(id, prompt string, tokens int) stream.Request {
	return stream.Request{
		ID: id, Workspace: "north", Model: model, Layers: layers, Prompt: prompt, MaxTokens: tokens,
		Priority: configuration.Interactive, Fingerprint: 7,
	}
}

// collector keeps the texts of a response and checks that tokens come in order.
type collector struct {
	texts []string
	after func(index int)
}

func (k *collector) emit(t stream.Token) error {
	if t.Index != len(k.texts) {
		return fmt.Errorf("token %d came after %d tokens", t.Index, len(k.texts))
	}
	k.texts = append(k.texts, t.Text)
	if k.after != nil {
		k.after(t.Index)
	}
	return nil
}

// checkLayers asserts that each layer ran at most once for each position of a generation.
func (f *testCluster) checkLayers(t testing.TB) {
	type ran struct {
		request    string
		generation uint32
		layer      int
		position   int
	}
	seen := map[ran]string{}
	for name, s := range f.engines {
		for _, e := range s.Executions() {
			for l := e.Layers.First; l < e.Layers.End; l++ {
				for p := e.Position; p < e.Position+e.Count; p++ {
					key := ran{e.Request, e.Generation, l, p}
					if other, twice := seen[key]; twice {
						t.Errorf("%+v ran on %s and on %s", key, other, name)
					}
					seen[key] = name
				}
			}
		}
	}
}

func clientOf(c *qt.C, s *engine.Server) *client.Client {
	e := client.New(s.Addr())
	c.Cleanup(e.Close)
	return e
}
