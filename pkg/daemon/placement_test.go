package daemon_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/placementcontroller"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const half = fleet.Layers / 2

// workers returns engines that hold one half of the model each, alternately the first and the second.
func workers(n int) []fleet.EngineSpec {
	var list []fleet.EngineSpec
	for i := range n {
		first := i % 2 * half
		list = append(list, fleet.EngineSpec{
			Name: fmt.Sprintf("w%d", i), DataCentre: fleet.DataCentre(i),
			Accelerator: engine.Accelerators[0], Layers: layer.Range{First: first, End: first + half},
		})
	}
	return list
}

func managed(version string) *configuration.Configuration {
	c := fleet.Configuration()
	c.HeadOffice.Placement.Managed = true
	c.HeadOffice.Accelerators = []configuration.Accelerator{{Name: engine.Accelerators[0].Name, MemoryBytes: half, Rate: 10_000}}
	c.HeadOffice.Models[0].Version = version
	c.HeadOffice.Models[0].LayerBytes = 1
	return c
}

// quick shortens the times of the lease and of drains, so that a test takes seconds.
func quick(s fleet.InstanceSpec) []daemon.Option {
	holder := lease.New(dispatch.Key, s.Name, s.Name, lease.WithDurations(3*time.Second, 500*time.Millisecond, 250*time.Millisecond))
	return []daemon.Option{daemon.WithLogOutput(io.Discard), daemon.WithPlacementController(
		placementcontroller.WithInterval(50*time.Millisecond), placementcontroller.WithDispatcherOptions(dispatch.WithInterval(20*time.Millisecond), dispatch.WithElector(holder)),
		placementcontroller.WithRolloutOptions(rollout.WithDurations(1200*time.Millisecond, 3*time.Second), rollout.WithMaxUnavailable(0.5)),
	)}
}

func startFleet(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(t.Context(), o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	qt.Assert(t, f.WaitReady(t.Context(), o.Instances, 10*time.Second), qt.IsNil)
	eventually(t, 10*time.Second, "the engines were not heard", func() bool {
		for _, m := range f.Instances() {
			for _, seen := range m.Instance.(inprocess.Instance).State().Targets {
				if seen.Kind == target.Engine && !seen.Layers.Valid() {
					return false
				}
			}
		}
		return true
	})
	return f
}

func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// asking asks questions of several callers until it is stopped, and checks each answer.
type asking struct {
	t      *testing.T
	fleet  *fleet.Fleet
	client *caller.Client
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	asked  int
	wrong  []string
}

func ask(t *testing.T, f *fleet.Fleet, callers int) *asking {
	a := &asking{t: t, fleet: f, client: caller.New(), stop: make(chan struct{})}
	for n := range callers {
		a.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-a.stop:
					return
				default:
					a.one(n, fmt.Sprintf("caller %d asks question %d about darning a heel", n, i))
				}
			}
		})
	}
	return a
}

func (a *asking) one(n int, prompt string) {
	const tokens = 12
	entries := a.fleet.Ready()
	answer := a.client.Chat(context.Background(), caller.ChatRequest{
		Address: entries[n%len(entries)].ClientAddress(), Key: fleet.ClientKey(n % fleet.Workspaces), Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: tokens,
	})
	want := strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), tokens), "")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	if answer.Outcome != outcome.Done || answer.Text != want {
		a.wrong = append(a.wrong, fmt.Sprintf("%s %s %v", answer.Outcome, answer.Code, answer.Err))
	}
}

// end stops asking and returns how many questions there were and what went wrong.
func (a *asking) end() (int, []string) {
	close(a.stop)
	a.wait.Wait()
	a.client.Close()
	return a.asked, a.wrong
}

// TestVersionRollover guards against an answer that is interrupted, or made of two versions' layers,
// while a new model version is loaded, and against a version that never arrives everywhere.
func TestVersionRollover(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{
		Seed: 1, Instances: 2, EngineSpecs: workers(4), Recording: true, Start: inprocess.StartWith(quick), Configuration: managed("1"),
		EngineOptions: []engine.Option{engine.WithReportLag(100 * time.Millisecond), engine.WithLoadTime(5 * time.Millisecond)},
	})
	a := ask(t, f, 4)
	operators := operator.NewClient("http://"+f.Instances()[0].OperatorAddress().String(), fleet.OperatorKey)
	_, err := operators.Apply(t.Context(), api.Change{Expected: 1, ID: "version-2", Configuration: managed("2")})
	qt.Assert(t, err, qt.IsNil)
	eventually(t, 40*time.Second, "version 2 is not loaded everywhere", func() bool {
		for _, e := range f.Engines {
			if r := e.Report(); r.Version != "2" || r.EndLayer == 0 {
				return false
			}
		}
		return true
	})
	asked, wrong := a.end()
	qt.Assert(t, wrong, qt.HasLen, 0, qt.Commentf("of %d answers", asked))
	qt.Assert(t, asked > 20, qt.IsTrue)
	t.Logf("%d answers during the rollover, all complete", asked)
}

// TestLostTarget guards against layers that stay lost after the only target that held them, and
// against a plan that operators do not see.
func TestLostTarget(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{
		Seed: 1, Instances: 2, EngineSpecs: workers(4)[1:], Start: inprocess.StartWith(quick), Configuration: managed("1"),
		EngineOptions: []engine.Option{engine.WithReportLag(100 * time.Millisecond), engine.WithLoadTime(5 * time.Millisecond)},
	})
	operators := operator.NewClient("http://"+f.Instances()[1].OperatorAddress().String(), fleet.OperatorKey)
	plan := func() api.Plan {
		p, err := operators.Plan(t.Context())
		qt.Assert(t, err, qt.IsNil)
		return p
	}
	bound := 3 * 10_000.0 / fleet.Layers
	eventually(t, 10*time.Second, "no placement is kept", func() bool {
		_, err := f.Table().Get(t.Context(), placementcontroller.Key)
		return err == nil && plan().Bound == bound
	})
	qt.Assert(t, plan().LimitedBy, qt.Equals, "compute")

	began := time.Now()
	f.Engines[1].Kill() // It alone held the first half.
	first := func(e *engine.Server) bool { return e.Report().EndLayer == half }
	eventually(t, 15*time.Second, "the lost layers are not loaded elsewhere", func() bool { return first(f.Engines[0]) || first(f.Engines[2]) })
	t.Logf("loaded elsewhere after %v", time.Since(began))
	a := ask(t, f, 0)
	eventually(t, 5*time.Second, "no answer after the layers were loaded", func() bool {
		a.wrong = nil
		a.one(0, "which thread for a heel")
		return len(a.wrong) == 0
	})
	eventually(t, 5*time.Second, "the bound still counts the lost target", func() bool { return plan().Bound == 2*10_000.0/fleet.Layers })
}
