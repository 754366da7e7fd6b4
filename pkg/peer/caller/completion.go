package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/stream"
)

// The types below are the response objects of the chat completions protocol.

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

func newUsage(s stream.Summary) usage {
	return usage{
		PromptTokens: s.PromptTokens, CompletionTokens: s.CompletionTokens,
		TotalTokens: s.PromptTokens + s.CompletionTokens,
	}
}

func newCompletionWriter(x *exchange, parsed *chatRequest) completionWriter {
	if !parsed.Stream {
		return &jsonWriter{exchange: x, model: parsed.Model}
	}
	includeUsage := parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage
	return &eventWriter{exchange: x, model: parsed.Model, includeUsage: includeUsage}
}

// jsonWriter buffers the generated text and sends the completion as one JSON object.
type jsonWriter struct {
	exchange *exchange
	model    string
	content  strings.Builder
}

func (w *jsonWriter) writeText(text string) error {
	w.content.WriteString(text)
	return nil
}

func (w *jsonWriter) finish(reason string, summary stream.Summary) error {
	w.exchange.sendJSON(http.StatusOK, completion{
		ID: completionID(w.exchange), Object: "chat.completion", Created: w.exchange.start.Unix(), Model: w.model,
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: w.content.String()}, FinishReason: reason,
		}},
		Usage: newUsage(summary),
	})
	return nil
}

func completionID(x *exchange) string {
	return "chatcmpl-" + x.id
}

// eventWriter sends the completion as server-sent events. The headers are sent with the first text, so that a
// refusal before the first text still has its own HTTP status.
type eventWriter struct {
	exchange     *exchange
	model        string
	includeUsage bool
}

func (w *eventWriter) writeText(text string) error {
	if err := w.start(); err != nil || text == "" {
		return err
	}
	return w.send(chunkChoice{Delta: delta{Content: &text}})
}

// start sends the headers and the first event, which has the assistant role, unless headers were sent before.
func (w *eventWriter) start() error {
	if w.exchange.headersSent {
		return nil
	}
	w.exchange.startEvents()
	empty := ""
	return w.send(chunkChoice{Delta: delta{Role: "assistant", Content: &empty}})
}

func (w *eventWriter) send(choices ...chunkChoice) error {
	return w.exchange.event(w.chunk(choices))
}

func (w *eventWriter) chunk(choices []chunkChoice) chunk {
	return chunk{
		ID: completionID(w.exchange), Object: "chat.completion.chunk", Created: w.exchange.start.Unix(), Model: w.model,
		Choices: choices,
	}
}

func (w *eventWriter) finish(reason string, summary stream.Summary) error {
	if err := w.start(); err != nil {
		return err
	}
	if err := w.send(chunkChoice{FinishReason: &reason}); err != nil {
		return err
	}
	if w.includeUsage {
		last, counted := w.chunk([]chunkChoice{}), newUsage(summary)
		last.Usage = &counted
		if err := w.exchange.event(last); err != nil {
			return err
		}
	}
	return w.exchange.rawEvent([]byte("[DONE]"))
}

// startEvents sends the headers of a response with server-sent events.
func (x *exchange) startEvents() {
	x.headersSent = true
	header := x.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no") // Reverse proxies otherwise buffer the events.
	x.writer.WriteHeader(http.StatusOK)
}

// event sends value as JSON in one event.
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
