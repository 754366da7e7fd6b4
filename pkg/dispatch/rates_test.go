package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// BenchmarkRates reports the table reads and writes per second of each function of an instance,
// from the counters of its client, with default settings. Run it with -benchtime 1x.
func BenchmarkRates(b *testing.B) {
	const length = 20 * time.Second
	functions := []struct {
		name string
		run  func(s *platform.Server, c *table.Client, until time.Time)
	}{
		{"lease holder", holdLease},
		{"lease candidate", watchLease},
		{"configuration poller", pollHead},
		{"configuration changes at 1 per second", changeConfiguration},
		{"claims sweep", func(_ *platform.Server, c *table.Client, until time.Time) { makeClaims(c, until, 0) }},
		{"claims at 1 per second", func(_ *platform.Server, c *table.Client, until time.Time) { makeClaims(c, until, 1) }},
		{"claims at 20 per second", func(_ *platform.Server, c *table.Client, until time.Time) { makeClaims(c, until, 20) }},
	}
	for _, f := range functions {
		b.Run(f.name, func(b *testing.B) {
			s, err := platform.New()
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			r := metrics.NewRegistry()
			f.run(s, table.New(s.URL(), table.WithMetrics(r)), time.Now().Add(length))
			rate := func(name string) float64 {
				return float64(metrics.GetOrRegisterCounter(name, r).Count()) / length.Seconds()
			}
			b.ReportMetric(rate("table.reads"), "reads/s")
			b.ReportMetric(rate("table.writes"), "writes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func holdLease(_ *platform.Server, c *table.Client, until time.Time) {
	d := dispatch.New(c, &engine{}, "entry-1")
	d.SetCandidate(true)
	time.Sleep(time.Until(until))
}

func watchLease(s *platform.Server, c *table.Client, until time.Time) {
	holder := dispatch.New(table.New(s.URL()), &engine{}, "entry-2")
	holder.SetCandidate(true)
	time.Sleep(time.Second)
	holdLease(s, c, until)
}

func changeConfiguration(_ *platform.Server, c *table.Client, until time.Time) {
	log := configlog.New(c)
	documents := configlog.Split(&configuration.Configuration{})
	for n := 0; time.Now().Before(until); n++ {
		_, _ = log.Apply(context.Background(), configlog.Change{Expected: uint64(n), ID: fmt.Sprint(n), By: "ana", Documents: documents})
		time.Sleep(time.Second)
	}
}

func pollHead(_ *platform.Server, c *table.Client, until time.Time) {
	log := configlog.New(c)
	for time.Now().Before(until) {
		_, _ = log.Head(context.Background())
		time.Sleep(time.Second)
	}
}

// makeClaims claims and finishes requests at the given rate per second.
func makeClaims(c *table.Client, until time.Time, rate int) {
	claimer := claim.New(c, "entry-1")
	defer claimer.Close()
	for n := 0; rate > 0 && time.Now().Before(until); n++ {
		time.Sleep(time.Second / time.Duration(rate))
		go func() {
			ctx := context.Background()
			claimed, err := claimer.Claim(ctx, claim.Key{Workspace: "w", Key: fmt.Sprint(n)})
			time.Sleep(50 * time.Millisecond)
			if err == nil {
				_ = claimer.Finish(ctx, claimed, claim.Response{Status: 200})
			}
		}()
	}
	time.Sleep(time.Until(until))
}
