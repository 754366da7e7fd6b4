package caller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
)

func question(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "guide",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

// answerTo returns the only right texts.
func answerTo(text string, tokens int) []string {
	prompt := caller.Prompt([]caller.Message{{Role: "system", Text: "be brief"}, {Role: "user", Text: text}})
	return engine.ExpectedOutput(modelName, modelLayers, prompt, tokens)
}

// TestOpenAIClient guards against any departure from the protocol that a published client notices.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	api := s.openai()
	for i := range 4 {
		text := fmt.Sprint("how do I darn a heel in colour ", i)
		want := answerTo(text, 40)
		whole, err := api.Chat.Completions.New(t.Context(), question(text, 40))
		c.Assert(err, qt.IsNil)
		c.Assert(whole.Choices, qt.HasLen, 1)
		c.Assert(whole.Choices[0].Message.Content, qt.Equals, strings.Join(want, ""))
		c.Assert(whole.Choices[0].FinishReason, qt.Equals, finish(len(want), 40))
		c.Assert(whole.Usage.CompletionTokens, qt.Equals, int64(len(want)))
		c.Assert(whole.Usage.TotalTokens, qt.Equals, whole.Usage.PromptTokens+whole.Usage.CompletionTokens)

		params := question(text, 40)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		events := api.Chat.Completions.NewStreaming(t.Context(), params)
		var collected openai.ChatCompletionAccumulator
		for events.Next() {
			c.Assert(collected.AddChunk(events.Current()), qt.IsTrue)
		}
		c.Assert(events.Err(), qt.IsNil)
		c.Assert(collected.Choices[0].Message.Content, qt.Equals, strings.Join(want, ""))
		c.Assert(collected.Choices[0].FinishReason, qt.Equals, finish(len(want), 40))
		c.Assert(collected.Usage.TotalTokens, qt.Equals, whole.Usage.TotalTokens)
		c.Assert(collected.Usage.CompletionTokens, qt.Equals, whole.Usage.CompletionTokens)
	}
	list, err := api.Models.List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Data[0].ID, qt.Equals, "guide")
	one, err := api.Models.Get(t.Context(), "guide")
	c.Assert(err, qt.IsNil)
	c.Assert(one.OwnedBy, qt.Equals, "north")
}

func finish(tokens, limit int) string {
	if tokens < limit {
		return "stop"
	}
	return "length"
}

// TestStop guards against text at or after a stop sequence, also one that spans tokens, and against
// text lost before it.
func TestStop(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	text := "what does a long answer look like"
	whole := strings.Join(answerTo(text, 20), "")
	c.Assert(len(whole) > 30, qt.IsTrue)
	sequence := whole[12:19]
	api := s.openai()
	params := question(text, 20)
	params.Stop.OfStringArray = []string{"never", sequence}
	events := api.Chat.Completions.NewStreaming(t.Context(), params)
	var got, reason string
	for events.Next() {
		choice := events.Current().Choices[0]
		got += choice.Delta.Content
		reason += choice.FinishReason
	}
	c.Assert(events.Err(), qt.IsNil)
	c.Assert(got, qt.Equals, whole[:strings.Index(whole, sequence)])
	c.Assert(reason, qt.Equals, "stop")
}

// TestConcurrentCallers guards against an answer that reaches another caller while an engine dies, and
// against tickets that are never given back.
func TestConcurrentCallers(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	api := s.openai()
	var callers sync.WaitGroup
	time.AfterFunc(50*time.Millisecond, s.engines[0].Kill)
	time.AfterFunc(90*time.Millisecond, s.engines[2].Kill)
	for i := range 200 {
		callers.Go(func() {
			text := fmt.Sprint("question ", i)
			events := api.Chat.Completions.NewStreaming(t.Context(), question(text, 15))
			var got strings.Builder
			for events.Next() {
				got.WriteString(events.Current().Choices[0].Delta.Content)
			}
			c.Check(events.Err(), qt.IsNil)
			c.Check(got.String(), qt.Equals, strings.Join(answerTo(text, 15), ""))
		})
	}
	callers.Wait()
	// A caller reads the end of its answer before the server has left the request.
	s.drain.Drain()
	bounded, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.drain.Wait(bounded), qt.IsNil)
	c.Assert(s.drain.Running(), qt.Equals, 0)
	c.Assert(s.gate.inside, qt.Equals, 0)
}

// TestFailedStream guards against a stream that ends in silence when its answer cannot be continued.
func TestFailedStream(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	var text string
	for i := 0; len(answerTo(text, 20)) < 20; i++ {
		text = fmt.Sprint("a long answer ", i)
	}
	api := s.openai()
	events := api.Chat.Completions.NewStreaming(ctx, question(text, 20))
	for n := 0; events.Next(); n++ {
		if n == 3 {
			for _, e := range s.engines {
				e.Kill()
			}
		}
	}
	c.Assert(events.Err(), qt.ErrorMatches, `(?s).*"Outcome":"Failed".*`)
}

// TestDisconnect guards against engines that go on for a caller who has left.
func TestDisconnect(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	params := question("x", 4000)
	var text string
	for i := 0; len(answerTo(text, 60)) < 60; i++ {
		text = fmt.Sprint("a long answer ", i)
	}
	params.Messages[1] = openai.UserMessage(text)
	api := s.openai()
	events := api.Chat.Completions.NewStreaming(ctx, params)
	for range 4 {
		c.Assert(events.Next(), qt.IsTrue)
	}
	cancel()
	s.drain.Drain()
	bounded, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	c.Assert(s.drain.Wait(bounded), qt.IsNil)
	time.Sleep(50 * time.Millisecond) // The one step that was in flight may still run.
	executed := len(s.engines[0].Executions())
	time.Sleep(50 * time.Millisecond)
	c.Assert(len(s.engines[0].Executions()), qt.Equals, executed)
	c.Assert(executed < 60, qt.IsTrue)
}
