package proof_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/partition"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// Guards against a planned stop that cuts off an order of another instance, whose connection to its target the stopping one relays (P6).
func TestP6RelayedOrderDuringStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const work = 2500 * time.Millisecond
	ctx := context.Background()
	links := &partition.Links{Refuse: true, Reset: true}
	h := newHarness(c, proof.Options{Seed: 36, Instances: 2, Links: map[string]*partition.Links{"entry-0": links}})
	c.Assert(h.SetTimeout(ctx, 20*time.Second), qt.IsNil)
	user, relaying := h.Instances()[0], h.Instances()[1]
	links.Cut()
	c.Assert(eventually(10*time.Second, func() bool { return h.PlaceOrder(ctx, user, "relayed").Outcome == outcome.Done }), qt.IsTrue)
	for _, s := range h.Services {
		s.SetFaults(service.Faults{Delay: work})
	}
	before := arrivals(h)
	response := make(chan caller.Response, 1)
	go func() { response <- h.PlaceOrder(ctx, user, "slow") }()
	c.Assert(eventually(10*time.Second, func() bool { return arrivals(h) > before }), qt.IsTrue)
	stopped := make(chan error, 1)
	go func() { stopped <- relaying.Stop(ctx) }()
	answer := <-response
	c.Assert(answer.Outcome, qt.Equals, outcome.Done, qt.Commentf("%s %v", answer.Code, answer.Err))
	c.Assert(<-stopped, qt.IsNil)
}

// arrivals returns the number of requests that reached the services.
func arrivals(h *proof.Harness) int {
	n := 0
	for _, s := range h.Services {
		n += len(s.ArrivalTimes())
	}
	return n
}
