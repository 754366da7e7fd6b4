package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var errReset = errors.New("connection reset")

// TestStreamPath guards against a stream whose path does not cover all layers.
func TestStreamPath(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return streamingResponse(strings.NewReader(events(1, 5))), nil
	}
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, h.upstream.sent()[0].Path.Complete(4), qt.IsTrue)
}

// TestResume guards against missing, repeated or truncated events after a target was lost.
func TestResume(t *testing.T) {
	for _, test := range []struct {
		name, first string // first is the part of the stream that arrives before the connection is lost.
		after       string // after is the LastEventID of the next attempt.
	}{
		{"between events", events(1, 3), "3"},
		{"in the middle of an event", events(1, 3) + "id: 4\nda", "3"},
		{"before the first event", "", ""},
		{"in the middle of the first", "id: 1\ndata", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
				if n == 1 {
					return streamingResponse(io.MultiReader(strings.NewReader(test.first), iotest.ErrReader(errReset))), nil
				}
				qt.Check(t, a.LastEventID, qt.Equals, test.after)
				next := 1
				if test.after != "" {
					next = 4
				}
				return streamingResponse(strings.NewReader(events(next, 6))), nil
			}
			recorder, err := h.call("/plan/1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 6))
			qt.Assert(t, h.upstream.sent(), qt.HasLen, 2)
		})
	}
}

// TestEmptyStream guards against an empty response that looks complete, since its target ended before the first event and
// the response had no length.
func TestEmptyStream(t *testing.T) {
	for _, test := range []struct {
		name           string
		closeDelimited bool
		want           string
		attempts       int
	}{
		{"ends with its connection", true, events(1, 3), 2},
		{"is complete", false, "", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				if n == 1 {
					r := streamingResponse(strings.NewReader(""))
					if test.closeDelimited {
						r.ConfirmEnd = func(context.Context) error { return nil }
					}
					return r, nil
				}
				return streamingResponse(strings.NewReader(events(1, 3))), nil
			}
			recorder, err := h.call("/plan/1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Body.String(), qt.Equals, test.want)
			qt.Assert(t, h.upstream.sent(), qt.HasLen, test.attempts)
		})
	}
}

// TestTruncatedStream guards against a truncated stream that looks complete.
func TestTruncatedStream(t *testing.T) {
	for _, test := range []struct {
		name, path string
	}{
		{"may not be resumed", "/chat/1"},
		{"is lost repeatedly", "/plan/1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				return streamingResponse(io.MultiReader(strings.NewReader(events(n, n)), iotest.ErrReader(errReset))), nil
			}
			_, err := h.call(test.path)
			qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue, qt.Commentf("%v", err))
			if test.path == "/chat/1" {
				qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
			}
		})
	}
}

// TestStreamTargets guards against more live targets running a stream than its route allows.
func TestStreamTargets(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		return streamingResponse(io.MultiReader(strings.NewReader(events(n, n)), iotest.ErrReader(errReset))), nil
	}
	// Two more first-stage targets than the two that the route allows.
	h.setTargets("model", append(h.models(), engineTarget("m5", 0, 2), engineTarget("m6", 0, 2))...)
	_, _ = h.call("/plan/1")
	ran := make(map[string]bool)
	for _, a := range h.upstream.sent() {
		ran[a.Path[0].Target.Name] = true
	}
	qt.Assert(t, len(ran) <= 2, qt.IsTrue, qt.Commentf("%v", ran))
}

// TestRefusingTargets guards against retrying a started stream on refusing targets without a delay or a retry budget.
func TestRefusingTargets(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		if n == 1 {
			return streamingResponse(io.MultiReader(strings.NewReader(events(1, 1)), iotest.ErrReader(errReset))), nil
		}
		return nil, errRefused
	}
	_, err := h.call("/plan/1")
	qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue)
	qt.Assert(t, len(h.upstream.sent()) < 20, qt.IsTrue, qt.Commentf("%d attempts", len(h.upstream.sent())))
}

// TestRefusingTargetIsNotAskedAgain guards against sending a request to a target again that has just refused it: the
// target has no more room than before, and each attempt counts against the retry budget.
func TestRefusingTargetIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		sentAt := make(map[string]time.Time)
		h.upstream.open = func(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
			name := a.Path[0].Target.Name
			if last, ok := sentAt[name]; ok {
				qt.Check(t, time.Since(last) >= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s is asked again after %v", name, time.Since(last)))
			}
			sentAt[name] = time.Now()
			return nil, errRefused
		}
		_, err := h.call("/plan/1")
		qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, sentAt, qt.HasLen, 2)
	})
}

// TestStartedStreamRetries guards against aborting a started stream that could be resumed while its client still waits:
// the client decides how long an event gap it accepts.
func TestStartedStreamRetries(t *testing.T) {
	const outage = 2300 * time.Millisecond
	for _, test := range []struct {
		name   string
		budget *retry.Budget // budget is refilled after the outage, unless it is nil.
	}{
		{"the targets refuse", nil},
		{"the retry budget is used up", retry.New(retry.WithRatio(0), retry.WithMinRate(0))},
	} {
		t.Run(test.name, func(t *testing.T) {
			var options []proxy.Option
			if test.budget != nil {
				options = append(options, proxy.WithRetryBudget(test.budget))
				time.AfterFunc(outage, func() { test.budget.SetMinRate(100, 10) })
			}
			h := newHarness(t, options...)
			started := time.Now()
			h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
				switch {
				case n == 1:
					return streamingResponse(io.MultiReader(strings.NewReader(events(1, 2)), iotest.ErrReader(errReset))), nil
				case time.Since(started) < outage:
					return nil, errRefused
				}
				qt.Check(t, a.LastEventID, qt.Equals, "2")
				return streamingResponse(strings.NewReader(events(3, 4))), nil
			}
			recorder, err := h.call("/plan/1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 4))
		})
	}
}

// TestNoCapacity guards against delaying the refusal of a request that has not run, and against an immediate refusal
// where capacity becomes free within the wait for a path.
func TestNoCapacity(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return streamingResponse(strings.NewReader(events(1, 1))), nil
	}
	release := h.stats.Reserve(path.Path{{Target: *h.models()[0]}, {Target: *h.models()[1]}}, 1)
	defer release()
	fill := func() func() {
		var stages path.Path
		for _, m := range h.models() {
			stages = append(stages, path.Stage{Target: *m, Layers: m.Layers})
		}
		return h.stats.Reserve(stages, 1<<20)
	}
	free := fill()
	started := time.Now()
	_, err := h.call("/plan/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue)
	time.AfterFunc(50*time.Millisecond, free)
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 1))
}

// TestDeadlineExceeded guards against a request that has not run and whose client gets neither the outcome NotRun nor a
// Retry-After.
func TestDeadlineExceeded(t *testing.T) {
	const left = 30 * time.Millisecond
	for _, test := range []struct {
		name   string
		open   func(ctx context.Context) error
		status int
	}{
		{"the target cannot be reached", func(ctx context.Context) error {
			<-ctx.Done()
			return &proxy.AttemptError{NotRun: true, Cause: ctx.Err()}
		}, http.StatusServiceUnavailable},
		{"the target does not respond", func(ctx context.Context) error {
			<-ctx.Done()
			return &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
		}, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(ctx context.Context, _ int, _ proxy.Attempt) (*proxy.Response, error) {
				return nil, test.open(ctx)
			}
			_, err := h.call("/plan/1", func(r *proxy.Request) { r.Deadline = time.Now().Add(left) })
			qt.Assert(t, status(err), qt.Equals, test.status)
		})
	}
	t.Run("the deadline has passed on arrival", func(t *testing.T) {
		h := newHarness(t)
		_, err := h.call("/plan/1", func(r *proxy.Request) { r.Deadline = time.Now().Add(-left) })
		qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
		var refused *refusal.Error
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		qt.Assert(t, refused.Outcome, qt.Equals, outcome.NotRun)
		qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
	})
}

// TestDeadStage guards against a stream that stays stalled because of a dead target in the middle of its path.
func TestDeadStage(t *testing.T) {
	h := newHarness(t)
	reader, writer := io.Pipe()
	h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		if n > 1 {
			return nil, errRefused
		}
		go func() {
			_, _ = io.WriteString(writer, events(1, 3))
			h.upstream.kill(a.Path[1].Target.Name)
		}()
		return streamingResponse(reader), nil
	}
	h.upstream.changePath = func(string, path.Path) error {
		go func() {
			_, _ = io.WriteString(writer, events(4, 5))
			_ = writer.Close()
		}()
		return nil
	}
	started := time.Now()
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	qt.Assert(t, h.upstream.pathChanges, qt.HasLen, 1)
	changed, lost := h.upstream.pathChanges[0], h.upstream.sent()[0].Path[1].Target.Name
	qt.Assert(t, changed.Complete(4), qt.IsTrue)
	qt.Assert(t, changed.Contains(lost), qt.IsFalse)
	qt.Assert(t, changed[0].Target.Name, qt.Equals, h.upstream.sent()[0].Path[0].Target.Name)
}

// TestDeadFirstStage guards against waiting for a dead first target, which cannot receive a change of the path.
func TestDeadFirstStage(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		if n > 1 {
			return streamingResponse(strings.NewReader(events(4, 5))), nil
		}
		h.upstream.kill(a.Path[0].Target.Name)
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, events(1, 3)) }()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
		return streamingResponse(reader), nil
	}
	started := time.Now()
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
}

// TestStopping guards against starting a request that a stopping instance would cut off, and against refusing one that ends in
// time.
func TestStopping(t *testing.T) {
	h := newHarness(t, proxy.WithStop(func() time.Time { return time.Now().Add(2 * time.Second) }))
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return streamingResponse(strings.NewReader(events(1, 5))), nil
	}
	for _, path := range []string{"/plan/1", "/book/1"} {
		_, err := h.call(path, func(r *proxy.Request) { r.Deadline = time.Now().Add(time.Minute) })
		qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.NotRun)
		_, err = h.call(path, func(r *proxy.Request) { r.Deadline = time.Now().Add(time.Second) })
		qt.Assert(t, err, qt.IsNil)
	}
}

// TestRefutedRemoteReport guards against migrating streams off a live target because a slow instance reports it dead.
func TestRefutedRemoteReport(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		qt.Check(t, n, qt.Equals, 1)
		reader, writer := io.Pipe()
		go func() {
			for i := 1; i <= 20; i++ {
				_, _ = io.WriteString(writer, events(i, i))
				time.Sleep(10 * time.Millisecond)
				if i == 10 {
					h.server.TargetDead(a.Path[1].Target, true)
				}
			}
			_ = writer.Close()
		}()
		return streamingResponse(reader), nil
	}
	recorder, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 20))
	qt.Assert(t, h.upstream.pathChanges, qt.HasLen, 0)
}

// TestConclusiveProbe guards against slow probes of a target when several streams show that only this target has
// stalled, and against short probes when this process itself may have stalled.
func TestConclusiveProbe(t *testing.T) {
	for _, test := range []struct {
		name   string
		others bool // others means that a stream through another target continues.
		probes int  // probes is the number of probes of the stalled target.
		within time.Duration
	}{
		{"others continue", true, 1, 30 * time.Millisecond},
		{"all stall", false, 2, 60 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				s := &stallingTarget{name: "dark", others: test.others, migrated: make(chan struct{})}
				h.setTargets("model", engineTarget(s.name, 0, 4), engineTarget("sound", 0, 4))
				h.upstream.probe, h.upstream.open = s.probe, s.open
				var group sync.WaitGroup
				call := func(full int, streams int) { // The streams use the target that has capacity.
					fullPath := path.Path{{Target: *h.models()[full], Layers: h.models()[full].Layers}}
					release := h.stats.Reserve(fullPath, 1<<20)
					before := len(h.upstream.sent())
					for range streams {
						group.Go(func() { _, _ = h.call("/plan/1") })
					}
					eventually(t, func() bool { return len(h.upstream.sent()) == before+streams })
					release()
				}
				call(1, stallingTargetStreams)
				call(0, 1)
				group.Wait()
				time.Sleep(time.Second) // The dead target is probed again, which must end before the bubble does.
				probes, longest := s.probeStats()
				qt.Assert(t, probes, qt.Equals, test.probes)
				qt.Assert(t, longest <= test.within, qt.IsTrue, qt.Commentf("%v", longest))
			})
		})
	}
}

// stallingTargetStreams is the number of streams through a stallingTarget.
const stallingTargetStreams = 4

// stallingTarget stalls after three events of each stream and does not respond to probes.
type stallingTarget struct {
	name     string
	others   bool          // others means that the streams through other targets continue.
	migrated chan struct{} // migrated is closed when the first stream is resumed on another target.
	once     sync.Once

	mu      sync.Mutex
	probes  int
	longest time.Duration // longest is the longest time after which a probe was given up.
}

func (s *stallingTarget) probe(ctx context.Context, t target.Target) error {
	select {
	case <-s.migrated: // Probes after the first migration do not count.
		return nil
	default:
	}
	if t.Name != s.name {
		return nil
	}
	started := time.Now()
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.longest = max(s.longest, time.Since(started))
	s.mu.Unlock()
	return ctx.Err()
}

func (s *stallingTarget) open(ctx context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
	if a.LastEventID != "" {
		s.once.Do(func() { close(s.migrated) })
		return streamingResponse(strings.NewReader(events(4, 4))), nil
	}
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
	go func() {
		_, _ = io.WriteString(writer, events(1, 3))
		if a.Path[0].Target.Name == s.name {
			return
		}
		for i := 4; s.others; i++ {
			select {
			case <-s.migrated:
				_ = writer.Close()
				return
			case <-time.After(10 * time.Millisecond):
				_, _ = io.WriteString(writer, events(i, i)) // A write fails if the stream was migrated.
			}
		}
		<-s.migrated
		_ = writer.Close()
	}()
	return streamingResponse(reader), nil
}

func (s *stallingTarget) probeStats() (probes int, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes, s.longest
}

// eventually waits for a condition, for longer than any time limit that a test asserts.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

// TestResumePriority guards against a resumed stream that queues behind new requests.
func TestResumePriority(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		if n == 1 {
			return streamingResponse(io.MultiReader(strings.NewReader(events(1, 3)), iotest.ErrReader(errReset))), nil
		}
		return streamingResponse(strings.NewReader(events(4, 6))), nil
	}
	_, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	sent := h.upstream.sent()
	qt.Assert(t, sent, qt.HasLen, 2)
	qt.Assert(t, sent[0].Priority, qt.Equals, 2) // The workspace's own priority.
	qt.Assert(t, sent[1].Priority, qt.Equals, 0)
}

// TestStreamOnFailedLink guards against a stream that hangs until its client leaves, since only the link to its first target has
// failed: the target answers the probes of other instances. Other streams, which were sent later, are relayed.
func TestStreamOnFailedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cutAt = 200 * time.Millisecond
		began := time.Now()
		h := newHarness(t, proxy.WithLinkCheck(func(context.Context, target.Target) time.Time { return began.Add(cutAt + 50*time.Millisecond) }))
		h.setTargets("model", engineTarget("m1", 0, 4))
		h.upstream.open = func(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
			reader, writer := io.Pipe()
			context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
			first := 1
			if a.LastEventID != "" {
				_, _ = fmt.Sscan(a.LastEventID, &first)
				first++
			}
			go func() {
				for i := first; i <= 20; i++ {
					if n == 1 && time.Since(began) > cutAt {
						return // The connection hangs.
					}
					_, _ = io.WriteString(writer, events(i, i))
					time.Sleep(20 * time.Millisecond)
				}
				_ = writer.Close()
			}()
			return streamingResponse(reader), nil
		}
		go func() {
			for n := range 40 {
				time.Sleep(50 * time.Millisecond)
				go func() { _, _ = h.call("/plan/1", func(r *proxy.Request) { r.ID = fmt.Sprint("later-", n) }) }()
			}
		}()
		recorder, err := h.call("/plan/1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 20))
		qt.Assert(t, time.Since(began) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("the stream took %v", time.Since(began)))
		time.Sleep(5 * time.Second)
	})
}
