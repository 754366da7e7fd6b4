package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// Guards against an order that is executed twice, or whose client receives a false outcome, when instances and the
// table fail at each step of an order (P4).
func TestP4OrderAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 41, Instances: 5})
	for _, phase := range []struct {
		name string
		run  func(*qt.C, *proof.Harness)
	}{
		{"SeveralInstancesAtOnce", orderAtAllInstances},
		{"TableDownBeforeTheClaim", orderWhileTableDown},
		{"AnswerOfTheClaimLost", orderWithLostResponse},
		{"HolderKilledBeforeDispatch", killBeforeDispatch},
		{"HolderKilledBeforeAnswer", killBeforeResponse},
		{"TableLosesAnswersAtRandom", ordersWithRandomLosses},
	} {
		c.Run(phase.name, func(c *qt.C) {
			defer h.Platform.SetFaults(platform.Faults{})
			phase.run(c, h)
		})
	}
}

// sendToAll sends an order to several instances concurrently.
func sendToAll(h *proof.Harness, instances []*fleet.NamedInstance, id string) []caller.Response {
	responses := make([]caller.Response, len(instances))
	var sending sync.WaitGroup
	for n, instance := range instances {
		sending.Go(func() { responses[n] = h.PlaceOrder(context.Background(), instance, id) })
	}
	sending.Wait()
	return responses
}

// assertConsistent asserts that an order was executed at most once, that all complete responses are equal, and that the
// responses aren't all NotRun if the order was executed.
func assertConsistent(c *qt.C, h *proof.Harness, id string, responses []caller.Response) {
	executions := h.Executed()[id]
	c.Assert(executions <= 1, qt.IsTrue, qt.Commentf("%s was executed %d times", id, executions))
	first, stated := "", false
	for _, response := range responses {
		c.Assert(response.Truncated, qt.IsFalse, qt.Commentf("%s: %v", id, response.Err))
		switch response.Outcome {
		case outcome.Done:
			c.Assert(executions, qt.Equals, 1)
			c.Assert(first == "" || first == response.Text, qt.IsTrue, qt.Commentf("%s received two different responses: %q and %q", id, first, response.Text))
			first, stated = response.Text, true
		case outcome.Unknown:
			stated = true
		default:
			c.Assert(response.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(response.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	c.Assert(stated || executions == 0, qt.IsTrue, qt.Commentf("%s was executed although every attempt was refused as NotRun", id))
}

func orderAtAllInstances(c *qt.C, h *proof.Harness) {
	for n := range 20 {
		id := fmt.Sprintf("everywhere-%d", n)
		responses := sendToAll(h, h.Instances(), id)
		assertConsistent(c, h, id, responses)
		c.Assert(h.Executed()[id], qt.Equals, 1)
		again := h.PlaceOrder(context.Background(), h.Instances()[n%3], id)
		c.Assert(again.Outcome, qt.Equals, outcome.Done)
		assertConsistent(c, h, id, append(responses, again))
	}
}

func orderWhileTableDown(c *qt.C, h *proof.Harness) {
	for _, outage := range []platform.Outage{platform.Refused, platform.Silent} {
		id := "down-" + string(outage)
		h.Platform.SetFaults(platform.Faults{Table: platform.Fault{Outage: outage}})
		responses := sendToAll(h, h.Instances()[:2], id)
		for _, response := range responses {
			c.Assert(response.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(response.RetryAfter, qt.Equals, 5*time.Second)
		}
		c.Assert(h.Executed()[id], qt.Equals, 0)
		h.Platform.SetFaults(platform.Faults{})
		c.Assert(h.PlaceOrder(context.Background(), h.Instances()[2], id).Outcome, qt.Equals, outcome.Done)
		c.Assert(h.Executed()[id], qt.Equals, 1)
		for _, instance := range h.Instances() {
			recovered := func() bool { return h.PlaceOrder(context.Background(), instance, "healed-"+id).Outcome == outcome.Done }
			c.Assert(eventually(5*time.Second, recovered), qt.IsTrue, qt.Commentf("%s refuses orders after the outage", instance.Name))
		}
	}
}

func orderWithLostResponse(c *qt.C, h *proof.Harness) {
	instance := h.Instances()[0]
	h.Link(instance.Name).LoseResponses(1)
	response := h.PlaceOrder(context.Background(), instance, "lost")
	c.Assert(response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", response.Err))
	c.Assert(h.Executed()["lost"], qt.Equals, 1)
}

// killBeforeDispatch kills the holder once its claim is in the table. The other instances can't know whether it had
// dispatched the order, so the outcome stays Unknown and the order is never dispatched.
func killBeforeDispatch(c *qt.C, h *proof.Harness) {
	instance := h.Instances()[0]
	claimed := h.Link(instance.Name).HoldResponse()
	go h.PlaceOrder(context.Background(), instance, "claimed")
	assertClosed(c, claimed)
	h.KillInstance(instance)
	assertUnknown(c, h, "claimed", 0)
}

func killBeforeResponse(c *qt.C, h *proof.Harness) {
	for _, s := range h.Services {
		s.SetFaults(service.Faults{Delay: 500 * time.Millisecond})
		defer s.SetFaults(service.Faults{})
	}
	before := arrivalCount(h)
	instance := h.Instances()[0]
	go h.PlaceOrder(context.Background(), instance, "dispatched")
	c.Assert(eventually(3*time.Second, func() bool { return arrivalCount(h) > before }), qt.IsTrue)
	h.KillInstance(instance)
	c.Assert(eventually(3*time.Second, func() bool { return h.Executed()["dispatched"] == 1 }), qt.IsTrue)
	assertUnknown(c, h, "dispatched", 1)
}

func arrivalCount(h *proof.Harness) int {
	n := 0
	for _, s := range h.Services {
		n += len(s.ArrivalTimes())
	}
	return n
}

// assertUnknown resends an order to every remaining instance and asserts that the outcome is Unknown each time.
func assertUnknown(c *qt.C, h *proof.Harness, id string, executions int) {
	for range 2 {
		for _, response := range sendToAll(h, h.Instances(), id) {
			c.Assert(response.Outcome, qt.Equals, outcome.Unknown, qt.Commentf("%v", response.Err))
			c.Assert(response.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	c.Assert(h.Executed()[id], qt.Equals, executions)
}

func ordersWithRandomLosses(c *qt.C, h *proof.Harness) {
	h.Platform.SetFaults(platform.Faults{Table: platform.Fault{LosePerMille: 300, RefusePerMille: 100}})
	random := rand.New(rand.NewPCG(41, 1))
	instances := h.Instances()
	responses := make([][]caller.Response, 40)
	var sending sync.WaitGroup
	for n := range responses {
		first, second := instances[random.IntN(len(instances))], instances[random.IntN(len(instances))]
		sending.Go(func() {
			id := fmt.Sprintf("random-%d", n)
			responses[n] = sendToAll(h, []*fleet.NamedInstance{first, second}, id)
			responses[n] = append(responses[n], h.PlaceOrder(context.Background(), second, id))
		})
	}
	sending.Wait()
	counts := map[outcome.Outcome]int{}
	for n := range responses {
		assertConsistent(c, h, fmt.Sprintf("random-%d", n), responses[n])
		for _, response := range responses[n] {
			counts[response.Outcome]++
		}
	}
	c.Assert(counts[outcome.Done] > 0, qt.IsTrue)
	c.Logf("outcomes of 40 orders, each sent 3 times: %v", counts)
}
