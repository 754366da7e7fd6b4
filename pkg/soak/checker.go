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
	// leavingLimit is the time after which a leaving target receives no new requests (P5).
	leavingLimit = 3 * time.Second
	// propagationLimit is the time within which an accepted configuration is active on every instance (P7).
	propagationLimit = 6 * time.Second
	// clockTolerance covers the time between a decision and the timestamp of its effect on a busy machine.
	clockTolerance = 300 * time.Millisecond
)

// record is a request and its response.
type record struct {
	kind     string // kind is Ask, Crash, Order or Lookup.
	id       string // id is a word that occurs only in this prompt, or the idempotency key.
	instance string
	expected string // expected is the correct response text; empty if it isn't known.
	response caller.Response
}

// interval is the time during which the instance list showed a target as leaving, or was faulty (without a target).
type interval struct {
	target   string
	from, to time.Time
}

// stop is the planned stop or the kill of an instance.
type stop struct {
	at      time.Time
	planned bool
}

// observations is the data that a run collected. Report.check evaluates it after the run.
type observations struct {
	records          []record
	executions       []engine.Execution
	executed         map[string]int         // executed is the number of executions per idempotency key.
	arrivals         map[string][]time.Time // arrivals holds the arrival times of requests per service target.
	leavingIntervals []interval
	listFaults       []interval // listFaults holds the times during which the list was delayed or unavailable.
	stops            map[string]stop
	versions         []versionObservation
}

// check counts the violations of each promise.
func (r *Report) check(f observations) {
	r.checkLayers(f)
	r.checkResponses(f)
	r.checkRefusals(f)
	r.checkIdempotency(f)
	r.checkLeaving(f)
	r.checkVersions(f)
}

type generationKey struct {
	request    string
	generation uint32
	layer      int
}

type span struct{ first, end int }

// checkLayers checks that within a generation no layer processed a position twice or out of order (P1).
func (r *Report) checkLayers(f observations) {
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
				r.addViolation("P1", "request %s generation %d layer %d ran positions %v", key.request, key.generation, key.layer, run)
				break
			}
		}
	}
}

// checkResponses compares response texts with the expected ones, and checks that no stream was truncated (P1, P2, P6).
func (r *Report) checkResponses(f observations) {
	expectedTexts := map[string]string{}
	for _, rec := range f.records {
		if rec.expected != "" {
			expectedTexts[rec.expected] = rec.id
		}
	}
	for _, rec := range f.records {
		if rec.response.Truncated {
			r.Requests[rec.kind+".Broken"]++
			r.checkTruncated(rec, f.stops[rec.instance])
			continue
		}
		r.Requests[rec.kind+"."+string(rec.response.Outcome)]++
		if rec.response.Code != "" {
			r.Codes[rec.kind+"."+rec.response.Code]++
		}
		if rec.expected != "" && !rec.hasExpectedText() {
			r.addViolation(rec.violatedPromise(expectedTexts), "%s at %s returned %q, expected %q", rec.id, rec.instance, rec.response.Text, rec.expected)
		}
	}
}

// hasExpectedText reports whether the text is the expected one, or a prefix of it if the response states that it is
// incomplete.
func (rec record) hasExpectedText() bool {
	if rec.response.Outcome == outcome.Done {
		return rec.response.Text == rec.expected
	}
	return strings.HasPrefix(rec.expected, rec.response.Text)
}

// violatedPromise returns P2 if the wrong text belongs to another request or is a prefix of the expected text, and P1
// otherwise.
func (rec record) violatedPromise(expectedTexts map[string]string) string {
	text := rec.response.Text
	if _, belongsToOther := expectedTexts[text]; belongsToOther || strings.HasPrefix(rec.expected, text) {
		return "P2"
	}
	return "P1"
}

// checkTruncated checks a response that ended without a final event or an error. Only clients of a killed instance may
// receive one. Connections refused after a planned stop carried no request.
func (r *Report) checkTruncated(rec record, s stop) {
	response := rec.response
	switch {
	case s.at.IsZero() && response.Outcome != outcome.NotRun:
		r.addViolation("P2", "%s at %s, status %d: %v", rec.id, rec.instance, response.Status, response.Err)
	case s.planned && (response.Status != 0 || response.Started.Before(s.at)):
		r.addViolation("P6", "%s at %s was truncated by a planned stop, status %d: %v", rec.id, rec.instance, response.Status, response.Err)
	}
}

// checkRefusals checks that no request was executed whose responses were all NotRun (P3).
func (r *Report) checkRefusals(f observations) {
	executed := map[string]bool{}
	for _, e := range f.executions {
		for word := range strings.FieldsSeq(e.Prompt) {
			executed[word] = true
		}
	}
	for key := range f.executed {
		executed[key] = true
	}
	refusedOnly := map[string]bool{}
	for _, rec := range f.records {
		refused := rec.response.Outcome == outcome.NotRun
		refusedOnly[rec.id] = refused && (refusedOnly[rec.id] || !contains(refusedOnly, rec.id))
	}
	for id, notRun := range refusedOnly {
		if notRun && executed[id] {
			r.addViolation("P3", "%s was executed although it was refused as NotRun", id)
		}
	}
}

func contains(set map[string]bool, key string) bool {
	_, ok := set[key]
	return ok
}

// checkIdempotency checks that no idempotency key was executed twice, and that all complete responses for a key are
// equal (P4).
func (r *Report) checkIdempotency(f observations) {
	for key, n := range f.executed {
		if n > 1 {
			r.addViolation("P4", "%s was executed %d times", key, n)
		}
	}
	first := map[string]string{}
	for _, rec := range f.records {
		if rec.kind != "Order" || rec.response.Outcome != outcome.Done {
			continue
		}
		if text, ok := first[rec.id]; ok && text != rec.response.Text {
			r.addViolation("P4", "%s received two different responses: %q and %q", rec.id, text, rec.response.Text)
		}
		first[rec.id] = rec.response.Text
	}
}

// pollInterval is the interval at which an instance polls the list. A list fault that begins within it may hide a
// target's leaving state.
const pollInterval = time.Second + clockTolerance

// visibleFrom returns the time from which every instance could see in the list that a target is leaving.
func (f observations) visibleFrom(from time.Time) time.Time {
	visible := from
	for _, fault := range f.listFaults {
		if fault.from.Before(visible.Add(pollInterval)) && fault.to.After(visible) {
			visible = fault.to
		}
	}
	return visible
}

// checkLeaving checks that targets received no new requests once they were listed as leaving (P5).
func (r *Report) checkLeaving(f observations) {
	for _, leaving := range f.leavingIntervals {
		leaving.from = f.visibleFrom(leaving.from)
		isLate := func(at time.Time) bool {
			return at.After(leaving.from.Add(leavingLimit+clockTolerance)) && at.Before(leaving.to)
		}
		for _, e := range f.executions {
			if e.Target == leaving.target && e.Position == 0 && isLate(e.At) {
				r.addViolation("P5", "%s received %s %v after it was listed as leaving", leaving.target, e.Request, e.At.Sub(leaving.from))
			}
		}
		for _, at := range f.arrivals[leaving.target] {
			if isLate(at) {
				r.addViolation("P5", "%s received a request %v after it was listed as leaving", leaving.target, at.Sub(leaving.from))
			}
		}
	}
}
