package proof_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// activationLimit is the promised time within which an accepted configuration is active on every instance.
const activationLimit = 6 * time.Second

var tableDown = platform.Faults{Table: platform.Fault{Outage: platform.Refused}}

// assertActive asserts that a version becomes active on every listed instance in time.
func assertActive(c *qt.C, h *proof.Harness, version uint64, accepted time.Time) {
	c.Assert(proof.WaitVersion(h.Instances(), version, time.Until(accepted.Add(activationLimit))), qt.IsNil)
	c.Logf("version %d was active on all instances after %v", version, time.Since(accepted).Round(time.Millisecond))
}

// Guards against a configuration change that is lost, reverted, mixed with another or delayed when the table fails
// (P7). The phases run one after another on the same fleet.
func TestP7Configuration(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 71, Instances: 4})
	watchContext, stop := context.WithCancel(context.Background())
	decreases := h.WatchVersions(watchContext)
	for _, phase := range []struct {
		name string
		run  func(*qt.C, *proof.Harness)
	}{
		{"RacingOperators", raceOperators},
		{"AnswerLostAfterTheWrite", loseWriteResponse},
		{"InstanceLosesTheTableAfterTheWrite", loseTableAfterWrite},
		{"TableDownDuringTheChange", changeWhileTableDown},
		{"TableDownAfterTheChange", tableDownAfterChange},
		{"InstanceCutOffFromThePlatform", partitionInstance},
		{"NewInstanceWhileTableDown", startWhileTableDown},
	} {
		c.Run(phase.name, func(c *qt.C) {
			defer h.Platform.SetFaults(platform.Faults{})
			phase.run(c, h)
		})
	}
	stop()
	c.Assert(<-decreases, qt.HasLen, 0)
}

func raceOperators(c *qt.C, h *proof.Harness) {
	ctx := context.Background()
	a, b := h.Instances()[0], h.Instances()[1]
	for round := range 5 {
		current, err := h.Operator(a).Current(ctx)
		c.Assert(err, qt.IsNil)
		heads, errs, ids := [2]api.Head{}, [2]error{}, [2]string{}
		var racing sync.WaitGroup
		for n, instance := range []*fleet.NamedInstance{a, b} {
			ids[n] = fmt.Sprintf("race-%d-%d", round, n)
			racing.Go(func() {
				heads[n], errs[n] = h.Operator(instance).Apply(ctx, proof.WeightsChange(current, ids[n], 2*round+n+2))
			})
		}
		racing.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		c.Assert(errs[winner], qt.IsNil)
		var conflict *api.Error
		c.Assert(errors.As(errs[1-winner], &conflict), qt.IsTrue, qt.Commentf("both changes were accepted"))
		c.Assert(conflict.Code, qt.Equals, api.Conflict)
		c.Assert(conflict.Conflict.ID, qt.Equals, ids[winner])
		c.Assert(conflict.Conflict.By, qt.Equals, "operator")
		assertWeights(c, h, heads[winner].Version, 2*round+winner+2)
		assertActive(c, h, heads[winner].Version, time.Now())
	}
}

// assertWeights asserts that the latest configuration holds both weights of the same change.
func assertWeights(c *qt.C, h *proof.Harness, version uint64, weight int) {
	current, err := h.Operator(h.Instances()[0]).Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(current.Head.Version, qt.Equals, version)
	c.Assert(current.Configuration.Workspaces[0].Weight, qt.Equals, weight)
	c.Assert(current.Configuration.Workspaces[1].Weight, qt.Equals, weight)
}

func loseWriteResponse(c *qt.C, h *proof.Harness) {
	instance := h.Instances()[0]
	before := instance.Version()
	h.Link(instance.Name).LoseResponses(1)
	head, err := h.ApplyWeights(context.Background(), instance, "lost-answer", 21)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, before+1)
	assertWeights(c, h, before+1, 21)
	assertActive(c, h, head.Version, time.Now())
}

// loseTableAfterWrite covers an instance that cannot learn whether its write took effect. It responds Unknown, and the
// operator gets the version of that write after sending the change with the same ID to another instance.
func loseTableAfterWrite(c *qt.C, h *proof.Harness) {
	ctx := context.Background()
	instance, other := h.Instances()[1], h.Instances()[2]
	current, err := h.Operator(instance).Current(ctx)
	c.Assert(err, qt.IsNil)
	change := proof.WeightsChange(current, "lost-table", 22)
	link := h.Link(instance.Name)
	defer link.SetPartitioned(false)
	written := link.HoldResponse()
	bounded, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	_, err = h.Operator(instance).Apply(bounded, change)
	var unknown *api.Error
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(unknown.Code, qt.Equals, api.Unknown)
	assertClosed(c, written)
	head, err := h.Operator(other).Apply(ctx, change)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, current.Head.Version+1)
	assertActive(c, h, head.Version, time.Now())
}

func changeWhileTableDown(c *qt.C, h *proof.Harness) {
	ctx := context.Background()
	instance := h.Instances()[0]
	current, err := h.Operator(instance).Current(ctx)
	c.Assert(err, qt.IsNil)
	h.Platform.SetFaults(tableDown)
	_, err = h.Operator(instance).Apply(ctx, proof.WeightsChange(current, "while-down", 23))
	var refused *api.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, api.Unavailable)
	h.Platform.SetFaults(platform.Faults{})
	history, err := h.Operator(instance).History(ctx, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(history[0].Version, qt.Equals, current.Head.Version)
	c.Assert(history[0].ID, qt.Not(qt.Equals), "while-down")
}

func tableDownAfterChange(c *qt.C, h *proof.Harness) {
	head, err := h.ApplyWeights(context.Background(), h.Instances()[3], "then-down", 24)
	h.Platform.SetFaults(tableDown)
	c.Assert(err, qt.IsNil)
	assertActive(c, h, head.Version, time.Now())
}

func partitionInstance(c *qt.C, h *proof.Harness) {
	link := h.Link(h.Instances()[2].Name)
	link.SetPartitioned(true)
	defer link.SetPartitioned(false)
	head, err := h.ApplyWeights(context.Background(), h.Instances()[0], "cut-off", 25)
	c.Assert(err, qt.IsNil)
	assertActive(c, h, head.Version, time.Now())
}

func startWhileTableDown(c *qt.C, h *proof.Harness) {
	h.Platform.SetFaults(tableDown)
	version := h.Instances()[0].Version()
	started := time.Now()
	instance, err := h.AddInstance()
	c.Assert(err, qt.IsNil)
	c.Assert(eventually(activationLimit, instance.Ready), qt.IsTrue)
	c.Assert(instance.Version(), qt.Equals, version)
	c.Logf("the new instance was ready after %v", time.Since(started).Round(time.Millisecond))
}

// Guards against an instance that serves requests although it has reached neither the table nor a peer (P7).
func TestP7InstanceAloneStaysNotReady(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	server, err := platform.New()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	server.SetFaults(tableDown)
	isolated, err := inprocess.Start(context.Background(), fleet.InstanceSpec{Name: "lone", DataCentre: "dc1", Platform: server.URL()})
	c.Assert(err, qt.IsNil)
	defer isolated.Kill()
	c.Assert(eventually(3*time.Second, isolated.Ready), qt.IsFalse)
	client := caller.New()
	defer client.Close()
	a := client.Chat(context.Background(), caller.ChatRequest{Address: isolated.ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: "early", Tokens: 1})
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", a.Err))
	c.Assert(a.Outcome, qt.Equals, outcome.NotRun)
	c.Assert(a.RetryAfter >= time.Second, qt.IsTrue)
	response, err := http.Get("http://" + isolated.ClientAddress().String() + "/ready")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
