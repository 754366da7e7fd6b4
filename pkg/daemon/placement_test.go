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

// halfModelEngines returns engines that hold one half of the model each, alternately the first and the second.
func halfModelEngines(n int) []fleet.EngineSpec {
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

// managedConfiguration returns a configuration with a managed placement of one model of the given version.
func managedConfiguration(version string) *configuration.Configuration {
	c := fleet.Configuration()
	c.HeadOffice.Placement.Managed = true
	c.HeadOffice.Accelerators = []configuration.Accelerator{{Name: engine.Accelerators[0].Name, MemoryBytes: half, Rate: 10_000}}
	c.HeadOffice.Models[0].Version = version
	c.HeadOffice.Models[0].LayerBytes = 1
	return c
}

// shortDurations shortens the durations of the lease and of drains, so that a test takes seconds.
func shortDurations(s fleet.InstanceSpec) []daemon.Option {
	elector := lease.New(dispatch.Key, s.Name, s.Name, lease.WithDurations(3*time.Second, 500*time.Millisecond, 250*time.Millisecond))
	return []daemon.Option{daemon.WithLogOutput(io.Discard), daemon.WithPlacementController(
		placementcontroller.WithInterval(50*time.Millisecond), placementcontroller.WithDispatcherOptions(dispatch.WithInterval(20*time.Millisecond), dispatch.WithElector(elector)),
		placementcontroller.WithRolloutOptions(rollout.WithDurations(1200*time.Millisecond, 3*time.Second), rollout.WithMaxUnavailable(0.5)),
	)}
}

func startFleet(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(t.Context(), o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	qt.Assert(t, f.WaitReady(t.Context(), o.Instances, 10*time.Second), qt.IsNil)
	eventually(t, 10*time.Second, "not all engines have reported their layers", func() bool {
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

// eventually waits until condition is true, and fails the test with message after the timeout.
func eventually(t *testing.T, timeout time.Duration, message string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

// clientLoad sends requests of several clients until stopClients is called, and checks each response.
type clientLoad struct {
	t      *testing.T
	fleet  *fleet.Fleet
	client *caller.Client
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	sent   int
	failed []string
}

func startClients(t *testing.T, f *fleet.Fleet, clients int) *clientLoad {
	a := &clientLoad{t: t, fleet: f, client: caller.New(), stop: make(chan struct{})}
	for n := range clients {
		a.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-a.stop:
					return
				default:
					a.send(n, fmt.Sprintf("caller %d asks question %d about darning a heel", n, i))
				}
			}
		})
	}
	return a
}

func (a *clientLoad) send(n int, prompt string) {
	const tokens = 12
	entries := a.fleet.Ready()
	response := a.client.Chat(context.Background(), caller.ChatRequest{
		Address: entries[n%len(entries)].ClientAddress(), Key: fleet.ClientKey(n % fleet.Workspaces), Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: tokens,
	})
	want := strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), tokens), "")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	if response.Outcome != outcome.Done || response.Text != want {
		a.failed = append(a.failed, fmt.Sprintf("%s %s %v", response.Outcome, response.Code, response.Err))
	}
}

// stopClients stops the clients and returns the number of requests and the failures.
func (a *clientLoad) stopClients() (int, []string) {
	close(a.stop)
	a.wait.Wait()
	a.client.Close()
	return a.sent, a.failed
}

// TestVersionRollover guards against a response that is interrupted, or generated by layers of two versions,
// while a new model version is loaded, and against a version that some engines never load.
func TestVersionRollover(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{
		Seed: 1, Instances: 2, EngineSpecs: halfModelEngines(4), Recording: true, Start: inprocess.StartWith(shortDurations), Configuration: managedConfiguration("1"),
		EngineOptions: []engine.Option{engine.WithReportLag(100 * time.Millisecond), engine.WithLoadTime(5 * time.Millisecond)},
	})
	a := startClients(t, f, 4)
	operators := operator.NewClient("http://"+f.Instances()[0].OperatorAddress().String(), fleet.OperatorKey)
	_, err := operators.Apply(t.Context(), api.Change{Expected: 1, ID: "version-2", Configuration: managedConfiguration("2")})
	qt.Assert(t, err, qt.IsNil)
	eventually(t, 40*time.Second, "not all engines have loaded version 2", func() bool {
		for _, e := range f.Engines {
			if r := e.Report(); r.Version != "2" || r.EndLayer == 0 {
				return false
			}
		}
		return true
	})
	sent, failed := a.stopClients()
	qt.Assert(t, failed, qt.HasLen, 0, qt.Commentf("of %d responses", sent))
	qt.Assert(t, sent > 20, qt.IsTrue)
	t.Logf("%d responses during the rollover, all complete", sent)
}

// TestDeadTarget guards against layers that no engine loads again after the only target that held them has
// died, and against a plan that operators cannot see.
func TestDeadTarget(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{
		Seed: 1, Instances: 2, EngineSpecs: halfModelEngines(4)[1:], Start: inprocess.StartWith(shortDurations), Configuration: managedConfiguration("1"),
		EngineOptions: []engine.Option{engine.WithReportLag(100 * time.Millisecond), engine.WithLoadTime(5 * time.Millisecond)},
	})
	operators := operator.NewClient("http://"+f.Instances()[1].OperatorAddress().String(), fleet.OperatorKey)
	plan := func() api.Plan {
		p, err := operators.Plan(t.Context())
		qt.Assert(t, err, qt.IsNil)
		return p
	}
	bound := 3 * 10_000.0 / fleet.Layers
	eventually(t, 10*time.Second, "no placement is stored", func() bool {
		_, err := f.Table().Get(t.Context(), placementcontroller.Key)
		return err == nil && plan().Bound == bound
	})
	qt.Assert(t, plan().LimitedBy, qt.Equals, "compute")

	began := time.Now()
	f.Engines[1].Kill() // No other engine holds the first half.
	holdsFirstHalf := func(e *engine.Server) bool { return e.Report().EndLayer == half }
	eventually(t, 15*time.Second, "no other engine has loaded the missing layers", func() bool { return holdsFirstHalf(f.Engines[0]) || holdsFirstHalf(f.Engines[2]) })
	t.Logf("another engine loaded the layers after %v", time.Since(began))
	a := startClients(t, f, 0)
	eventually(t, 5*time.Second, "no correct response after the layers were loaded", func() bool {
		a.failed = nil
		a.send(0, "which thread for a heel")
		return len(a.failed) == 0
	})
	eventually(t, 5*time.Second, "the bound still includes the dead target", func() bool { return plan().Bound == 2*10_000.0/fleet.Layers })
}
