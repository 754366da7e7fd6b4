package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

// Guards against a client that reports a truncated stream as a complete response, or a refusal
// that states no outcome as a request that did not run.
func TestResponseOutcomes(t *testing.T) {
	const token = "data: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}\n\n"
	const failed = `{"error":{"message":"stage lost","code":"x","Outcome":"Failed","RetryAfter":1}}`
	tests := []struct {
		name      string
		status    int
		body      string
		outcome   outcome.Outcome
		truncated bool
		tokens    int
	}{
		{"complete", 200, token + token + "data: [DONE]\n\n", outcome.Done, false, 2},
		{"truncated", 200, token, outcome.Unknown, true, 1},
		{"error in stream", 200, token + "data: " + failed + "\n\n", outcome.Failed, false, 1},
		{"refused", 503, `{"error":{"message":"full","Outcome":"NotRun"}}`, outcome.NotRun, false, 0},
		{"no outcome", 502, "bad gateway", outcome.Unknown, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				fmt.Fprint(w, tt.body)
			}))
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			r := New().Chat(context.Background(), ChatRequest{Address: address, Prompt: "p", Tokens: 2})
			c.Assert(r.Outcome, qt.Equals, tt.outcome)
			c.Assert(r.Truncated, qt.Equals, tt.truncated)
			c.Assert(r.ChunkTimes, qt.HasLen, tt.tokens)
		})
	}
}

// Guards against a client that reports a request as not run, although it was sent and run: its instance was killed, so that the
// connection broke and could not be opened again.
func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var ran atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if ran.Add(1) == 1 {
			_, _ = io.WriteString(w, "done")
			return
		}
		_ = listener.Close()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := New()
	defer client.Close()
	order := ServiceRequest{Address: netip.MustParseAddrPort(listener.Addr().String()), Method: http.MethodPost, Path: "shop/reorder", ID: "order-1"}
	c.Assert(client.CallService(context.Background(), order).Outcome, qt.Equals, outcome.Done)
	order.ID = "order-2"
	response := client.CallService(context.Background(), order)
	c.Assert(ran.Load(), qt.Equals, int32(2))
	c.Assert(response.Outcome, qt.Equals, outcome.Unknown)
	c.Assert(response.Truncated, qt.IsTrue)
	order.ID = "order-3"
	c.Assert(client.CallService(context.Background(), order).Outcome, qt.Equals, outcome.NotRun)
}
