package admission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/admission"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// referenceQueue is the reference model of a queue: the waiting requests, the running requests and the capacity.
type referenceQueue struct {
	waiting  map[string]admission.Request
	running  map[string]float64
	capacity float64
}

func (o *referenceQueue) load() float64 {
	sum := 0.0
	for _, cost := range o.running {
		sum += cost
	}
	return sum
}

func (o *referenceQueue) apply(t *rapid.T, decisions []admission.Decision) {
	for _, d := range decisions {
		ticket, ok := o.waiting[d.ID]
		if !ok {
			t.Fatalf("decision %v on a request that does not wait", d)
		}
		delete(o.waiting, d.ID)
		if d.Verdict == admission.Admitted {
			if o.load() >= o.capacity {
				t.Fatalf("%s was admitted beyond the capacity", d.ID)
			}
			o.running[d.ID] = ticket.Cost
		} else if d.RetryAfter < time.Second || d.Reason == "" {
			t.Fatalf("refusal %v lacks a retry delay or a reason", d)
		}
	}
}

// TestQueueAgainstOracle guards against lost or duplicated requests, against idle capacity while requests wait, and
// against requests that wait past their deadline.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &referenceQueue{waiting: map[string]admission.Request{}, running: map[string]float64{}, capacity: 20}
		q := admission.New(admission.WithMaxQueued(8))
		q.SetCapacity(epoch, 20)
		now, number := epoch, 0
		pick := func(label string, ids []string) string { return rapid.SampledFrom(ids).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				number++
				ticket := admission.Request{
					ID: fmt.Sprintf("%04d", number), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "w"),
					Weight: rapid.IntRange(1, 3).Draw(t, "weight"), Cost: float64(rapid.IntRange(1, 30).Draw(t, "cost")),
					Priority: rapid.SampledFrom([]configuration.Priority{configuration.Schedule, configuration.Interactive, configuration.Batch}).Draw(t, "p"),
				}
				if rapid.Bool().Draw(t, "limited") {
					ticket.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
				}
				o.waiting[ticket.ID] = ticket
				if d := q.Submit(now, ticket); d.Verdict != admission.Queued {
					o.apply(t, []admission.Decision{d})
				}
			},
			"end": func(t *rapid.T) {
				ids := sortedKeys(o.running)
				if len(ids) == 0 {
					t.Skip()
				}
				id := pick("running", ids)
				delete(o.running, id)
				if rapid.Bool().Draw(t, "done") {
					q.Done(now, id)
				} else {
					q.Cancel(now, id)
				}
			},
			"cancel": func(t *rapid.T) {
				ids := sortedKeys(o.waiting)
				if len(ids) == 0 {
					t.Skip()
				}
				id := pick("waiting", ids)
				delete(o.waiting, id)
				q.Cancel(now, id)
			},
			"capacity": func(t *rapid.T) {
				o.capacity = float64(rapid.IntRange(0, 40).Draw(t, "capacity"))
				q.SetCapacity(now, o.capacity)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				o.apply(t, q.Tick(now))
				if len(o.waiting) != q.Queued() || q.Queued() > 16 {
					t.Fatalf("%d wait, queue has %d", len(o.waiting), q.Queued())
				}
				if q.RunningCost() != o.load() {
					t.Fatalf("running cost %v, want %v", q.RunningCost(), o.load())
				}
				if len(o.waiting) > 0 && o.load() < o.capacity {
					t.Fatalf("%d wait while only %v of %v run", len(o.waiting), o.load(), o.capacity)
				}
				if len(o.waiting) == 0 && q.WorkspaceCount() != 0 {
					t.Fatalf("%d idle workspaces are kept", q.WorkspaceCount())
				}
				for _, ticket := range o.waiting {
					if !ticket.Deadline.IsZero() && ticket.Deadline.Before(now) {
						t.Fatalf("%s waits beyond its deadline", ticket.ID)
					}
				}
			},
		})
	})
}

// TestRefusals guards against queueing requests that are bound to miss their deadline, and against a wrong retry
// delay.
func TestRefusals(t *testing.T) {
	q := admission.New(admission.WithMaxQueued(20))
	d := q.Submit(epoch, admission.Request{ID: "early", Workspace: "w", Cost: 10})
	qt.Check(t, d.Reason, qt.Equals, admission.ReasonNoCapacity)
	q.SetCapacity(epoch, 100)
	for i := range 10 { // Each takes 1 s, so 10 are served in 1 s.
		q.Submit(epoch, admission.Request{ID: fmt.Sprint(i), Workspace: "w", Cost: 10})
	}
	now := epoch.Add(time.Second)
	q.Done(now, "0")
	tests := []struct {
		id       string
		deadline time.Duration
		want     admission.Verdict
		reason   string
	}{
		{"free capacity", 1100 * time.Millisecond, admission.Admitted, ""},
		{"too short to run", 900 * time.Millisecond, admission.Refused, admission.ReasonDeadline},
		{"first", 1100 * time.Millisecond, admission.Queued, ""},
		{"first", 1100 * time.Millisecond, admission.Refused, admission.ReasonDuplicate},
		{"behind the first", 1050 * time.Millisecond, admission.Refused, admission.ReasonDeadline},
		{"second", 1200 * time.Millisecond, admission.Queued, ""},
	}
	for _, test := range tests {
		ticket := admission.Request{ID: test.id, Workspace: "w", Cost: 10, Deadline: now.Add(test.deadline)}
		d := q.Submit(now, ticket)
		qt.Check(t, d.Verdict, qt.Equals, test.want, qt.Commentf(test.id))
		qt.Check(t, d.Reason, qt.Equals, test.reason, qt.Commentf(test.id))
	}
	q.SetCapacity(now, 20) // The rate falls to 2/s, so the second request can no longer be served in time.
	expired := q.Tick(now)
	qt.Assert(t, len(expired), qt.Equals, 1)
	qt.Check(t, expired[0].ID, qt.Equals, "second")
	qt.Check(t, expired[0].Reason, qt.Equals, admission.ReasonExpired)
}

// TestSlowService guards against holding requests until their latest start when the service has become too slow for
// them. The slowdown measured on finished requests must reach the waiting ones within reactionTime.
func TestSlowService(t *testing.T) {
	const (
		step         = 50 * time.Millisecond
		timeout      = 3 * time.Second
		reactionTime = timeout / 2
	)
	q := admission.New()
	q.SetCapacity(epoch, 10)
	now := epoch
	running := map[string]time.Time{} // running maps each running request to its end.
	service := 200 * time.Millisecond
	started := map[string]time.Time{}
	refused, late := 0, 0
	take := func(decisions ...admission.Decision) {
		for _, d := range decisions {
			switch d.Verdict {
			case admission.Admitted:
				running[d.ID] = now.Add(service)
			case admission.Refused:
				refused++
				if now.Sub(started[d.ID]) > reactionTime {
					late++
				}
			}
		}
	}
	submit := func(id, workspace string) {
		started[id] = now
		take(q.Submit(now, admission.Request{ID: id, Workspace: workspace, Cost: 1, Deadline: now.Add(timeout)}))
	}
	pass := func(length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(step) {
			for _, id := range sortedKeys(running) {
				if !running[id].After(now) {
					delete(running, id)
					q.Done(now, id)
				}
			}
			take(q.Tick(now)...)
		}
	}
	for i := range 100 { // 10 run concurrently for 0.2 s each.
		submit(fmt.Sprint("warm-", i), fmt.Sprint(i%5))
		if i%10 == 9 {
			pass(200 * time.Millisecond)
		}
	}
	service = 600 * time.Millisecond
	for i := range 100 {
		submit(fmt.Sprint("burst-", i), fmt.Sprint(i%5))
	}
	pass(2 * timeout)
	t.Logf("%d were refused, %d of these after %v", refused, late, reactionTime)
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, late, qt.Equals, 0)
}

// TestBurst guards against estimating the wait behind a burst of requests that have all just started as if some of
// them were about to end.
func TestBurst(t *testing.T) {
	q := admission.New()
	q.SetCapacity(epoch, 10)
	now := epoch
	for wave := range 3 { // Each takes 1 s, and 10 run concurrently.
		for i := range 10 {
			id := fmt.Sprint(wave, "-", i)
			qt.Assert(t, q.Submit(now, admission.Request{ID: id, Workspace: "w", Cost: 1}).Verdict, qt.Equals, admission.Admitted)
		}
		if wave == 2 {
			break
		}
		now = now.Add(time.Second)
		for i := range 10 {
			q.Done(now, fmt.Sprint(wave, "-", i))
		}
	}
	for _, test := range []struct {
		id       string
		deadline time.Duration
		want     admission.Verdict
	}{
		{"before the burst ends", 1900 * time.Millisecond, admission.Refused},
		{"long after it", 5 * time.Second, admission.Queued},
	} {
		d := q.Submit(now, admission.Request{ID: test.id, Workspace: "w", Cost: 1, Deadline: now.Add(test.deadline)})
		qt.Check(t, d.Verdict, qt.Equals, test.want, qt.Commentf(test.id))
	}
}

// TestReturningWorkspace guards against estimating a wait as if a workspace that returns after idling were served only
// at its share from its first request on. Its first requests are served before those of a workspace that has waited
// throughout.
func TestReturningWorkspace(t *testing.T) {
	q := admission.New()
	q.SetCapacity(epoch, 1)
	now := epoch
	next := ""
	take := func(decisions ...admission.Decision) {
		for _, d := range decisions {
			if d.Verdict == admission.Admitted {
				next = d.ID
			}
		}
	}
	for i := range 43 { // One request of 1 s at a time, up to 3 queued.
		take(q.Submit(now, admission.Request{ID: fmt.Sprint("a", i), Workspace: "a", Cost: 1}))
		if i >= 3 {
			now = now.Add(time.Second)
			q.Done(now, next)
			take(q.Tick(now)...)
		}
	}
	for i := range 9 {
		qt.Assert(t, q.Submit(now, admission.Request{ID: fmt.Sprint("b", i), Workspace: "b", Cost: 1}).Verdict, qt.Equals, admission.Queued)
	}
	// 9 requests of b, 2 of a and the running one are served first; by its share, b would have 3.
	d := q.Submit(now, admission.Request{ID: "late", Workspace: "a", Cost: 1, Deadline: now.Add(10 * time.Second)})
	qt.Assert(t, d.Verdict, qt.Equals, admission.Refused)
}
