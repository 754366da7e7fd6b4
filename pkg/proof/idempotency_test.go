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

// Guards against an order that runs twice, or a caller that is told something untrue about it, when
// instances and the table fail at each step of an order (P4).
func TestP4OrderAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 41, Instances: 5})
	for _, phase := range []struct {
		name string
		run  func(*qt.C, *proof.Harness)
	}{
		{"SeveralInstancesAtOnce", orderEverywhere},
		{"TableDownBeforeTheClaim", orderWhileTableDown},
		{"AnswerOfTheClaimLost", orderWithLostAnswer},
		{"HolderKilledBeforeDispatch", killBeforeDispatch},
		{"HolderKilledBeforeAnswer", killBeforeAnswer},
		{"TableLosesAnswersAtRandom", ordersWithRandomLosses},
	} {
		c.Run(phase.name, func(c *qt.C) {
			defer w.Platform.SetFaults(platform.Faults{})
			phase.run(c, w)
		})
	}
}

// sendEverywhere sends one order at several instances at the same time.
func sendEverywhere(w *proof.Harness, members []*fleet.NamedInstance, id string) []caller.Response {
	answers := make([]caller.Response, len(members))
	var sending sync.WaitGroup
	for n, m := range members {
		sending.Go(func() { answers[n] = w.PlaceOrder(context.Background(), m, id) })
	}
	sending.Wait()
	return answers
}

// assertTruthful asserts that an order ran at most once, that all whole answers agree, and that no
// refusal as NotRun of the only attempt hides an execution.
func assertTruthful(c *qt.C, w *proof.Harness, id string, answers []caller.Response) {
	ran := w.Executed()[id]
	c.Assert(ran <= 1, qt.IsTrue, qt.Commentf("%s was executed %d times", id, ran))
	first, known := "", false
	for _, a := range answers {
		c.Assert(a.Truncated, qt.IsFalse, qt.Commentf("%s: %v", id, a.Err))
		switch a.Outcome {
		case outcome.Done:
			c.Assert(ran, qt.Equals, 1)
			c.Assert(first == "" || first == a.Text, qt.IsTrue, qt.Commentf("%s was answered %q and %q", id, first, a.Text))
			first, known = a.Text, true
		case outcome.Unknown:
			known = true
		default:
			c.Assert(a.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(a.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	c.Assert(known || ran == 0, qt.IsTrue, qt.Commentf("%s ran and every attempt was refused as NotRun", id))
}

func orderEverywhere(c *qt.C, w *proof.Harness) {
	for n := range 20 {
		id := fmt.Sprintf("everywhere-%d", n)
		answers := sendEverywhere(w, w.Instances(), id)
		assertTruthful(c, w, id, answers)
		c.Assert(w.Executed()[id], qt.Equals, 1)
		again := w.PlaceOrder(context.Background(), w.Instances()[n%3], id)
		c.Assert(again.Outcome, qt.Equals, outcome.Done)
		assertTruthful(c, w, id, append(answers, again))
	}
}

func orderWhileTableDown(c *qt.C, w *proof.Harness) {
	for _, outage := range []platform.Outage{platform.Refused, platform.Silent} {
		id := "down-" + string(outage)
		w.Platform.SetFaults(platform.Faults{Table: platform.Fault{Outage: outage}})
		answers := sendEverywhere(w, w.Instances()[:2], id)
		for _, a := range answers {
			c.Assert(a.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(a.RetryAfter, qt.Equals, 5*time.Second)
		}
		c.Assert(w.Executed()[id], qt.Equals, 0)
		w.Platform.SetFaults(platform.Faults{})
		c.Assert(w.PlaceOrder(context.Background(), w.Instances()[2], id).Outcome, qt.Equals, outcome.Done)
		c.Assert(w.Executed()[id], qt.Equals, 1)
		for _, m := range w.Instances() {
			healed := func() bool { return w.PlaceOrder(context.Background(), m, "healed-"+id).Outcome == outcome.Done }
			c.Assert(eventually(5*time.Second, healed), qt.IsTrue, qt.Commentf("%s refuses orders after the outage", m.Name))
		}
	}
}

func orderWithLostAnswer(c *qt.C, w *proof.Harness) {
	m := w.Instances()[0]
	w.Link(m.Name).LoseResponses(1)
	a := w.PlaceOrder(context.Background(), m, "lost")
	c.Assert(a.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", a.Err))
	c.Assert(w.Executed()["lost"], qt.Equals, 1)
}

// killBeforeDispatch kills the holder once its claim is in the table. Nobody can know whether it
// had dispatched, so the order stays unknown and is never sent.
func killBeforeDispatch(c *qt.C, w *proof.Harness) {
	m := w.Instances()[0]
	claimed := w.Link(m.Name).HoldResponse()
	go w.PlaceOrder(context.Background(), m, "claimed")
	assertClosed(c, claimed)
	w.KillInstance(m)
	assertUnknown(c, w, "claimed", 0)
}

func killBeforeAnswer(c *qt.C, w *proof.Harness) {
	for _, s := range w.Services {
		s.SetFaults(service.Faults{Delay: 500 * time.Millisecond})
		defer s.SetFaults(service.Faults{})
	}
	before := arrivals(w)
	m := w.Instances()[0]
	go w.PlaceOrder(context.Background(), m, "dispatched")
	c.Assert(eventually(3*time.Second, func() bool { return arrivals(w) > before }), qt.IsTrue)
	w.KillInstance(m)
	c.Assert(eventually(3*time.Second, func() bool { return w.Executed()["dispatched"] == 1 }), qt.IsTrue)
	assertUnknown(c, w, "dispatched", 1)
}

func arrivals(w *proof.Harness) int {
	n := 0
	for _, s := range w.Services {
		n += len(s.ArrivalTimes())
	}
	return n
}

// assertUnknown resends an order at every instance that is left.
func assertUnknown(c *qt.C, w *proof.Harness, id string, ran int) {
	for range 2 {
		for _, a := range sendEverywhere(w, w.Instances(), id) {
			c.Assert(a.Outcome, qt.Equals, outcome.Unknown, qt.Commentf("%v", a.Err))
			c.Assert(a.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	c.Assert(w.Executed()[id], qt.Equals, ran)
}

func ordersWithRandomLosses(c *qt.C, w *proof.Harness) {
	w.Platform.SetFaults(platform.Faults{Table: platform.Fault{LosePerMille: 300, RefusePerMille: 100}})
	random := rand.New(rand.NewPCG(41, 1))
	members := w.Instances()
	answers := make([][]caller.Response, 40)
	var sending sync.WaitGroup
	for n := range answers {
		first, second := members[random.IntN(len(members))], members[random.IntN(len(members))]
		sending.Go(func() {
			id := fmt.Sprintf("random-%d", n)
			answers[n] = sendEverywhere(w, []*fleet.NamedInstance{first, second}, id)
			answers[n] = append(answers[n], w.PlaceOrder(context.Background(), second, id))
		})
	}
	sending.Wait()
	counts := map[outcome.Outcome]int{}
	for n := range answers {
		assertTruthful(c, w, fmt.Sprintf("random-%d", n), answers[n])
		for _, a := range answers[n] {
			counts[a.Outcome]++
		}
	}
	c.Assert(counts[outcome.Done] > 0, qt.IsTrue)
	c.Logf("outcomes of 40 orders, each sent 3 times: %v", counts)
}
