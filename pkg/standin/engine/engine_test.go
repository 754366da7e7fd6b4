package engine

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	testModel  = "darning"
	testLayers = 6
)

func start(c *qt.C, first, end int, opts ...Option) *Server {
	opts = append([]Option{WithModel(testModel, testLayers, layer.Range{First: first, End: end})}, opts...)
	s, err := New(opts...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

func post(s *Server, path string, m proto.Message) (*http.Response, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: 2 * time.Second}
	return client.Post("http://"+s.Addr().String()+path, "application/x-protobuf", bytes.NewReader(body))
}

func send(s *Server, step *enginepb.Step) (*enginepb.StepResult, error) {
	response, err := post(s, "/v1/steps", &enginepb.StepBatch{Steps: []*enginepb.Step{step}})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	result := &enginepb.StepResult{}
	return result, protodelim.UnmarshalFrom(bufio.NewReader(response.Body), result)
}

func prefill(request string, end int, prompt string) *enginepb.Step {
	return &enginepb.Step{Request: request, Generation: 1, EndLayer: uint32(end), Prompt: prompt, Model: testModel}
}

// run runs a step on the stages in order and returns the last result.
func run(c *qt.C, stages []*Server, step *enginepb.Step) *enginepb.StepResult {
	var result *enginepb.StepResult
	for _, s := range stages {
		next := proto.Clone(step).(*enginepb.Step)
		next.FirstLayer, next.EndLayer = uint32(s.options.layers.First), uint32(s.options.layers.End)
		if result != nil {
			next.Prompt, next.Tokens, next.Activations, next.Count = "", nil, result.Activations, result.Count
		}
		var err error
		result, err = send(s, next)
		c.Assert(err, qt.IsNil)
		c.Assert(result.Status, qt.Equals, enginepb.StepStatus_STEP_STATUS_OK, qt.Commentf("%s", result.Message))
	}
	return result
}

// Guards against an ExpectedOutput that differs from what the engines compute in stages.
func TestStagesComputeExpectedOutput(t *testing.T) {
	c := qt.New(t)
	stages := []*Server{start(c, 0, 2), start(c, 2, 3), start(c, 3, 6)}
	prompt := "how is a heel darned"
	result := run(c, stages, prefill("r", 2, prompt))
	texts := []string{result.Text}
	for len(texts) < 4 {
		step := &enginepb.Step{
			Request: "r", Generation: 1, Model: testModel, Count: 1,
			Position: result.Position + result.Count, Tokens: []uint32{result.Token},
		}
		result = run(c, stages, step)
		texts = append(texts, result.Text)
	}
	c.Assert(texts, qt.DeepEquals, ExpectedOutput(testModel, testLayers, prompt, 4))
	c.Assert(stages[1].Executions(), qt.HasLen, 4)
}

// Guards against a token that stays correct although a layer was skipped, repeated or swapped.
func TestWrongLayersChangeToken(t *testing.T) {
	right := ExpectedOutput(testModel, testLayers, "a b c", 1)[0]
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {0, 1, 1, 2, 3, 4, 5}, {1, 0, 2, 3, 4, 5}, {0, 1, 2, 3, 5, 4}} {
		a := embed(testModel, Tokenise("a b c"))
		for _, l := range order {
			a = runLayers(make([]uint64, 1), l, a)
		}
		token, _ := sample(testModel, a[len(a)-1])
		qt.Check(t, TokenText(token), qt.Not(qt.Equals), right, qt.Commentf("order %v", order))
	}
}

// Guards against steps that run on a KV cache that doesn't end at their position, and
// against refused steps that ran nevertheless.
func TestRefusalsRunNothing(t *testing.T) {
	tests := []struct {
		name   string
		step   *enginepb.Step
		leave  bool
		status enginepb.StepStatus
	}{
		{"no KV cache", &enginepb.Step{Request: "n", Position: 5, EndLayer: 6, Tokens: []uint32{1}, Model: testModel}, false, enginepb.StepStatus_STEP_STATUS_MISSING_KV},
		{"layers not held", &enginepb.Step{Request: "n", FirstLayer: 4, EndLayer: 7, Model: testModel}, false, enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS},
		{"repeated prefill", prefill("twice", 6, "a b"), false, enginepb.StepStatus_STEP_STATUS_MISSING_KV},
		{"leaving", prefill("n", 6, "a b"), true, enginepb.StepStatus_STEP_STATUS_LEAVING},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := start(c, 0, 6)
			_, err := send(s, prefill("twice", 6, "a b"))
			c.Assert(err, qt.IsNil)
			if tt.leave {
				s.Leave()
			}
			result, err := send(s, tt.step)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Status, qt.Equals, tt.status)
			c.Assert(s.Executions(), qt.HasLen, 1)
		})
	}
}

// Guards against faults under which the engine still sends a result.
func TestFaultsLoseResults(t *testing.T) {
	faults := []struct {
		name string
		set  func(*Server)
		ran  int
	}{
		{"killed", func(s *Server) { s.Kill() }, 0},
		{"frozen", func(s *Server) { s.Freeze(true) }, 0},
		{"response lost", func(s *Server) { s.LoseAnswers(1) }, 1},
	}
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := start(c, 0, 6)
			tt.set(s)
			_, err := send(s, prefill("r", 6, "a"))
			c.Assert(err, qt.IsNotNil)
			c.Assert(s.Executions(), qt.HasLen, tt.ran)
		})
	}
}

// Guards against a crash marker that doesn't crash the engine, and an engine that keeps its memory across a
// restart.
func TestCrashMarker(t *testing.T) {
	c := qt.New(t)
	s := start(c, 0, 6)
	_, err := send(s, prefill("bad", 6, "please "+CrashMarker))
	c.Assert(err, qt.IsNotNil)
	c.Assert(s.Alive(), qt.IsFalse)
	c.Assert(s.Restart(), qt.IsNil)
	result, err := send(s, prefill("good", 6, "please"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Status, qt.Equals, enginepb.StepStatus_STEP_STATUS_OK)
}

// Guards against assignments of a former lease holder, and against refusals by engines that don't check the
// fencing token.
func TestFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		c := qt.New(t)
		s := start(c, 0, 6, WithFenceCheck(checks))
		c.Assert(s.assign(&enginepb.Assignment{Fence: 7, Model: testModel, Version: "1", EndLayer: 3}).Accepted, qt.IsTrue)
		old := s.assign(&enginepb.Assignment{Fence: 6, Model: testModel, Version: "1", EndLayer: 6})
		c.Assert(old.Accepted, qt.Equals, !checks)
		c.Assert(s.report(time.Now()).Fence, qt.Equals, uint64(7))
	}
}

// Guards against a prefix cache that exceeds its limit, and against events without lag or loss.
func TestPrefixCache(t *testing.T) {
	c := qt.New(t)
	o := defaults()
	o.maxPrefixes, o.eventLossInterval = 2, 2
	cache := newPrefixCache(o)
	long := strings.Repeat("word ", 20)
	cache.store(prefill("r", 6, long))
	c.Assert(cache.lookup(prefill("r", 6, long)), qt.Equals, 20)
	c.Assert(cache.eventsSince(0, time.Now()).Events, qt.HasLen, 0)
	cache.store(prefill("r", 6, "other"))
	c.Assert(cache.lookup(prefill("r", 6, "unseen")), qt.Equals, 0)
	c.Assert(cache.recency.Len(), qt.Equals, 2)
	events := cache.eventsSince(0, time.Now().Add(o.eventLag)).Events
	c.Assert(events, qt.HasLen, 2)
	c.Assert(events[1].Sequence, qt.Equals, uint64(3))
}

// Guards against a migrated stream that can't continue at its position.
func TestExportImport(t *testing.T) {
	c := qt.New(t)
	from, to := newKvStore(1), newKvStore(1)
	entry := from.entry(kvKey{"r", 1}, layer.Range{First: 2, End: 4}, true)
	runLayers(entry.states, 2, []uint64{1, 2, 3})
	entry.positions = 3
	cache := from.export(kvKey{"r", 1})
	cache.Generation = 2
	c.Assert(to.importCache(cache), qt.IsTrue)
	moved := to.entry(kvKey{"r", 2}, layer.Range{First: 2, End: 4}, false)
	c.Assert(moved.states, qt.DeepEquals, entry.states)
	c.Assert(moved.positions, qt.Equals, 3)
}
