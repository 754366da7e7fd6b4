package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
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

// TestStreamPath guards against a stream without a path over all layers.
func TestStreamPath(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return streaming(strings.NewReader(events(1, 5))), nil
	}
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, w.upstream.sent()[0].Path.Complete(4), qt.IsTrue)
}

// TestResume guards against events that are missing, come twice or are cut in the middle after a stream was lost.
func TestResume(t *testing.T) {
	for _, test := range []struct {
		about, first string // first is what arrives before the loss.
		after        string // after is the event that the next attempt goes on from.
	}{
		{"between events", events(1, 3), "3"},
		{"in the middle of an event", events(1, 3) + "id: 4\nda", "3"},
		{"before the first event", "", ""},
		{"in the middle of the first", "id: 1\ndata", ""},
	} {
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			w.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
				if n == 1 {
					return streaming(io.MultiReader(strings.NewReader(test.first), iotest.ErrReader(errReset))), nil
				}
				qt.Check(t, a.LastEventID, qt.Equals, test.after)
				next := 1
				if test.after != "" {
					next = 4
				}
				return streaming(strings.NewReader(events(next, 6))), nil
			}
			recorder, err := w.call("/plan/1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 6))
			qt.Assert(t, w.upstream.sent(), qt.HasLen, 2)
		})
	}
}

// TestIncomplete guards against a stream that ends early and looks complete.
func TestIncomplete(t *testing.T) {
	for _, test := range []struct {
		about, path string
	}{
		{"may not be resumed", "/chat/1"},
		{"is lost again and again", "/plan/1"},
	} {
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			w.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				return streaming(io.MultiReader(strings.NewReader(events(n, n)), iotest.ErrReader(errReset))), nil
			}
			_, err := w.call(test.path)
			qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue, qt.Commentf("%v", err))
			if test.path == "/chat/1" {
				qt.Assert(t, w.upstream.sent(), qt.HasLen, 1)
			}
		})
	}
}

// TestStreamTargets guards against more live targets running a stream than its route allows.
func TestStreamTargets(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		return streaming(io.MultiReader(strings.NewReader(events(n, n)), iotest.ErrReader(errReset))), nil
	}
	// Two more first targets than the two that the route allows.
	w.list("model", append(w.models(), engineTarget("m5", 0, 2), engineTarget("m6", 0, 2))...)
	_, _ = w.call("/plan/1")
	ran := make(map[string]bool)
	for _, a := range w.upstream.sent() {
		ran[a.Path[0].Target.Name] = true
	}
	qt.Assert(t, len(ran) <= 2, qt.IsTrue, qt.Commentf("%v", ran))
}

// TestRefusingTargets guards against asking targets that refuse a begun stream without a pause or a budget.
func TestRefusingTargets(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		if n == 1 {
			return streaming(io.MultiReader(strings.NewReader(events(1, 1)), iotest.ErrReader(errReset))), nil
		}
		return nil, errRefused
	}
	_, err := w.call("/plan/1")
	qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.IsTrue)
	qt.Assert(t, len(w.upstream.sent()) < 20, qt.IsTrue, qt.Commentf("%d attempts", len(w.upstream.sent())))
}

// TestPersists guards against breaking off a begun stream that could go on while its caller still waits: the caller
// decides how long a pause may be.
func TestPersists(t *testing.T) {
	const pause = 2300 * time.Millisecond
	for _, test := range []struct {
		about  string
		budget *retry.Budget // budget is refilled after the pause, unless it is nil.
	}{
		{"the targets refuse", nil},
		{"the retry budget is used up", retry.New(retry.WithRatio(0), retry.WithMinRate(0))},
	} {
		t.Run(test.about, func(t *testing.T) {
			var options []proxy.Option
			if test.budget != nil {
				options = append(options, proxy.WithRetryBudget(test.budget))
				time.AfterFunc(pause, func() { test.budget.SetMinRate(100, 10) })
			}
			w := newWorld(t, options...)
			started := time.Now()
			w.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
				switch {
				case n == 1:
					return streaming(io.MultiReader(strings.NewReader(events(1, 2)), iotest.ErrReader(errReset))), nil
				case time.Since(started) < pause:
					return nil, errRefused
				}
				qt.Check(t, a.LastEventID, qt.Equals, "2")
				return streaming(strings.NewReader(events(3, 4))), nil
			}
			recorder, err := w.call("/plan/1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 4))
		})
	}
}

// TestNoRoom guards against holding back the refusal of a request that has not run, and a refusal at once where room
// comes a moment later.
func TestNoRoom(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return streaming(strings.NewReader(events(1, 1))), nil
	}
	release := w.meter.Reserve(path.Path{{Target: *w.models()[0]}, {Target: *w.models()[1]}}, 1)
	defer release()
	fill := func() func() {
		var all path.Path
		for _, m := range w.models() {
			all = append(all, path.Stage{Target: *m, Layers: m.Layers})
		}
		return w.meter.Reserve(all, 1<<20)
	}
	free := fill()
	started := time.Now()
	_, err := w.call("/plan/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue)
	time.AfterFunc(50*time.Millisecond, free)
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 1))
}

// TestOutOfTime guards against a request that has not run and whose caller is not told so, nor when to come back.
func TestOutOfTime(t *testing.T) {
	const left = 30 * time.Millisecond
	for _, test := range []struct {
		about  string
		open   func(ctx context.Context) error
		status int
	}{
		{"the target cannot be reached", func(ctx context.Context) error {
			<-ctx.Done()
			return &proxy.AttemptError{NotRun: true, Cause: ctx.Err()}
		}, http.StatusServiceUnavailable},
		{"the target does not answer", func(ctx context.Context) error {
			<-ctx.Done()
			return &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
		}, http.StatusGatewayTimeout},
	} {
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			w.upstream.open = func(ctx context.Context, _ int, _ proxy.Attempt) (*proxy.Response, error) {
				return nil, test.open(ctx)
			}
			_, err := w.call("/plan/1", func(c *proxy.Request) { c.Deadline = time.Now().Add(left) })
			qt.Assert(t, status(err), qt.Equals, test.status)
		})
	}
	t.Run("the deadline has passed on arrival", func(t *testing.T) {
		w := newWorld(t)
		_, err := w.call("/plan/1", func(c *proxy.Request) { c.Deadline = time.Now().Add(-left) })
		qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
		var refused *refusal.Error
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		qt.Assert(t, refused.Outcome, qt.Equals, outcome.NotRun)
		qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
	})
}

// TestDeadPart guards against a stream that stays silent because of a dead target in the middle of its path.
func TestDeadPart(t *testing.T) {
	w := newWorld(t)
	reader, writer := io.Pipe()
	w.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		if n > 1 {
			return nil, errRefused
		}
		go func() {
			_, _ = io.WriteString(writer, events(1, 3))
			w.upstream.kill(a.Path[1].Target.Name)
		}()
		return streaming(reader), nil
	}
	w.upstream.repath = func(string, path.Path) error {
		go func() {
			_, _ = io.WriteString(writer, events(4, 5))
			_ = writer.Close()
		}()
		return nil
	}
	started := time.Now()
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	qt.Assert(t, w.upstream.changes, qt.HasLen, 1)
	changed, lost := w.upstream.changes[0], w.upstream.sent()[0].Path[1].Target.Name
	qt.Assert(t, changed.Complete(4), qt.IsTrue)
	qt.Assert(t, changed.Contains(lost), qt.IsFalse)
	qt.Assert(t, changed[0].Target.Name, qt.Equals, w.upstream.sent()[0].Path[0].Target.Name)
}

// TestDeadFirst guards against waiting for a silent first target, which no order can reach.
func TestDeadFirst(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		if n > 1 {
			return streaming(strings.NewReader(events(4, 5))), nil
		}
		w.upstream.kill(a.Path[0].Target.Name)
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, events(1, 3)) }()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
		return streaming(reader), nil
	}
	started := time.Now()
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
}

// TestStopping guards against beginning a long answer that a stopping instance would cut off.
func TestStopping(t *testing.T) {
	w := newWorld(t, proxy.WithStopping(func() bool { return true }))
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return answer(http.StatusOK, "done"), nil
	}
	_, err := w.call("/plan/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
	_, err = w.call("/book/1")
	qt.Assert(t, err, qt.IsNil)
}

// TestHearsay guards against leaving a target that works because a slow instance says that it is dead.
func TestHearsay(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		qt.Check(t, n, qt.Equals, 1)
		reader, writer := io.Pipe()
		go func() {
			for i := 1; i <= 20; i++ {
				_, _ = io.WriteString(writer, events(i, i))
				time.Sleep(10 * time.Millisecond)
				if i == 10 {
					w.server.TargetDead(a.Path[1].Target)
				}
			}
			_ = writer.Close()
		}()
		return streaming(reader), nil
	}
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 20))
	qt.Assert(t, w.upstream.changes, qt.HasLen, 0)
}

// TestSlowProcess guards against declaring targets dead because this process itself stood still.
func TestSlowProcess(t *testing.T) {
	w := newWorld(t)
	w.upstream.probe = func(ctx context.Context, _ target.Target) error {
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond) // The process notices the timeout late.
		return ctx.Err()
	}
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, events(1, 3))
			time.Sleep(600 * time.Millisecond)
			_, _ = io.WriteString(writer, events(4, 5))
			_ = writer.Close()
		}()
		return streaming(reader), nil
	}
	recorder, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
	qt.Assert(t, w.upstream.sent(), qt.HasLen, 1)
	qt.Assert(t, w.upstream.changes, qt.HasLen, 0)
}

// TestSureSuspect guards against long questions to a target when several streams show that it, and nothing else, has
// fallen silent, and against short ones when this process itself may stand still.
func TestSureSuspect(t *testing.T) {
	for _, test := range []struct {
		about  string
		others bool // others means that a stream through another target goes on.
		asked  int  // asked is the number of questions to the silent target.
		within time.Duration
	}{
		{"others go on", true, 1, 30 * time.Millisecond},
		{"all stand still", false, 2, 60 * time.Millisecond},
	} {
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			d := &darkTarget{name: "dark", others: test.others, moved: make(chan struct{})}
			w.list("model", engineTarget(d.name, 0, 4), engineTarget("sound", 0, 4))
			w.upstream.probe, w.upstream.open = d.probe, d.open
			var group sync.WaitGroup
			call := func(full int, streams int) { // Streams take the target that has room.
				whole := path.Path{{Target: *w.models()[full], Layers: w.models()[full].Layers}}
				release := w.meter.Reserve(whole, 1<<20)
				before := len(w.upstream.sent())
				for range streams {
					group.Go(func() { _, _ = w.call("/plan/1") })
				}
				eventually(t, func() bool { return len(w.upstream.sent()) == before+streams })
				release()
			}
			call(1, darkStreams)
			call(0, 1)
			group.Wait()
			asked, longest := d.questions()
			qt.Assert(t, asked, qt.Equals, test.asked)
			qt.Assert(t, longest <= test.within, qt.IsTrue, qt.Commentf("%v", longest))
		})
	}
}

// darkStreams is the number of streams through a darkTarget.
const darkStreams = 4

// darkTarget falls silent after three events of each stream, and answers no questions.
type darkTarget struct {
	name   string
	others bool          // others means that the streams through other targets go on.
	moved  chan struct{} // moved is closed when the first stream goes on elsewhere.
	once   sync.Once

	mu      sync.Mutex
	asked   int
	longest time.Duration // longest is the longest time that a question had.
}

func (d *darkTarget) probe(ctx context.Context, t target.Target) error {
	select {
	case <-d.moved: // Questions after the loss do not count.
		return nil
	default:
	}
	if t.Name != d.name {
		return nil
	}
	deadline, _ := ctx.Deadline()
	d.mu.Lock()
	d.asked, d.longest = d.asked+1, max(d.longest, time.Until(deadline))
	d.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

func (d *darkTarget) open(ctx context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
	if a.LastEventID != "" {
		d.once.Do(func() { close(d.moved) })
		return streaming(strings.NewReader(events(4, 4))), nil
	}
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
	go func() {
		_, _ = io.WriteString(writer, events(1, 3))
		if a.Path[0].Target.Name == d.name {
			return
		}
		for i := 4; d.others; i++ {
			select {
			case <-d.moved:
				_ = writer.Close()
				return
			case <-time.After(10 * time.Millisecond):
				_, _ = io.WriteString(writer, events(i, i)) // The stream may have been moved.
			}
		}
		<-d.moved
		_ = writer.Close()
	}()
	return streaming(reader), nil
}

func (d *darkTarget) questions() (asked int, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked, d.longest
}

// eventually waits for a condition, for longer than any bound that a test of it states.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not come true")
		}
	}
}

// TestResumeRank guards against a caller in the middle of an answer who waits behind new requests.
func TestResumeRank(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
		if n == 1 {
			return streaming(io.MultiReader(strings.NewReader(events(1, 3)), iotest.ErrReader(errReset))), nil
		}
		return streaming(strings.NewReader(events(4, 6))), nil
	}
	_, err := w.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	sent := w.upstream.sent()
	qt.Assert(t, sent, qt.HasLen, 2)
	qt.Assert(t, sent[0].Priority, qt.Equals, 2) // The workspace's own.
	qt.Assert(t, sent[1].Priority, qt.Equals, 0)
}
