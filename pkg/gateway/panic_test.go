package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
)

// logRecorder records a log that several goroutines write.
type logRecorder struct {
	mu      sync.Mutex
	written strings.Builder
}

func (r *logRecorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written.Write(b)
}

func (r *logRecorder) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.written.String(), text)
}

// TestPanicIsLogged guards against a request that ends without a response and without a line in the log.
func TestPanicIsLogged(t *testing.T) {
	store := newFilledStore()
	p := fakePlatform(store, &fakeTargetControl{store: store})
	p.NewHandler = func(*proxy.Server, func() catalogue.Limits, func() (func(), bool, error), *requestbody.Reader) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault in the handler") })
	}
	ctx, cancel := context.WithCancel(context.Background())
	var recorded logRecorder
	g, err := New(ctx, Settings{
		Instance: "i1", DataCentre: "dc", MemoryLimit: 1 << 30, GracePeriod: 1, ClientAddress: loopback, ReadinessAddress: loopback,
		OperatorAddress: loopback, PeerAddress: loopback,
	}, p, WithLogOutput(&recorded))
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	response, err := http.Get("http://" + g.clientListener.Addr().String())
	if err == nil {
		_ = response.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil)
	eventually(t, "the panic in the log", func() bool { return recorded.contains("a fault in the handler") })
}
