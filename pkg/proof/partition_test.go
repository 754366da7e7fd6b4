package proof_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/partition"
)

// Guards against an instance that serves nothing while it is partitioned from all engines and services, although the other
// instances reach them.
func TestInstanceWithoutLinksToTargets(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		links *partition.Links
	}{
		{"links hang", &partition.Links{}},
		{"links refuse", &partition.Links{Refuse: true, Reset: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			const (
				reaction = 3 * time.Second
				measured = 2 * time.Second
				interval = 200 * time.Millisecond
				tokens   = 4
			)
			ctx := context.Background()
			h := newHarness(c, proof.Options{Seed: 34, Instances: 3, Links: map[string]*partition.Links{"entry-0": test.links}})
			instance := h.Instances()[0]
			c.Assert(instance.Name, qt.Equals, "entry-0")
			c.Assert(h.Chat(ctx, instance, prompt(1), tokens).Outcome, qt.Equals, outcome.Done)
			c.Assert(h.LookUpStock(ctx, instance, "1").Outcome, qt.Equals, outcome.Done)
			test.links.Cut()
			began := time.Now()
			var sending sync.WaitGroup
			var late atomic.Int64
			for n := range int((reaction + measured) / interval) {
				for kind, send := range map[string]func(id string) caller.Response{
					"chat":   func(id string) caller.Response { return h.Chat(ctx, instance, id, tokens) },
					"lookup": func(id string) caller.Response { return h.LookUpStock(ctx, instance, id) },
					"order":  func(id string) caller.Response { return h.PlaceOrder(ctx, instance, id) },
				} {
					sending.Go(func() {
						time.Sleep(time.Duration(n) * interval)
						counts := time.Since(began) >= reaction
						response := send(fmt.Sprint(kind, "-", n))
						if counts {
							late.Add(1)
							c.Check(response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%s %d: %s %v", kind, n, response.Code, response.Err))
						}
					})
				}
			}
			sending.Wait()
			c.Assert(late.Load() > 0, qt.IsTrue)
		})
	}
}
