package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/stream"
)

// The types below are the protocol's objects.

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	Logprobs     *struct{}         `json:"logprobs"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        delta     `json:"delta"`
	Logprobs     *struct{} `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func usageOf(s stream.Summary) usage {
	return usage{
		PromptTokens: s.PromptTokens, CompletionTokens: s.CompletionTokens,
		TotalTokens: s.PromptTokens + s.CompletionTokens,
	}
}

func newSink(x *exchange, parsed *chatRequest) sink {
	if !parsed.Stream {
		return &wholeSink{exchange: x, model: parsed.Model}
	}
	includeUsage := parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage
	return &eventSink{exchange: x, model: parsed.Model, includeUsage: includeUsage}
}

// wholeSink collects the answer and sends it as one object.
type wholeSink struct {
	exchange *exchange
	model    string
	content  strings.Builder
}

func (s *wholeSink) text(text string) error {
	s.content.WriteString(text)
	return nil
}

func (s *wholeSink) end(finish string, summary stream.Summary) error {
	s.exchange.whole(http.StatusOK, completion{
		ID: completionID(s.exchange), Object: "chat.completion", Created: s.exchange.began.Unix(), Model: s.model,
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: s.content.String()}, FinishReason: finish,
		}},
		Usage: usageOf(summary),
	})
	return nil
}

func completionID(x *exchange) string {
	return "chatcmpl-" + x.id
}

// eventSink sends the answer as server-sent events. The headers go out with the first text, so that an
// earlier refusal still has its own status.
type eventSink struct {
	exchange     *exchange
	model        string
	includeUsage bool
}

func (s *eventSink) text(text string) error {
	if err := s.start(); err != nil || text == "" {
		return err
	}
	return s.send(chunkChoice{Delta: delta{Content: &text}})
}

func (s *eventSink) start() error {
	if s.exchange.started {
		return nil
	}
	s.exchange.startEvents()
	empty := ""
	return s.send(chunkChoice{Delta: delta{Role: "assistant", Content: &empty}})
}

func (s *eventSink) send(choices ...chunkChoice) error {
	return s.exchange.event(s.chunk(choices))
}

func (s *eventSink) chunk(choices []chunkChoice) chunk {
	return chunk{
		ID: completionID(s.exchange), Object: "chat.completion.chunk", Created: s.exchange.began.Unix(), Model: s.model,
		Choices: choices,
	}
}

func (s *eventSink) end(finish string, summary stream.Summary) error {
	if err := s.start(); err != nil {
		return err
	}
	if err := s.send(chunkChoice{FinishReason: &finish}); err != nil {
		return err
	}
	if s.includeUsage {
		last, counted := s.chunk([]chunkChoice{}), usageOf(summary)
		last.Usage = &counted
		if err := s.exchange.event(last); err != nil {
			return err
		}
	}
	return s.exchange.rawEvent([]byte("[DONE]"))
}

func (x *exchange) startEvents() {
	x.started = true
	header := x.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no") // Proxies in front otherwise collect the events.
	x.writer.WriteHeader(http.StatusOK)
}

func (x *exchange) event(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return x.rawEvent(encoded)
}

// rawEvent writes one event and flushes it.
func (x *exchange) rawEvent(data []byte) error {
	framed := make([]byte, 0, len(data)+8)
	framed = append(framed, "data: "...)
	framed = append(framed, data...)
	framed = append(framed, "\n\n"...)
	return x.write(framed)
}
