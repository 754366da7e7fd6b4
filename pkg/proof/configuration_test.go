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

// inForceLimit is the promised time in which an accepted configuration is in force everywhere.
const inForceLimit = 6 * time.Second

var tableDown = platform.Faults{Table: platform.Fault{Outage: platform.Refused}}

// assertInForce asserts that a version is in force at every listed instance in time.
func assertInForce(c *qt.C, w *proof.Harness, version uint64, accepted time.Time) {
	c.Assert(proof.WaitVersion(w.Instances(), version, time.Until(accepted.Add(inForceLimit))), qt.IsNil)
	c.Logf("version %d was in force everywhere after %v", version, time.Since(accepted).Round(time.Millisecond))
}

// Guards against a change that is lost, reverted, mixed with another or late, under the failures of
// the table that operators meet (P7). The phases follow each other on one fleet.
func TestP7Configuration(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 71, Instances: 4})
	watching, stop := context.WithCancel(context.Background())
	falls := w.WatchVersions(watching)
	for _, phase := range []struct {
		name string
		run  func(*qt.C, *proof.Harness)
	}{
		{"RacingOperators", raceOperators},
		{"AnswerLostAfterTheWrite", loseAnswer},
		{"InstanceLosesTheTableAfterTheWrite", loseTable},
		{"TableDownDuringTheChange", changeWhileTableDown},
		{"TableDownAfterTheChange", tableDownAfterChange},
		{"InstanceCutOffFromThePlatform", cutOff},
		{"NewInstanceWhileTableDown", startWhileTableDown},
	} {
		c.Run(phase.name, func(c *qt.C) {
			defer w.Platform.SetFaults(platform.Faults{})
			phase.run(c, w)
		})
	}
	stop()
	c.Assert(<-falls, qt.HasLen, 0)
}

func raceOperators(c *qt.C, w *proof.Harness) {
	ctx := context.Background()
	a, b := w.Instances()[0], w.Instances()[1]
	for round := range 5 {
		current, err := w.Operator(a).Current(ctx)
		c.Assert(err, qt.IsNil)
		heads, errs, ids := [2]api.Head{}, [2]error{}, [2]string{}
		var racing sync.WaitGroup
		for n, m := range []*fleet.NamedInstance{a, b} {
			ids[n] = fmt.Sprintf("race-%d-%d", round, n)
			racing.Go(func() {
				heads[n], errs[n] = w.Operator(m).Apply(ctx, proof.WeightsChange(current, ids[n], 2*round+n+2))
			})
		}
		racing.Wait()
		won := 0
		if errs[0] != nil {
			won = 1
		}
		c.Assert(errs[won], qt.IsNil)
		var lost *api.Error
		c.Assert(errors.As(errs[1-won], &lost), qt.IsTrue, qt.Commentf("both changes won"))
		c.Assert(lost.Code, qt.Equals, api.Conflict)
		c.Assert(lost.Conflict.ID, qt.Equals, ids[won])
		c.Assert(lost.Conflict.By, qt.Equals, "operator")
		assertWeights(c, w, heads[won].Version, 2*round+won+2)
		assertInForce(c, w, heads[won].Version, time.Now())
	}
}

// assertWeights asserts that the newest configuration is one change as a whole.
func assertWeights(c *qt.C, w *proof.Harness, version uint64, weight int) {
	current, err := w.Operator(w.Instances()[0]).Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(current.Head.Version, qt.Equals, version)
	c.Assert(current.Configuration.Workspaces[0].Weight, qt.Equals, weight)
	c.Assert(current.Configuration.Workspaces[1].Weight, qt.Equals, weight)
}

func loseAnswer(c *qt.C, w *proof.Harness) {
	m := w.Instances()[0]
	before := m.Version()
	w.Link(m.Name).LoseResponses(1)
	head, err := w.ApplyWeights(context.Background(), m, "lost-answer", 21)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, before+1)
	assertWeights(c, w, before+1, 21)
	assertInForce(c, w, head.Version, time.Now())
}

// loseTable covers an instance that never learns whether its write took effect. The caller is told
// so, and gets the version of the write when the change is sent again under its ID elsewhere.
func loseTable(c *qt.C, w *proof.Harness) {
	ctx := context.Background()
	m, other := w.Instances()[1], w.Instances()[2]
	current, err := w.Operator(m).Current(ctx)
	c.Assert(err, qt.IsNil)
	change := proof.WeightsChange(current, "lost-table", 22)
	link := w.Link(m.Name)
	defer link.SetPartitioned(false)
	kept := link.HoldResponse()
	bounded, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	_, err = w.Operator(m).Apply(bounded, change)
	var unknown *api.Error
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(unknown.Code, qt.Equals, api.Unknown)
	assertClosed(c, kept)
	head, err := w.Operator(other).Apply(ctx, change)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, current.Head.Version+1)
	assertInForce(c, w, head.Version, time.Now())
}

func changeWhileTableDown(c *qt.C, w *proof.Harness) {
	ctx := context.Background()
	m := w.Instances()[0]
	current, err := w.Operator(m).Current(ctx)
	c.Assert(err, qt.IsNil)
	w.Platform.SetFaults(tableDown)
	_, err = w.Operator(m).Apply(ctx, proof.WeightsChange(current, "while-down", 23))
	var refused *api.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, api.Unavailable)
	w.Platform.SetFaults(platform.Faults{})
	history, err := w.Operator(m).History(ctx, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(history[0].Version, qt.Equals, current.Head.Version)
	c.Assert(history[0].ID, qt.Not(qt.Equals), "while-down")
}

func tableDownAfterChange(c *qt.C, w *proof.Harness) {
	head, err := w.ApplyWeights(context.Background(), w.Instances()[3], "then-down", 24)
	w.Platform.SetFaults(tableDown)
	c.Assert(err, qt.IsNil)
	assertInForce(c, w, head.Version, time.Now())
}

func cutOff(c *qt.C, w *proof.Harness) {
	link := w.Link(w.Instances()[2].Name)
	link.SetPartitioned(true)
	defer link.SetPartitioned(false)
	head, err := w.ApplyWeights(context.Background(), w.Instances()[0], "cut-off", 25)
	c.Assert(err, qt.IsNil)
	assertInForce(c, w, head.Version, time.Now())
}

func startWhileTableDown(c *qt.C, w *proof.Harness) {
	w.Platform.SetFaults(tableDown)
	version := w.Instances()[0].Version()
	began := time.Now()
	m, err := w.AddInstance()
	c.Assert(err, qt.IsNil)
	c.Assert(eventually(inForceLimit, m.Ready), qt.IsTrue)
	c.Assert(m.Version(), qt.Equals, version)
	c.Logf("the new instance was ready after %v", time.Since(began).Round(time.Millisecond))
}

// Guards against an instance that serves although it reached neither the table nor a peer (P7).
func TestP7InstanceAloneStaysNotReady(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	alone, err := platform.New()
	c.Assert(err, qt.IsNil)
	defer alone.Close()
	alone.SetFaults(tableDown)
	lone, err := inprocess.Start(context.Background(), fleet.InstanceSpec{Name: "lone", DataCentre: "dc1", Platform: alone.URL()})
	c.Assert(err, qt.IsNil)
	defer lone.Kill()
	c.Assert(eventually(3*time.Second, lone.Ready), qt.IsFalse)
	client := caller.New()
	defer client.Close()
	a := client.Chat(context.Background(), caller.ChatRequest{Address: lone.ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: "early", Tokens: 1})
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", a.Err))
	c.Assert(a.Outcome, qt.Equals, outcome.NotRun)
	c.Assert(a.RetryAfter >= time.Second, qt.IsTrue)
	response, err := http.Get("http://" + lone.ClientAddress().String() + "/ready")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
