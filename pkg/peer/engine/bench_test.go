package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// BenchmarkStep measures decode steps of 500 concurrent streams to one engine that responds to each batch
// immediately. The engine runs in the same process, so the result includes its CPU time.
func BenchmarkStep(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		batch := &enginepb.StepBatch{}
		_ = proto.Unmarshal(body, batch)
		for _, s := range batch.Steps {
			_, _ = protodelim.MarshalTo(w, resultOf(s))
		}
	}))
	defer server.Close()
	registry := metrics.NewRegistry()
	e := engine.New(netip.MustParseAddrPort(server.Listener.Addr().String()), engine.WithRegistry(registry))
	defer e.Close()
	const streams = 500
	b.ReportAllocs()
	b.ResetTimer()
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			for n := range b.N/streams + 1 {
				if _, err := e.Step(b.Context(), step(fmt.Sprint("r", i), uint32(n+1), 1)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	calls := registry.Get("engine.calls").(metrics.Counter).Count()
	b.ReportMetric(float64(registry.Get("engine.steps").(metrics.Counter).Count())/float64(calls), "steps/call")
}
