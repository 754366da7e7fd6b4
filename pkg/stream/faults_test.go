package stream_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// The fixed seed makes failures reproducible. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// The faults that are injected into one step.
const (
	noFault     = "none"
	notSent     = "not sent"
	lostRequest = "lost request"
	lostResult  = "lost result"
	lostKVCache = "lost KV cache"
	overloaded  = "overloaded"
	leaving     = "leaving"
	wrongResult = "result of another step"
)

var faultNames = []string{noFault, noFault, noFault, notSent, lostRequest, lostResult, lostKVCache, overloaded, leaving, wrongResult}

// fakeModel is an in-memory model. Each of its tokens depends on every token before it and on the layers that each of
// them passed through.
type fakeModel struct {
	mu                sync.Mutex
	faults            []string
	kvPositions       map[string][]string // kvPositions maps a target and a generation to the positions in its KV cache.
	executed          int
	completed         int
	latestGeneration  uint32
	reusedGenerations int
}

type fakeStage struct {
	*fakeModel
	name string
}

func (fakeStage) Cancel(context.Context, string, uint32) error { return nil }

func (fakeStage) Report(context.Context) (*enginepb.Report, error) { return &enginepb.Report{}, nil }

type notRunError struct{}

func (notRunError) Error() string        { return "connection refused" }
func (notRunError) Ran() outcome.Outcome { return outcome.NotRun }

func (s fakeStage) Step(_ context.Context, step *enginepb.Step) (*enginepb.StepResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := noFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	key := fmt.Sprint(s.name, step.Generation)
	s.recordGeneration(step)
	switch fault {
	case notSent:
		return nil, notRunError{}
	case lostRequest:
		return nil, errors.New("connection reset")
	case lostKVCache:
		delete(s.kvPositions, key)
	case overloaded:
		return status(step, enginepb.StepStatus_STEP_STATUS_OVERLOADED), nil
	case leaving:
		if step.Position == 0 {
			return status(step, enginepb.StepStatus_STEP_STATUS_LEAVING), nil
		}
	}
	if len(s.kvPositions[key]) != int(step.Position) {
		return status(step, enginepb.StepStatus_STEP_STATUS_MISSING_KV), nil
	}
	result := s.execute(key, step)
	switch fault {
	case lostResult:
		return nil, errors.New("connection reset")
	case wrongResult:
		return resultOfOtherStep(result), nil
	}
	s.completed++
	return result, nil
}

// recordGeneration counts prefills that reuse the number of an earlier generation.
func (m *fakeModel) recordGeneration(step *enginepb.Step) {
	if step.Position > 0 || step.FirstLayer > 0 {
		return
	}
	if step.Generation <= m.latestGeneration {
		m.reusedGenerations++
	}
	m.latestGeneration = step.Generation
}

func (s fakeStage) execute(key string, step *enginepb.Step) *enginepb.StepResult {
	s.executed++
	inputs := strings.Fields(step.Prompt)
	for _, token := range step.Tokens {
		inputs = append(inputs, fmt.Sprint("t", token))
	}
	if step.FirstLayer > 0 {
		inputs = strings.Fields(string(step.Activations))
	}
	for i := range inputs {
		inputs[i] += fmt.Sprintf("/%d-%d", step.FirstLayer, step.EndLayer)
	}
	s.kvPositions[key] = append(s.kvPositions[key], inputs...)
	result := status(step, enginepb.StepStatus_STEP_STATUS_OK)
	result.Count = uint32(len(inputs))
	result.Activations = []byte(strings.Join(inputs, " "))
	result.Token = uint32(xxhash.Sum64String(strings.Join(s.kvPositions[key], " ")) % 1000)
	result.Text = fmt.Sprint("t", result.Token)
	return result
}

// resultOfOtherStep changes a result into the result of a step of another generation.
func resultOfOtherStep(r *enginepb.StepResult) *enginepb.StepResult {
	r.Generation++
	r.Token++
	r.Text = "wrong"
	r.Activations = append(r.Activations, "-wrong"...)
	return r
}

func status(s *enginepb.Step, is enginepb.StepStatus) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: s.Request, Generation: s.Generation, Position: s.Position, Count: s.Count,
		FirstLayer: s.FirstLayer, EndLayer: s.EndLayer, Status: is,
	}
}

const fakePrompt = "how long does oak burn"

func fakeTargets() [][]target.Target {
	var groups [][]target.Target
	for first := 0; first < layers; first += 3 {
		var group []target.Target
		for i := range 3 {
			group = append(group, target.Target{
				Name: fmt.Sprintf("w%d-%d", first, i), State: target.Live, Layers: layer.Range{First: first, End: first + 3},
			})
		}
		groups = append(groups, group)
	}
	return groups
}

func runWithFaults(faults []string, tokens int) (*fakeModel, []string, error) {
	m := &fakeModel{faults: faults, kvPositions: map[string][]string{}}
	stage := func(t target.Target) stream.Stage { return fakeStage{fakeModel: m, name: t.Name} }
	runner := stream.NewRunner(newRouter(fakeTargets()), stage, stream.WithLogger(quiet),
		stream.WithBackoff(func(int) time.Duration { return 0 }))
	k := &collector{}
	_, err := runner.Run(context.Background(), request("r", fakePrompt, tokens), k.emit)
	runner.Close()
	return m, k.texts, err
}

// TestRandomFaults guards against a token that is duplicated, missing or computed from a wrong KV cache after any
// sequence of faults, and against a false outcome.
func TestRandomFaults(t *testing.T) {
	const tokens = 12
	_, want, err := runWithFaults(nil, tokens)
	if err != nil || len(want) != tokens {
		t.Fatalf("%d tokens without faults: %v", len(want), err)
	}
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom(faultNames), 0, 40).Draw(t, "faults")
		m, got, err := runWithFaults(slices.Clone(faults), tokens)
		if !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if m.reusedGenerations > 0 {
			t.Fatalf("%d prefills reused the number of an earlier generation", m.reusedGenerations)
		}
		if err == nil && len(got) != tokens {
			t.Fatalf("the response ended after %d tokens without an error", len(got))
		}
		if err == nil {
			return
		}
		if few := len(faults) - count(faults, noFault); few < 3 {
			t.Fatalf("%d faults ended the response: %v", few, err)
		}
		checkOutcome(t, refusal.OutcomeOf(err), m)
	})
}

func checkOutcome(t *rapid.T, is outcome.Outcome, m *fakeModel) {
	switch is {
	case outcome.NotRun:
		if m.executed > 0 {
			t.Fatalf("NotRun after %d executed steps", m.executed)
		}
	case outcome.Failed:
		if m.executed == 0 {
			t.Fatalf("Failed although nothing was executed")
		}
	case outcome.Unknown:
		if m.completed > 0 {
			t.Fatalf("Unknown after %d completed steps", m.completed)
		}
	default:
		t.Fatalf("the outcome is %q", is)
	}
}

func count(all []string, one string) int {
	return len(all) - len(slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == one }))
}
