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

func ran(position, count, first, end int) engine.Execution {
	return engine.Execution{Target: "w1", Request: "r", Generation: 1, Position: position, Count: count, Layers: layer.Range{First: first, End: end}, At: at(1)}
}

func asked(want, text string, o outcome.Outcome) record {
	return record{kind: "Ask", id: "q-1", entry: "e1", want: want, answer: caller.Response{Started: at(1), Text: text, Outcome: o, Status: 200}}
}

func ordered(id, text string, o outcome.Outcome) record {
	return record{kind: "Order", id: id, entry: "e1", answer: caller.Response{Started: at(1), Text: text, Outcome: o}}
}

func broken() record {
	r := asked("a b ", "a ", outcome.Unknown)
	r.answer.Truncated = true
	return r
}

// Guards against an oracle that lets a violation pass, and one that finds violations in a sound run.
func TestJudge(t *testing.T) {
	tests := []struct {
		name    string
		facts   facts
		promise string
	}{
		{"sound", facts{
			executions: []engine.Execution{ran(0, 3, 0, 2), ran(0, 3, 2, 4), ran(3, 1, 0, 2), ran(3, 1, 2, 4)},
			records:    []record{asked("a b ", "a b ", outcome.Done), asked("a b ", "a ", outcome.Failed), ordered("k", "", outcome.NotRun), ordered("k", "x", outcome.Done)},
			executed:   map[string]int{"k": 1},
			departures: []departure{{"w1", at(0), at(10)}},
			versions:   []versionFact{{at(0), "e1", 1, ""}, {at(1), "", 2, "c"}, {at(6), "e1", 2, ""}},
		}, ""},
		{"layer repeated", facts{executions: []engine.Execution{ran(0, 3, 0, 2), ran(2, 1, 0, 2)}}, "P1"},
		{"position skipped", facts{executions: []engine.Execution{ran(0, 3, 0, 2), ran(4, 1, 0, 2)}}, "P1"},
		{"wrong token", facts{records: []record{asked("a b ", "a c ", outcome.Done)}}, "P1"},
		{"answer too short", facts{records: []record{asked("a b ", "a ", outcome.Done)}}, "P2"},
		{"answer of another", facts{records: []record{asked("a ", "b ", outcome.Done), asked("b ", "b ", outcome.Done)}}, "P2"},
		{"silent end", facts{records: []record{broken()}}, "P2"},
		{"ran and refused", facts{records: []record{ordered("k", "", outcome.NotRun)}, executed: map[string]int{"k": 1}}, "P3"},
		{"question ran and refused", facts{
			records:    []record{asked("a ", "", outcome.NotRun)},
			executions: []engine.Execution{{Prompt: "user: q-1", Count: 1}},
		}, "P3"},
		{"order twice", facts{executed: map[string]int{"k": 2}}, "P4"},
		{"two answers to one order", facts{records: []record{ordered("k", "x", outcome.Done), ordered("k", "y", outcome.Done)}}, "P4"},
		{"work after leaving", facts{
			executions: []engine.Execution{{Target: "w1", Count: 1, At: at(4)}},
			departures: []departure{{"w1", at(0), at(5)}},
		}, "P5"},
		{"list late", facts{
			executions: []engine.Execution{{Target: "w1", Count: 1, At: at(4)}},
			departures: []departure{{"w1", at(0), at(5)}},
			listFaults: []departure{{"", at(0.5), at(2)}},
		}, ""},
		{"planned stop cuts off", facts{records: []record{broken()}, stops: map[string]stop{"e1": {at(2), true}}}, "P6"},
		{"killed instance", facts{records: []record{broken()}, stops: map[string]stop{"e1": {at(2), false}}}, ""},
		{"version reverts", facts{versions: []versionFact{{at(0), "e1", 2, ""}, {at(1), "e1", 1, ""}}}, "P7"},
		{"version late", facts{versions: []versionFact{{at(0), "e1", 1, ""}, {at(1), "", 2, "c"}, {at(8), "e1", 1, ""}}}, "P7"},
		{"version given twice", facts{versions: []versionFact{{at(0), "", 2, "c"}, {at(1), "", 2, "d"}}}, "P7"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReport(Options{})
			r.judge(tt.facts)
			for promise, n := range r.Violations {
				qt.Check(t, n > 0, qt.Equals, promise == tt.promise, qt.Commentf("%s: %v", promise, r.Findings))
			}
		})
	}
}

// Guards against a seed that doesn't repeat its faults, and a kind that is never drawn.
func TestScheduleIsSeeded(t *testing.T) {
	draw := func() []fault { return schedule(rand.New(rand.NewPCG(5, 2)), 10*time.Minute) }
	faults := draw()
	qt.Assert(t, slices.Equal(draw(), faults), qt.IsTrue)
	kinds := map[FaultKind]bool{}
	for _, f := range faults {
		kinds[f.kind] = true
	}
	qt.Assert(t, kinds, qt.HasLen, len(weights))
}
