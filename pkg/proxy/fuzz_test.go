package proxy_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// FuzzEvents guards against an incomplete event that reaches the client, bytes that the target did not send, and a stream
// that ends in the middle of an event and looks complete.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", events(1, 3), events(1, 2) + "id: 3\nda", "\n\n\n", "data: a\r\n\r\n", "id:\n\nid: x\n\n", ": ping\n\n"} {
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece uint8) {
		h := newHarness(t)
		h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
			return streamingResponse(&pieces{rest: sent, size: int(piece%64) + 1}), nil
		}
		recorder, err := h.call("/chat/1") // Its route allows no resume, so that there is one attempt.
		received := recorder.Body.Bytes()
		if !bytes.HasPrefix(sent, received) {
			t.Fatalf("received %q of %q", received, sent)
		}
		if len(received) > 0 && !bytes.HasSuffix(received, []byte("\n\n")) {
			t.Fatalf("an incomplete event was received: %q", received)
		}
		if err == nil && len(received) != len(sent) {
			t.Fatalf("complete with %q of %q", received, sent)
		}
	})
}

// pieces is a reader that returns at most size bytes with each call.
type pieces struct {
	rest []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}
