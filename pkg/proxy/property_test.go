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

// scriptedOutcome is the scripted outcome of one attempt.
type scriptedOutcome string

const (
	refuses     scriptedOutcome = "Refuses"     // The target has no capacity.
	unreachable scriptedOutcome = "Unreachable" // No connection.
	timedOut    scriptedOutcome = "TimedOut"    // No connection, detected only at the deadline.
	misdirected scriptedOutcome = "Misdirected" // A different target listens on the address.
	unanswered  scriptedOutcome = "Unanswered"  // The connection breaks before the response.
	silent      scriptedOutcome = "Silent"      // No response until the deadline.
	failing     scriptedOutcome = "Failing"     // The target responds with an error of its own.
	broken      scriptedOutcome = "Broken"      // The response is truncated.
	served      scriptedOutcome = "Served"
)

var scriptedOutcomes = []scriptedOutcome{refuses, unreachable, timedOut, misdirected, unanswered, silent, failing, broken, served}

// lastEvent is the ID of the last event of a complete stream, whose events are numbered from 1.
const lastEvent = 6

// scriptedTargets simulates the targets with a generated outcome for each attempt and records violations.
type scriptedTargets struct {
	outcomes    []scriptedOutcome
	truncations []int // truncations encode how many events a broken stream sends and whether the next event is cut off.

	mu         sync.Mutex
	runs       int // runs counts the attempts that may have run.
	violations []string
}

func (s *scriptedTargets) report(format string, arguments ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

// recordRun records that an attempt may have run.
func (s *scriptedTargets) recordRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

// open gives an attempt its generated outcome. Attempts beyond the generated ones are served.
func (s *scriptedTargets) open(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
	scripted, truncation := served, 0
	if n <= len(s.outcomes) {
		scripted, truncation = s.outcomes[n-1], s.truncations[n-1]
	}
	stream := a.Path[0].Target.Service == "model"
	switch scripted {
	case refuses:
		return nil, errRefused
	case unreachable:
		return nil, errDial
	case timedOut:
		<-ctx.Done()
		return nil, &proxy.AttemptError{NotRun: true, Cause: ctx.Err()}
	case misdirected:
		return nil, &proxy.AttemptError{Sent: true, NotRun: true, Refused: true, Misdirected: true, Cause: errors.New("different target")}
	case unanswered:
		s.recordRun()
		return nil, errLost
	case silent:
		s.recordRun()
		<-ctx.Done()
		return nil, &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
	case failing:
		s.recordRun()
		return response(http.StatusInternalServerError, "failed"), nil
	}
	s.recordRun()
	if stream {
		return s.stream(scripted, truncation, a), nil
	}
	complete := response(http.StatusOK, "done")
	if scripted == broken {
		complete.Body = io.MultiReader(strings.NewReader("do"), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return complete, nil
}

// stream returns a stream that continues after the attempt's LastEventID, truncated unless the outcome is served.
func (s *scriptedTargets) stream(scripted scriptedOutcome, truncation int, a proxy.Attempt) *proxy.Response {
	if !a.Path.Complete(4) {
		s.report("the path %s does not run each layer exactly once", a.Path)
	}
	first := 1
	if a.LastEventID != "" {
		if _, err := fmt.Sscan(a.LastEventID, &first); err != nil {
			s.report("an attempt resumes after event %q", a.LastEventID)
		}
		first++
	}
	if scripted == served {
		return streamingResponse(strings.NewReader(events(first, lastEvent)))
	}
	last := min(first+truncation/2-1, lastEvent-1)
	text := events(first, last)
	if truncation%2 == 1 {
		text += fmt.Sprintf("id: %d\nda", last+1)
	}
	return streamingResponse(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errReset)))
}

// TestRandomFailures guards against a request that runs twice, a NotRun outcome for a request that may have run, a
// truncated success, missing or repeated events, and a refusal without Retry-After, for any sequence of failures.
func TestRandomFailures(t *testing.T) {
	const timeout = 120 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/look/1", "/book/1", "/plan/1", "/chat/1"}).Draw(t, "path")
		s := &scriptedTargets{
			outcomes:    rapid.SliceOfN(rapid.SampledFrom(scriptedOutcomes), 0, 8).Draw(t, "outcomes"),
			truncations: rapid.SliceOfN(rapid.IntRange(0, 9), 8, 8).Draw(t, "truncations"),
		}
		var options []proxy.Option
		if rapid.Bool().Draw(t, "without retries") {
			options = append(options, noRetries())
		}
		h := newHarness(t, options...)
		h.upstream.open = s.open
		started := time.Now()
		recorder, err := h.call(path, func(r *proxy.Request) { r.Deadline = time.Now().Add(timeout) })
		if took := time.Since(started); took > timeout+time.Second {
			s.report("the response took %v", took)
		}
		s.check(path, recorder.Code, recorder.Body.String(), err)
		if len(s.violations) > 0 {
			t.Fatalf("%s: outcomes %v, truncations %v, error %v: %s", path, s.outcomes, s.truncations, err, strings.Join(s.violations, "; "))
		}
	})
}

// check checks the client's response against the recorded runs.
func (s *scriptedTargets) check(path string, code int, body string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryable := path == "/look/1" || path == "/plan/1"
	if !retryable && s.runs > 1 {
		s.report("the request may have run %d times", s.runs)
	}
	if path == "/look/1" && s.runs > 2 {
		s.report("the request may have run %d times, its route allows 2", s.runs)
	}
	var refused *refusal.Error
	switch {
	case err == nil:
		s.checkResponse(path, code, body)
	case errors.Is(err, http.ErrAbortHandler):
		if body == events(1, lastEvent) || !strings.HasPrefix(events(1, lastEvent), body) {
			s.report("a stream was aborted after %q", body)
		}
	case errors.As(err, &refused):
		if body != "" {
			s.report("a refusal follows %q", body)
		}
		if refused.Outcome == outcome.NotRun && s.runs > 0 && !retryable {
			s.report("the outcome is NotRun, but the request may have run")
		}
		if refused.Status == http.StatusServiceUnavailable && (refused.RetryAfter <= 0 || refused.Outcome != outcome.NotRun) {
			s.report("status 503 with outcome %s and RetryAfter %v", refused.Outcome, refused.RetryAfter)
		}
		if s.runs == 0 && refused.Outcome != outcome.NotRun {
			s.report("the request has not run, but the outcome is %s", refused.Outcome)
		}
	default:
		s.report("the error is not a refusal")
	}
}

// checkResponse checks a response without an error.
func (s *scriptedTargets) checkResponse(path string, code int, body string) {
	want := "done"
	if path == "/plan/1" || path == "/chat/1" {
		want = events(1, lastEvent)
	}
	if code == http.StatusInternalServerError {
		want = "failed"
	}
	if body != want {
		s.report("the response is %d %q", code, body)
	}
	if s.runs == 0 {
		s.report("a response came without a run")
	}
}
