package proof_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// Guards against an outage of the whole platform that fails chat requests or lookups, lets an order be executed without
// a claim, or lets a configuration change be accepted.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	for _, outage := range []platform.Outage{platform.Refused, platform.Silent} {
		t.Run(string(outage), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(c, proof.Options{Seed: 91, Instances: 3})
			load := h.StartLoad(context.Background(), "outage", 91, 4, 6)
			version := h.Instances()[0].Version()
			down := platform.Fault{Outage: outage}
			h.Platform.SetFaults(platform.Faults{Table: down, Objects: down, List: down})
			assertServedThroughOutage(c, h, 3*time.Second)
			h.Platform.SetFaults(platform.Faults{})
			outcomes, findings := load.Stop()
			c.Assert(findings, qt.HasLen, 0)
			c.Assert(outcomes[outcome.NotRun], qt.Equals, 0, qt.Commentf("%v", load.ErrorCounts()))
			c.Logf("outcomes: %v", outcomes)
			assertUnchanged(c, h, version)
		})
	}
}

// assertServedThroughOutage sends lookups, orders and configuration changes while the platform is unavailable.
func assertServedThroughOutage(c *qt.C, h *proof.Harness, length time.Duration) {
	ctx := context.Background()
	for end, n := time.Now().Add(length), 0; time.Now().Before(end); n++ {
		instance := h.Instances()[n%3]
		lookup := h.LookUpStock(ctx, instance, fmt.Sprint(n))
		c.Assert(lookup.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", lookup.Err))
		id := fmt.Sprintf("outage-%d", n)
		order := h.PlaceOrder(ctx, instance, id)
		c.Assert(order.Outcome, qt.Equals, outcome.NotRun, qt.Commentf("%v", order.Err))
		c.Assert(order.RetryAfter, qt.Equals, 5*time.Second)
		_, err := h.Operator(instance).Apply(ctx, api.Change{ID: id, Expected: instance.Version(), Configuration: fleet.Configuration()})
		var refused *api.Error
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(refused.Code, qt.Equals, api.Unavailable, qt.Commentf("%v", err))
		c.Assert(instance.Ready(), qt.IsTrue)
	}
}

// assertUnchanged asserts that no order or change sent during the outage took effect afterwards, and that the fleet
// accepts all requests again.
func assertUnchanged(c *qt.C, h *proof.Harness, version uint64) {
	for id, n := range h.Executed() {
		c.Assert(n, qt.Equals, 0, qt.Commentf("%s was executed", id))
	}
	current, err := h.Operator(h.Instances()[0]).Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(current.Head.Version, qt.Equals, version)
	recovered := func() bool {
		return h.PlaceOrder(context.Background(), h.Instances()[0], "healed").Outcome == outcome.Done
	}
	c.Assert(eventually(5*time.Second, recovered), qt.IsTrue)
	head, err := h.ApplyWeights(context.Background(), h.Instances()[1], "healed", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(proof.WaitVersion(h.Instances(), head.Version, activationLimit), qt.IsNil)
}
