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
	"time"

	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// fate is what becomes of one attempt.
type fate string

const (
	refuses     fate = "Refuses"     // The target has no room.
	unreachable fate = "Unreachable" // No connection.
	unheard     fate = "Unheard"     // No connection, which shows only when the time is over.
	misdirected fate = "Misdirected" // Another target has the address.
	unanswered  fate = "Unanswered"  // The connection breaks before the answer.
	silent      fate = "Silent"      // Nothing comes until the time is over.
	failing     fate = "Failing"     // The target's own failure.
	broken      fate = "Broken"      // The answer breaks off on the way.
	served      fate = "Served"
)

var fates = []fate{refuses, unreachable, unheard, misdirected, unanswered, silent, failing, broken, served}

// lastEvent is the number of events of a whole stream.
const lastEvent = 6

// oracle is a fleet of targets whose attempts have drawn fates. It keeps what must never happen.
type oracle struct {
	fates []fate
	cuts  []int // cuts say how many events a broken stream gives, and whether one more is cut in the middle.

	mu       sync.Mutex
	runs     int // runs counts the attempts that may have run.
	findings []string
}

func (o *oracle) find(format string, arguments ...any) {
	o.findings = append(o.findings, fmt.Sprintf(format, arguments...))
}

// ran notes that an attempt may have run.
func (o *oracle) ran() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs++
}

// open gives an attempt its fate. Attempts beyond the drawn ones are served.
func (o *oracle) open(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
	f, cut := served, 0
	if n <= len(o.fates) {
		f, cut = o.fates[n-1], o.cuts[n-1]
	}
	stream := a.Path[0].Target.Service == "model"
	switch f {
	case refuses:
		return nil, errRefused
	case unreachable:
		return nil, errDial
	case unheard:
		<-ctx.Done()
		return nil, &proxy.AttemptError{NotRun: true, Cause: ctx.Err()}
	case misdirected:
		return nil, &proxy.AttemptError{Sent: true, NotRun: true, Refused: true, Misdirected: true, Cause: errors.New("another target")}
	case unanswered:
		o.ran()
		return nil, errLost
	case silent:
		o.ran()
		<-ctx.Done()
		return nil, &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
	case failing:
		o.ran()
		return answer(http.StatusInternalServerError, "failed"), nil
	}
	o.ran()
	if stream {
		return o.stream(f, cut, a), nil
	}
	whole := answer(http.StatusOK, "done")
	if f == broken {
		whole.Body = io.MultiReader(strings.NewReader("do"), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return whole, nil
}

// stream goes on after the event that the attempt names, and breaks off if it is fated to.
func (o *oracle) stream(f fate, cut int, a proxy.Attempt) *proxy.Response {
	if !a.Path.Complete(4) {
		o.find("the path %s does not run each layer once", a.Path)
	}
	first := 1
	if a.LastEventID != "" {
		if _, err := fmt.Sscan(a.LastEventID, &first); err != nil {
			o.find("an attempt goes on after event %q", a.LastEventID)
		}
		first++
	}
	if f == served {
		return streaming(strings.NewReader(events(first, lastEvent)))
	}
	last := min(first+cut/2-1, lastEvent-1)
	text := events(first, last)
	if cut%2 == 1 {
		text += fmt.Sprintf("id: %d\nda", last+1)
	}
	return streaming(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errReset)))
}

// TestDrawnFates guards against a request that runs twice, an answer that says that it has not run though it may have, a
// success that is not whole, events that are missing or come twice, and a caller left without a time to come back, in
// any order of failures.
func TestDrawnFates(t *testing.T) {
	const patience = 120 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/look/1", "/book/1", "/plan/1", "/chat/1"}).Draw(t, "path")
		o := &oracle{
			fates: rapid.SliceOfN(rapid.SampledFrom(fates), 0, 8).Draw(t, "fates"),
			cuts:  rapid.SliceOfN(rapid.IntRange(0, 9), 8, 8).Draw(t, "cuts"),
		}
		var options []proxy.Option
		if rapid.Bool().Draw(t, "without retries") {
			options = append(options, noBudget())
		}
		w := newWorld(t, options...)
		w.upstream.open = o.open
		started := time.Now()
		recorder, err := w.call(path, func(c *proxy.Request) { c.Deadline = time.Now().Add(patience) })
		if took := time.Since(started); took > patience+time.Second {
			o.find("the answer took %v", took)
		}
		o.judge(path, recorder.Code, recorder.Body.String(), err)
		if len(o.findings) > 0 {
			t.Fatalf("%s: fates %v, cuts %v, error %v: %s", path, o.fates, o.cuts, err, strings.Join(o.findings, "; "))
		}
	})
}

// judge checks what the caller got against what the targets saw.
func (o *oracle) judge(path string, code int, body string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	repeatable := path == "/look/1" || path == "/plan/1"
	if !repeatable && o.runs > 1 {
		o.find("it may have run %d times", o.runs)
	}
	if path == "/look/1" && o.runs > 2 {
		o.find("it may have run %d times, its route allows 2", o.runs)
	}
	var refused *refusal.Error
	switch {
	case err == nil:
		o.judgeAnswer(path, code, body)
	case errors.Is(err, http.ErrAbortHandler):
		if body == events(1, lastEvent) || !strings.HasPrefix(events(1, lastEvent), body) {
			o.find("a stream was broken off after %q", body)
		}
	case errors.As(err, &refused):
		if body != "" {
			o.find("a refusal follows %q", body)
		}
		if refused.Outcome == outcome.NotRun && o.runs > 0 && !repeatable {
			o.find("it is said not to have run")
		}
		if refused.Status == http.StatusServiceUnavailable && (refused.RetryAfter <= 0 || refused.Outcome != outcome.NotRun) {
			o.find("status 503 with outcome %s, to come back after %v", refused.Outcome, refused.RetryAfter)
		}
		if o.runs == 0 && refused.Outcome != outcome.NotRun {
			o.find("it has not run, and the caller is told %s", refused.Outcome)
		}
	default:
		o.find("the error is no refusal")
	}
}

// judgeAnswer checks an answer that ended well.
func (o *oracle) judgeAnswer(path string, code int, body string) {
	want := "done"
	if path == "/plan/1" || path == "/chat/1" {
		want = events(1, lastEvent)
	}
	if code == http.StatusInternalServerError {
		want = "failed"
	}
	if body != want {
		o.find("the answer is %d %q", code, body)
	}
	if o.runs == 0 {
		o.find("an answer came without a run")
	}
}
