package claim_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// BenchmarkArrivalRates sends claims to one claimer at a constant rate and reports the claims per write, the writes per
// second, and the latency of a claim. Run it with -benchtime 1x.
func BenchmarkArrivalRates(b *testing.B) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		for _, rate := range []int{10, 100, 1000, 4000, 10000} {
			b.Run(fmt.Sprintf("latency=%s/rate=%d", latency, rate), func(b *testing.B) {
				for range b.N {
					measureRate(b, latency, rate)
				}
			})
		}
	}
}

func measureRate(b *testing.B, latency time.Duration, rate int) {
	const length = 4 * time.Second
	s, err := platform.New()
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	s.SetFaults(platform.Faults{Table: platform.Fault{Latency: latency}})
	claimer := claim.New(table.New(s.URL()), "entry-1", claim.WithSweep(0, 0))
	defer claimer.Close()
	total := rate * int(length/time.Second)
	took := make([]time.Duration, total)
	var waiting sync.WaitGroup
	start := time.Now()
	for n := range total {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		waiting.Go(func() {
			started := time.Now()
			t, err := claimer.Claim(context.Background(), key(fmt.Sprint(n)))
			took[n] = time.Since(started)
			if err != nil || t.State != claim.Won {
				b.Errorf("claim %d: %v %v", n, t.State, err)
			}
		})
	}
	waiting.Wait()
	seconds := time.Since(start).Seconds()
	slices.Sort(took)
	writes := float64(s.Counts().TableWrites)
	b.ReportMetric(float64(total)/writes, "claims/write")
	b.ReportMetric(writes/seconds, "writes/s")
	b.ReportMetric(float64(took[total/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[total*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(total)/seconds, "claims/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFleet runs 18 claimers that claim and finish requests on a table that serves 300 transactions/s. Run it with
// -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, rate := range []int{5, 20, 100} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				measureFleet(b, 18, rate)
			}
		})
	}
}

func measureFleet(b *testing.B, instances, rate int) {
	const length = 6 * time.Second
	s, err := platform.New()
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	s.SetFaults(platform.Faults{Table: platform.Fault{Latency: 2 * time.Millisecond, PerSecond: 300}})
	var mu sync.Mutex
	var took []time.Duration
	failed := 0
	request := func(claimer *claim.Claimer, name string) {
		started := time.Now()
		t, err := claimer.Claim(context.Background(), key(name))
		waited := time.Since(started)
		if err == nil {
			err = claimer.Finish(context.Background(), t, claim.Response{Status: 200})
		}
		mu.Lock()
		defer mu.Unlock()
		took = append(took, waited)
		if err != nil {
			failed++
		}
	}
	var clients sync.WaitGroup
	for i := range instances {
		claimer := claim.New(table.New(s.URL()), fmt.Sprint(i), claim.WithSweep(0, 0))
		defer claimer.Close()
		start := time.Now().Add(time.Duration(i) * time.Second / time.Duration(rate*instances))
		clients.Go(func() {
			for n := range rate * int(length/time.Second) {
				time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
				clients.Go(func() { request(claimer, fmt.Sprint(i, "/", n)) })
			}
		})
	}
	clients.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(s.Counts().TableWrites)/length.Seconds(), "writes/s")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(len(took))/length.Seconds(), "claims/s")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(0, "ns/op")
}
