package soak

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
)

const (
	// leavingLimit is the time after which a leaving target gets no new work (P5).
	leavingLimit = 3 * time.Second
	// spreadLimit is the time in which an accepted configuration is in force everywhere (P7).
	spreadLimit = 6 * time.Second
	// clockSlack covers the time from a decision to the time stamp of its effect on a busy machine.
	clockSlack = 300 * time.Millisecond
)

// record is one request and how it ended.
type record struct {
	kind   string // kind is Ask, Crash, Order or Lookup.
	id     string // id is a word that only this question contains, or the idempotency key.
	entry  string
	want   string // want is the right text of an answer, empty where it isn't known.
	answer caller.Response
}

// departure is the time in which the list showed a target as leaving.
type departure struct {
	target   string
	from, to time.Time
}

// stop is the planned stop or the kill of an entry instance.
type stop struct {
	at      time.Time
	planned bool
}

// facts are what a run observed. The oracle judges them after the run.
type facts struct {
	records    []record
	executions []engine.Execution
	executed   map[string]int         // executed counts the executions of each idempotency key.
	arrivals   map[string][]time.Time // arrivals are those at each service worker.
	departures []departure
	listFaults []departure // listFaults are the times in which the list was late or down.
	stops      map[string]stop
	versions   []versionFact
}

// judge counts the violations of every promise.
func (r *Report) judge(f facts) {
	r.judgeLayers(f)
	r.judgeAnswers(f)
	r.judgeRefusals(f)
	r.judgeOnce(f)
	r.judgeLeaving(f)
	r.judgeVersions(f)
}

type generationKey struct {
	request    string
	generation uint32
	layer      int
}

type span struct{ first, end int }

// judgeLayers checks that no layer ran twice or out of order for a position of one generation (P1).
func (r *Report) judgeLayers(f facts) {
	spans := map[generationKey][]span{}
	for _, e := range f.executions {
		for l := e.Layers.First; l < e.Layers.End; l++ {
			key := generationKey{e.Request, e.Generation, l}
			spans[key] = append(spans[key], span{e.Position, e.Position + e.Count})
		}
	}
	for key, run := range spans {
		slices.SortFunc(run, func(a, b span) int { return cmp.Compare(a.first, b.first) })
		for i := 1; i < len(run); i++ {
			if run[i].first != run[i-1].end {
				r.add("P1", "request %s generation %d layer %d ran positions %v", key.request, key.generation, key.layer, run)
				break
			}
		}
	}
}

// judgeAnswers checks complete answers against the right ones, and that no stream just stopped (P1, P2, P6).
func (r *Report) judgeAnswers(f facts) {
	others := map[string]string{}
	for _, rec := range f.records {
		if rec.want != "" {
			others[rec.want] = rec.id
		}
	}
	for _, rec := range f.records {
		if rec.answer.Truncated {
			r.Requests[rec.kind+".Broken"]++
			r.judgeBroken(rec, f.stops[rec.entry])
			continue
		}
		r.Requests[rec.kind+"."+string(rec.answer.Outcome)]++
		if rec.answer.Code != "" {
			r.Codes[rec.kind+"."+rec.answer.Code]++
		}
		if rec.want != "" && !rec.right() {
			r.add(rec.promiseOfWrongText(others), "%s at %s answered %q and not %q", rec.id, rec.entry, rec.answer.Text, rec.want)
		}
	}
}

// right reports whether the text is right and whole, or its right start where the answer says that it isn't whole.
func (rec record) right() bool {
	if rec.answer.Outcome == outcome.Done {
		return rec.answer.Text == rec.want
	}
	return strings.HasPrefix(rec.want, rec.answer.Text)
}

func (rec record) promiseOfWrongText(others map[string]string) string {
	text := rec.answer.Text
	if _, ofOther := others[text]; ofOther || strings.HasPrefix(rec.want, text) {
		return "P2"
	}
	return "P1"
}

// judgeBroken judges an answer without an end. Only callers of a killed instance may see one, and
// connections refused after a planned stop carried no request.
func (r *Report) judgeBroken(rec record, s stop) {
	a := rec.answer
	switch {
	case s.at.IsZero() && a.Outcome != outcome.NotRun:
		r.add("P2", "%s at %s, status %d: %v", rec.id, rec.entry, a.Status, a.Err)
	case s.planned && (a.Status != 0 || a.Started.Before(s.at)):
		r.add("P6", "%s at %s was cut off by a planned stop, status %d: %v", rec.id, rec.entry, a.Status, a.Err)
	}
}

// judgeRefusals checks that nothing ran that was only ever refused as not run (P3).
func (r *Report) judgeRefusals(f facts) {
	ran := map[string]bool{}
	for _, e := range f.executions {
		for word := range strings.FieldsSeq(e.Prompt) {
			ran[word] = true
		}
	}
	for key := range f.executed {
		ran[key] = true
	}
	claimed := map[string]bool{}
	for _, rec := range f.records {
		refused := rec.answer.Outcome == outcome.NotRun
		claimed[rec.id] = refused && (claimed[rec.id] || !contains(claimed, rec.id))
	}
	for id, notRun := range claimed {
		if notRun && ran[id] {
			r.add("P3", "%s ran and was refused as NotRun", id)
		}
	}
}

func contains(m map[string]bool, key string) bool {
	_, ok := m[key]
	return ok
}

// judgeOnce checks that no key was executed twice, and that all complete answers to one key agree (P4).
func (r *Report) judgeOnce(f facts) {
	for key, n := range f.executed {
		if n > 1 {
			r.add("P4", "%s was executed %d times", key, n)
		}
	}
	first := map[string]string{}
	for _, rec := range f.records {
		if rec.kind != "Order" || rec.answer.Outcome != outcome.Done {
			continue
		}
		if text, ok := first[rec.id]; ok && text != rec.answer.Text {
			r.add("P4", "%s was answered %q and %q", rec.id, text, rec.answer.Text)
		}
		first[rec.id] = rec.answer.Text
	}
}

// pollInterval is the time between two looks of an instance at the list. A fault of the list that
// begins within it may hide a departure.
const pollInterval = time.Second + clockSlack

// shownFrom returns from when on every instance could see a departure in the list.
func (f facts) shownFrom(from time.Time) time.Time {
	shown := from
	for _, hidden := range f.listFaults {
		if hidden.from.Before(shown.Add(pollInterval)) && hidden.to.After(shown) {
			shown = hidden.to
		}
	}
	return shown
}

// judgeLeaving checks that targets got no new work once they were listed as leaving (P5).
func (r *Report) judgeLeaving(f facts) {
	for _, d := range f.departures {
		d.from = f.shownFrom(d.from)
		late := func(at time.Time) bool {
			return at.After(d.from.Add(leavingLimit+clockSlack)) && at.Before(d.to)
		}
		for _, e := range f.executions {
			if e.Target == d.target && e.Position == 0 && late(e.At) {
				r.add("P5", "%s got %s %v after it was listed as leaving", d.target, e.Request, e.At.Sub(d.from))
			}
		}
		for _, at := range f.arrivals[d.target] {
			if late(at) {
				r.add("P5", "%s got a request %v after it was listed as leaving", d.target, at.Sub(d.from))
			}
		}
	}
}
