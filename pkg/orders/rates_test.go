package orders_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/orders"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// BenchmarkRates reports what each function of an instance reads from and writes to the table in a
// second, by the counters of its client, with default settings. Run it with -benchtime 1x.
func BenchmarkRates(b *testing.B) {
	const length = 20 * time.Second
	functions := []struct {
		name string
		run  func(c *table.Client, until time.Time)
	}{
		{"lease holder", holdLease},
		{"configuration poller", pollHead},
		{"claims sweep", func(c *table.Client, until time.Time) { makeClaims(c, until, 0) }},
		{"claims at 1 per second", func(c *table.Client, until time.Time) { makeClaims(c, until, 1) }},
		{"claims at 20 per second", func(c *table.Client, until time.Time) { makeClaims(c, until, 20) }},
	}
	for _, f := range functions {
		b.Run(f.name, func(b *testing.B) {
			s, err := platform.New()
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			r := metrics.NewRegistry()
			f.run(table.New(s.URL(), table.WithMetrics(r)), time.Now().Add(length))
			rate := func(name string) float64 {
				return float64(metrics.GetOrRegisterCounter(name, r).Count()) / length.Seconds()
			}
			b.ReportMetric(rate("table.reads"), "reads/s")
			b.ReportMetric(rate("table.writes"), "writes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func holdLease(c *table.Client, until time.Time) {
	d := orders.New(c, &engine{}, "entry-1")
	d.SetCandidate(true)
	time.Sleep(time.Until(until))
}

func pollHead(c *table.Client, until time.Time) {
	log := configlog.New(c)
	for time.Now().Before(until) {
		_, _ = log.Head(context.Background())
		time.Sleep(time.Second)
	}
}

// makeClaims claims and finishes requests at a rate per second.
func makeClaims(c *table.Client, until time.Time, rate int) {
	clerk := claim.New(c, "entry-1")
	defer clerk.Close()
	for n := 0; rate > 0 && time.Now().Before(until); n++ {
		time.Sleep(time.Second / time.Duration(rate))
		go func() {
			ctx := context.Background()
			ticket, err := clerk.Claim(ctx, claim.Key{Workspace: "w", Key: fmt.Sprint(n)})
			time.Sleep(50 * time.Millisecond)
			if err == nil {
				_ = clerk.Finish(ctx, ticket, claim.Answer{Status: 200})
			}
		}()
	}
	time.Sleep(time.Until(until))
}
