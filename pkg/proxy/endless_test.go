package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// repeat is a reader that repeats a piece without end.
type repeat struct {
	piece  string
	offset int
	read   int
}

func (r *repeat) Read(b []byte) (int, error) {
	n := copy(b, r.piece[r.offset:])
	r.offset = (r.offset + n) % len(r.piece)
	r.read += n
	return n, nil
}

// TestEndlessStream guards against a stream that goes on without end: an event that does not end, and more events than the
// tokens that the client asked for.
func TestEndlessStream(t *testing.T) {
	for _, test := range []struct {
		name, piece string
		maxBytes    int
	}{
		{"an event without end", "data: word ", 3 << 18},
		{"events without end", "id: 1\ndata: word\n\n", 1 << 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			var bodies []*repeat
			h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
				body := &repeat{piece: test.piece}
				bodies = append(bodies, body)
				return streamingResponse(body), nil
			}
			started := time.Now()
			_, err := h.call("/plan/1")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("%d attempts, %v", len(bodies), err))
			total := 0
			for _, body := range bodies {
				total += body.read
			}
			qt.Assert(t, total <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes of %d attempts were read", total, len(bodies)))
		})
	}
}

// discardWriter is a response writer that discards the body.
type discardWriter struct {
	header  http.Header
	written int
}

func (w *discardWriter) Header() http.Header { return w.header }
func (w *discardWriter) WriteHeader(int)     {}
func (w *discardWriter) Write(b []byte) (int, error) {
	w.written += len(b)
	return len(b), nil
}

// TestEndlessResponse guards against a response without a length that never ends and looks complete when it is cut.
func TestEndlessResponse(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		endless := response(http.StatusOK, "")
		endless.ContentLength, endless.Body = -1, &repeat{piece: strings.Repeat("x", 1<<16)}
		return endless, nil
	}
	request := &proxy.Request{ID: "1", Method: "POST", URI: "/look/1", Path: "/look/1", Host: host, Key: "key", ReceivedAt: time.Now()}
	w := &discardWriter{header: make(http.Header)}
	err := h.server.Serve(context.Background(), request, w)
	qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, w.written <= 128<<20, qt.IsTrue)
}

// TestCommentsOnly guards against a stream that sends only comments and is therefore never taken for stalled: a target
// that hangs may keep its connection busy.
func TestCommentsOnly(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(ctx context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		if n > 1 {
			return streamingResponse(strings.NewReader(events(4, 6))), nil
		}
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
		go func() {
			_, _ = io.WriteString(writer, events(1, 3))
			for {
				if _, err := io.WriteString(writer, ": ping\n\n"); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		for _, m := range h.models() {
			h.upstream.kill(m.Name)
		}
		time.AfterFunc(300*time.Millisecond, h.upstream.reviveAll)
		return streamingResponse(reader), nil
	}
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasSuffix(recorder.Body.String(), events(4, 6)), qt.IsTrue)
}

// TestSlowStream guards against cutting off or moving a slow but sound stream, and against a stalled one that never ends
// although a byte arrives now and then.
func TestSlowStream(t *testing.T) {
	for _, test := range []struct {
		name, piece string
		pause       time.Duration
		sound       bool
	}{
		{"an event each 400 ms", "id: 7\ndata: word\n\n", 400 * time.Millisecond, true},
		{"a byte each 50 ms", "x", 50 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.upstream.open = func(ctx context.Context, _ int, _ proxy.Attempt) (*proxy.Response, error) {
					reader, writer := io.Pipe()
					context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
					go func() {
						_, _ = io.WriteString(writer, events(1, 3))
						for i := 0; !test.sound || i < 6; i++ {
							time.Sleep(test.pause)
							if _, err := io.WriteString(writer, test.piece); err != nil {
								return
							}
						}
						_ = writer.Close()
					}()
					return streamingResponse(reader), nil
				}
				started := time.Now()
				recorder, err := h.call("/plan/1")
				took := time.Since(started)
				time.Sleep(time.Second) // The fake target ends after the stream.
				qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
				if test.sound {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 3)+strings.Repeat(test.piece, 6))
					return
				}
				qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, took <= 3100*time.Millisecond, qt.IsTrue, qt.Commentf("%v, the route's timeout is 3 s", took))
			})
		})
	}
}
