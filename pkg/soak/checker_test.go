package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func execution(position, count, first, end int) engine.Execution {
	return engine.Execution{Target: "w1", Request: "r", Generation: 1, Position: position, Count: count, Layers: layer.Range{First: first, End: end}, At: at(1)}
}

func chatRecord(want, text string, o outcome.Outcome) record {
	return record{kind: "Ask", id: "q-1", instance: "e1", expected: want, response: caller.Response{Started: at(1), Text: text, Outcome: o, Status: 200}}
}

func orderRecord(id, text string, o outcome.Outcome) record {
	return record{kind: "Order", id: id, instance: "e1", response: caller.Response{Started: at(1), Text: text, Outcome: o}}
}

func truncatedRecord() record {
	r := chatRecord("a b ", "a ", outcome.Unknown)
	r.response.Truncated = true
	return r
}

// Guards against checks that miss a violation, and against checks that report violations in a correct run.
func TestCheck(t *testing.T) {
	tests := []struct {
		name     string
		observed observations
		promise  string
	}{
		{"no violation", observations{
			executions:       []engine.Execution{execution(0, 3, 0, 2), execution(0, 3, 2, 4), execution(3, 1, 0, 2), execution(3, 1, 2, 4)},
			records:          []record{chatRecord("a b ", "a b ", outcome.Done), chatRecord("a b ", "a ", outcome.Failed), orderRecord("k", "", outcome.NotRun), orderRecord("k", "x", outcome.Done)},
			executed:         map[string]int{"k": 1},
			leavingIntervals: []interval{{"w1", at(0), at(10)}},
			versions:         []versionObservation{{at(0), "e1", 1, ""}, {at(1), "", 2, "c"}, {at(6), "e1", 2, ""}},
		}, ""},
		{"layer repeated", observations{executions: []engine.Execution{execution(0, 3, 0, 2), execution(2, 1, 0, 2)}}, "P1"},
		{"position skipped", observations{executions: []engine.Execution{execution(0, 3, 0, 2), execution(4, 1, 0, 2)}}, "P1"},
		{"wrong token", observations{records: []record{chatRecord("a b ", "a c ", outcome.Done)}}, "P1"},
		{"incomplete text stated as done", observations{records: []record{chatRecord("a b ", "a ", outcome.Done)}}, "P2"},
		{"response of another request", observations{records: []record{chatRecord("a ", "b ", outcome.Done), chatRecord("b ", "b ", outcome.Done)}}, "P2"},
		{"truncated stream", observations{records: []record{truncatedRecord()}}, "P2"},
		{"executed and refused", observations{records: []record{orderRecord("k", "", outcome.NotRun)}, executed: map[string]int{"k": 1}}, "P3"},
		{"chat request executed and refused", observations{
			records:    []record{chatRecord("a ", "", outcome.NotRun)},
			executions: []engine.Execution{{Prompt: "user: q-1", Count: 1}},
		}, "P3"},
		{"order executed twice", observations{executed: map[string]int{"k": 2}}, "P4"},
		{"two responses to one order", observations{records: []record{orderRecord("k", "x", outcome.Done), orderRecord("k", "y", outcome.Done)}}, "P4"},
		{"execution on a leaving target", observations{
			executions:       []engine.Execution{{Target: "w1", Count: 1, At: at(4)}},
			leavingIntervals: []interval{{"w1", at(0), at(5)}},
		}, "P5"},
		{"list delayed", observations{
			executions:       []engine.Execution{{Target: "w1", Count: 1, At: at(4)}},
			leavingIntervals: []interval{{"w1", at(0), at(5)}},
			listFaults:       []interval{{"", at(0.5), at(2)}},
		}, ""},
		{"stream truncated by a planned stop", observations{records: []record{truncatedRecord()}, stops: map[string]stop{"e1": {at(2), true}}}, "P6"},
		{"stream truncated by a kill", observations{records: []record{truncatedRecord()}, stops: map[string]stop{"e1": {at(2), false}}}, ""},
		{"version reverts", observations{versions: []versionObservation{{at(0), "e1", 2, ""}, {at(1), "e1", 1, ""}}}, "P7"},
		{"version not active in time", observations{versions: []versionObservation{{at(0), "e1", 1, ""}, {at(1), "", 2, "c"}, {at(8), "e1", 1, ""}}}, "P7"},
		{"version assigned twice", observations{versions: []versionObservation{{at(0), "", 2, "c"}, {at(1), "", 2, "d"}}}, "P7"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReport(Options{})
			r.check(tt.observed)
			for promise, n := range r.Violations {
				qt.Check(t, n > 0, qt.Equals, promise == tt.promise, qt.Commentf("%s: %v", promise, r.Findings))
			}
		})
	}
}

// Guards against a schedule that isn't reproducible from its seed, and against a fault kind that is never drawn.
func TestScheduleIsSeeded(t *testing.T) {
	draw := func() []fault { return schedule(rand.New(rand.NewPCG(5, 2)), 10*time.Minute) }
	faults := draw()
	qt.Assert(t, slices.Equal(draw(), faults), qt.IsTrue)
	kinds := map[FaultKind]bool{}
	for _, f := range faults {
		kinds[f.kind] = true
	}
	qt.Assert(t, kinds, qt.HasLen, len(faultWeights))
}
