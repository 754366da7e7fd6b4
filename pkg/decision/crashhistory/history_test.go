package crashhistory_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a crash or the progress of content.
type event struct {
	at       time.Duration
	target   string             // target is the target that crashed. It is empty if content made progress.
	runs     []crashhistory.Run // runs are the requests on the target.
	progress []uint64
	cause    uint64 // cause is content that another instance found to crash targets.
	remote   bool   // remote means that another instance saw the progress.
}

// TestCauses guards against content that goes on crashing targets, and against refusing content that shares targets with it.
func TestCauses(t *testing.T) {
	run := func(attempt uint64, contents ...uint64) crashhistory.Run {
		return crashhistory.Run{Request: attempt, Attempt: attempt, Contents: contents}
	}
	retry := func(request, attempt, content uint64) crashhistory.Run {
		return crashhistory.Run{Request: request, Attempt: attempt, Contents: []uint64{content}}
	}
	crash := func(at time.Duration, target string, runs ...crashhistory.Run) event {
		return event{at: at, target: target, runs: runs}
	}
	const s = time.Second
	for _, test := range []struct {
		name   string
		events []event
		want   []uint64
	}{
		{"three crashes", []event{crash(0, "a", run(1, 7)), crash(s, "b", run(2, 7)), crash(2*s, "c", run(3, 7))}, []uint64{7}},
		{"three crashes at once", []event{crash(0, "a", run(1, 7)), crash(0, "b", run(2, 7)), crash(0, "c", run(3, 7))}, []uint64{7}},
		{"two crashes", []event{crash(0, "a", run(1, 7)), crash(s, "b", run(2, 7))}, nil},
		{"reports on the same crash", []event{crash(0, "a", run(1, 7)), crash(s/2, "a", run(2, 7)), crash(s, "a", run(3, 7))}, nil},
		{"one attempt whose path crashed", []event{crash(0, "a", run(1, 7)), crash(s, "b", run(1, 7)), crash(2*s, "c", run(1, 7))}, nil},
		{"one request that meets three targets", []event{
			crash(0, "a", retry(1, 1, 7)), crash(s/10, "b", retry(1, 2, 7)), crash(s/5, "c", retry(1, 3, 7)),
		}, nil},
		{"two requests, one of them retried", []event{
			crash(0, "a", retry(1, 1, 7)), crash(s/10, "b", retry(1, 2, 7)), crash(s, "c", retry(2, 3, 7)),
		}, []uint64{7}},
		{"progress after two crashes", []event{
			crash(0, "a", run(1, 7)), crash(s, "b", run(2, 7)), {at: 2 * s, progress: []uint64{7}}, crash(13*s, "c", run(3, 7)),
		}, nil},
		{"progress elsewhere", []event{
			crash(0, "a", run(1, 7)), crash(s, "b", run(2, 7)), {at: 2 * s, progress: []uint64{7}, remote: true}, crash(3*s, "c", run(3, 7)),
		}, nil},
		{"content that shares targets with the cause", []event{
			crash(0, "a", run(1, 7), run(9, 8)), crash(s, "b", run(2, 7), run(8, 8)), crash(2*s, "c", run(3, 7)), crash(3*s, "d", run(4, 7), run(6, 8)),
		}, []uint64{7}},
		{"a rack", []event{
			crash(0, "a", run(1, 7)), crash(s, "b", run(2, 7)), crash(2*s, "c", run(3, 7)), crash(2*s, "d"), crash(2*s, "e"),
		}, nil},
		{"other crashes one after another", []event{
			crash(0, "a", run(1, 7)), crash(s, "x", run(8, 8)), crash(2*s, "b", run(2, 7)), crash(3*s, "y", run(9, 9)), crash(4*s, "c", run(3, 7)),
		}, []uint64{7}},
		{"a part, no two contents alike", []event{
			crash(0, "a", run(1, 5, 6, 11)), crash(s, "b", run(2, 5, 6, 12)), crash(2*s, "c", run(3, 5, 6, 13)),
		}, []uint64{6}},
		{"a part before one that others share", []event{
			crash(0, "a", run(1, 5, 6, 11)), {at: s / 2, progress: []uint64{6}}, crash(s, "b", run(2, 5, 6, 12)), crash(2*s, "c", run(3, 5, 6, 13)),
		}, []uint64{5}},
		{"a part in other requests than the cause's", []event{
			crash(0, "a", run(1, 5, 6, 11)), crash(s, "b", run(2, 5, 6, 12)), crash(2*s, "c", run(3, 5, 7, 13)), crash(3*s, "d", run(4, 5, 6, 14), run(9, 5, 7, 15)),
		}, []uint64{5}},
		{"a whole content and its parts", []event{
			crash(0, "a", run(1, 5, 6, 11)), crash(s, "b", run(2, 5, 6, 11)), crash(2*s, "c", run(3, 5, 6, 11)),
		}, []uint64{11}},
		{"a part, after the whole content of each request was found", []event{
			crash(0, "a", run(1, 6, 11)), crash(s, "b", run(2, 6, 11)), {at: s, cause: 11}, crash(2*s, "c", run(3, 6, 12)),
		}, []uint64{6}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := crashhistory.New()
			var causes []uint64
			now := epoch
			for _, e := range test.events {
				now = epoch.Add(e.at)
				causes = append(causes, contentsOf(h.Causes(now))...)
				switch {
				case e.target != "":
					h.Add(crashhistory.Report{Target: e.target, Runs: e.runs}, now)
				case e.cause != 0:
					h.AddCause(e.cause, now.Add(time.Minute), now)
				case e.remote:
					h.Clear(e.progress, now)
				default:
					qt.Assert(t, h.Progressed(e.progress, now), qt.DeepEquals, e.progress)
				}
			}
			causes = append(causes, contentsOf(h.Causes(now.Add(time.Second)))...)
			qt.Assert(t, causes, qt.DeepEquals, test.want)
		})
	}
}

func contentsOf(causes []crashhistory.Cause) []uint64 {
	var contents []uint64
	for _, c := range causes {
		contents = append(contents, c.Content)
	}
	return contents
}

// TestCauseReturns guards against content that crashes targets again, unnoticed, once its quarantine has ended, and against
// taking the content beside it for the cause meanwhile.
func TestCauseReturns(t *testing.T) {
	h := crashhistory.New()
	n := uint64(0)
	crash := func(at time.Duration) []uint64 {
		n++
		now := epoch.Add(at)
		h.Add(crashhistory.Report{Target: fmt.Sprint("t", n), Runs: []crashhistory.Run{{Request: n, Attempt: n, Contents: []uint64{7}}, {Request: 100 + n, Attempt: 100 + n, Contents: []uint64{8}}}}, now)
		if n%2 == 0 {
			h.Add(crashhistory.Report{Target: fmt.Sprint("u", n), Runs: []crashhistory.Run{{Request: 200 + n, Attempt: 200 + n, Contents: []uint64{7}}}}, now)
		}
		return contentsOf(h.Causes(now.Add(time.Second)))
	}
	var found []uint64
	for i := range 6 {
		found = append(found, crash(time.Duration(i)*10*time.Second)...)
	}
	qt.Assert(t, found, qt.DeepEquals, []uint64{7})
	for i := range 6 {
		found = append(found, crash(11*time.Minute+time.Duration(i)*10*time.Second)...)
	}
	qt.Assert(t, found, qt.DeepEquals, []uint64{7, 7})
}

// TestManyCauses guards against a search that does not end once there are more causes than are kept.
func TestManyCauses(t *testing.T) {
	h := crashhistory.New()
	for i := range uint64(5000) {
		h.AddCause(i, epoch.Add(time.Minute+time.Duration(i)), epoch)
	}
	for i := range uint64(3) {
		h.Add(crashhistory.Report{Target: fmt.Sprint("t", i), Runs: []crashhistory.Run{{Request: i, Attempt: i, Contents: []uint64{1 << 40}}}}, epoch.Add(time.Second))
	}
	qt.Assert(t, contentsOf(h.Causes(epoch.Add(2*time.Second))), qt.DeepEquals, []uint64{1 << 40})
}

// TestWithout guards against a report that makes each instance of a large fleet answer, since it names popular parts.
func TestWithout(t *testing.T) {
	report := crashhistory.Report{Target: "t", Own: true, Runs: []crashhistory.Run{{Request: 1, Attempt: 1, Contents: []uint64{5, 6}}, {Request: 2, Attempt: 2, Contents: []uint64{5}}}}
	want := crashhistory.Report{Target: "t", Own: true, Runs: []crashhistory.Run{{Request: 1, Attempt: 1, Contents: []uint64{6}}}}
	qt.Assert(t, report.Without([]uint64{5}), qt.DeepEquals, want)
}

// TestInnocent guards against refusing content that makes progress all the time, while all targets crash.
func TestInnocent(t *testing.T) {
	h := crashhistory.New()
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		h.Progressed([]uint64{7}, now)
		innocent := h.Add(crashhistory.Report{Target: fmt.Sprint("t", i), Runs: []crashhistory.Run{{Request: uint64(i), Attempt: uint64(i), Contents: []uint64{7}}}}, now)
		qt.Assert(t, innocent, qt.DeepEquals, []uint64{7})
		qt.Assert(t, h.Causes(now.Add(time.Second/2)), qt.HasLen, 0)
	}
}

// TestLateCrash guards against counting a crash under a known cause against other content on the target.
func TestLateCrash(t *testing.T) {
	h := crashhistory.New()
	h.AddCause(7, epoch.Add(time.Minute), epoch)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * time.Second)
		h.Add(crashhistory.Report{Target: fmt.Sprint("t", i), Runs: []crashhistory.Run{{Request: uint64(i), Attempt: uint64(i), Contents: []uint64{7}}, {Request: uint64(100 + i), Attempt: uint64(100 + i), Contents: []uint64{8}}}}, now)
		qt.Assert(t, h.Causes(now.Add(time.Second/2)), qt.HasLen, 0)
	}
}

// TestBounds guards against losing the newest crashes, or forgetting to clear content, once many crashes were dropped.
func TestBounds(t *testing.T) {
	h := crashhistory.New()
	now := epoch
	for i := range uint64(1000) {
		now = now.Add(time.Second)
		h.Add(crashhistory.Report{Target: fmt.Sprint("t", i), Runs: []crashhistory.Run{{Request: i, Attempt: i, Contents: []uint64{1 << 32, 1<<33 + i}}}}, now)
		qt.Assert(t, h.Progressed([]uint64{1 << 32}, now.Add(time.Millisecond)), qt.DeepEquals, []uint64{1 << 32})
		qt.Assert(t, h.Causes(now.Add(time.Second/2)), qt.HasLen, 0)
		now = now.Add(20 * time.Second)
	}
	for i := range uint64(3) {
		now = now.Add(time.Second)
		h.Add(crashhistory.Report{Target: fmt.Sprint("bad-", i), Runs: []crashhistory.Run{{Request: 1<<40 + i, Attempt: 1<<40 + i, Contents: []uint64{7}}}}, now)
	}
	qt.Assert(t, contentsOf(h.Causes(now.Add(time.Second))), qt.DeepEquals, []uint64{7})
}
