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

func chatParams(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "guide",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

// expectedTokens returns the texts of the only correct output tokens.
func expectedTokens(text string, tokens int) []string {
	prompt := caller.Prompt([]caller.Message{{Role: "system", Text: "be brief"}, {Role: "user", Text: text}})
	return engine.ExpectedOutput(modelName, modelLayers, prompt, tokens)
}

// TestOpenAIClient guards against deviations from the OpenAI protocol that the published client detects.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	api := s.openai()
	for i := range 4 {
		text := fmt.Sprint("how do I darn a heel in colour ", i)
		want := expectedTokens(text, 40)
		completion, err := api.Chat.Completions.New(t.Context(), chatParams(text, 40))
		c.Assert(err, qt.IsNil)
		c.Assert(completion.Choices, qt.HasLen, 1)
		c.Assert(completion.Choices[0].Message.Content, qt.Equals, strings.Join(want, ""))
		c.Assert(completion.Choices[0].FinishReason, qt.Equals, finishReason(len(want), 40))
		c.Assert(completion.Usage.CompletionTokens, qt.Equals, int64(len(want)))
		c.Assert(completion.Usage.TotalTokens, qt.Equals, completion.Usage.PromptTokens+completion.Usage.CompletionTokens)

		params := chatParams(text, 40)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		events := api.Chat.Completions.NewStreaming(t.Context(), params)
		var collected openai.ChatCompletionAccumulator
		for events.Next() {
			c.Assert(collected.AddChunk(events.Current()), qt.IsTrue)
		}
		c.Assert(events.Err(), qt.IsNil)
		c.Assert(collected.Choices[0].Message.Content, qt.Equals, strings.Join(want, ""))
		c.Assert(collected.Choices[0].FinishReason, qt.Equals, finishReason(len(want), 40))
		c.Assert(collected.Usage.TotalTokens, qt.Equals, completion.Usage.TotalTokens)
		c.Assert(collected.Usage.CompletionTokens, qt.Equals, completion.Usage.CompletionTokens)
	}
	list, err := api.Models.List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Data[0].ID, qt.Equals, "guide")
	one, err := api.Models.Get(t.Context(), "guide")
	c.Assert(err, qt.IsNil)
	c.Assert(one.OwnedBy, qt.Equals, "north")
}

func finishReason(tokens, limit int) string {
	if tokens < limit {
		return "stop"
	}
	return "length"
}

// TestStopSequence guards against sending a stop sequence or text after it, also if the sequence spans tokens, and
// against losing text before it.
func TestStopSequence(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	text := "what does a long answer look like"
	full := strings.Join(expectedTokens(text, 20), "")
	c.Assert(len(full) > 30, qt.IsTrue)
	sequence := full[12:19]
	api := s.openai()
	params := chatParams(text, 20)
	params.Stop.OfStringArray = []string{"never", sequence}
	events := api.Chat.Completions.NewStreaming(t.Context(), params)
	var got, reason string
	for events.Next() {
		choice := events.Current().Choices[0]
		got += choice.Delta.Content
		reason += choice.FinishReason
	}
	c.Assert(events.Err(), qt.IsNil)
	c.Assert(got, qt.Equals, full[:strings.Index(full, sequence)])
	c.Assert(reason, qt.Equals, "stop")
}

// TestConcurrentClients guards against a response that reaches the wrong client while engines crash, and against
// admissions that are never released.
func TestConcurrentClients(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	api := s.openai()
	var clients sync.WaitGroup
	time.AfterFunc(50*time.Millisecond, s.engines[0].Kill)
	time.AfterFunc(90*time.Millisecond, s.engines[2].Kill)
	for i := range 200 {
		clients.Go(func() {
			text := fmt.Sprint("question ", i)
			events := api.Chat.Completions.NewStreaming(t.Context(), chatParams(text, 15))
			var got strings.Builder
			for events.Next() {
				got.WriteString(events.Current().Choices[0].Delta.Content)
			}
			c.Check(events.Err(), qt.IsNil)
			c.Check(got.String(), qt.Equals, strings.Join(expectedTokens(text, 15), ""))
		})
	}
	clients.Wait()
	// A client may read the end of its response before the server's handler returns, so the checks wait for the drain.
	s.drain.Drain()
	bounded, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.drain.Wait(bounded), qt.IsNil)
	c.Assert(s.drain.Running(), qt.Equals, 0)
	c.Assert(s.admission.running, qt.Equals, 0)
}

// TestFailedStream guards against a stream that ends without an error event when no engine is left to continue it.
func TestFailedStream(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	var text string
	for i := 0; len(expectedTokens(text, 20)) < 20; i++ {
		text = fmt.Sprint("a long answer ", i)
	}
	api := s.openai()
	events := api.Chat.Completions.NewStreaming(ctx, chatParams(text, 20))
	for n := 0; events.Next(); n++ {
		if n == 3 {
			for _, e := range s.engines {
				e.Kill()
			}
		}
	}
	c.Assert(events.Err(), qt.ErrorMatches, `(?s).*"Outcome":"Failed".*`)
}

// TestDisconnect guards against engines that continue to generate for a client that has disconnected.
func TestDisconnect(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	params := chatParams("x", 4000)
	var text string
	for i := 0; len(expectedTokens(text, 60)) < 60; i++ {
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
	time.Sleep(50 * time.Millisecond) // The step that was in flight may still run.
	executed := len(s.engines[0].Executions())
	time.Sleep(50 * time.Millisecond)
	c.Assert(len(s.engines[0].Executions()), qt.Equals, executed)
	c.Assert(executed < 60, qt.IsTrue)
}
