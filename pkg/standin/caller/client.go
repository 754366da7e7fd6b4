// Package caller is a stand-in for callers. It speaks the published chat-completions protocol and
// plain HTTP to services, and records when each token arrived and how the request ended.
//
// Usage:
//
//	c := caller.New()
//	a := c.Ask(ctx, caller.Question{Address: entry, Key: key, Pipeline: "guide", Prompt: p, Tokens: 16})
//	if a.Outcome == outcome.Done { use(a.Text, a.At) }
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest asks a model.
type ChatRequest struct {
	Address  netip.AddrPort
	Key      string
	Pipeline string
	Prompt   string
	History  []Message // Earlier are the messages of the conversation before the prompt.
	Tokens   int
	Timeout  time.Duration // Timeout is sent as Cuminroute-Timeout where it is not zero.
}

// ServiceRequest is a request to a service.
type ServiceRequest struct {
	Address netip.AddrPort
	Key     string
	Method  string
	Path    string // Path starts with the service's name.
	ID      string // ID is the idempotency key, empty for a lookup.
	Content string
}

// Response is how a request ended. Broken answers ended with neither an end nor an error; their
// outcome is NotRun where no connection was made, and Unknown otherwise.
type Response struct {
	Started    time.Time
	Ended      time.Time
	ChunkTimes []time.Time // At is when each piece of text arrived.
	Text       string
	Outcome    outcome.Outcome
	Status     int
	Code       string
	RetryAfter time.Duration
	Truncated  bool
	Err        error
}

// Client sends requests of many callers over shared connections.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Chat sends a question and reads the streamed answer.
func (c *Client) Chat(ctx context.Context, q ChatRequest) Response {
	body, err := json.Marshal(map[string]any{
		"model": q.Pipeline, "stream": true, "max_tokens": q.Tokens,
		"messages": append(slices.Clone(q.History), Message{Role: "user", Content: q.Prompt}),
	})
	if err != nil {
		return Response{Err: err, Truncated: true, Outcome: outcome.NotRun}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if q.Timeout > 0 {
		header.Set("Cuminroute-Timeout", q.Timeout.String())
	}
	return c.send(ctx, q.Address, q.Key, http.MethodPost, "/v1/chat/completions", header, body, readStream)
}

// CallService sends a request to a service.
func (c *Client) CallService(ctx context.Context, o ServiceRequest) Response {
	header := http.Header{}
	if o.ID != "" {
		header.Set("Idempotency-Key", o.ID)
	}
	return c.send(ctx, o.Address, o.Key, o.Method, "/services/"+o.Path, header, []byte(o.Content), readWhole)
}

func (c *Client) send(ctx context.Context, to netip.AddrPort, key, method, path string, header http.Header, body []byte, read func(io.Reader, *Response)) Response {
	a := Response{Started: time.Now(), Outcome: outcome.Unknown}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return Response{Err: err, Truncated: true, Outcome: outcome.NotRun}
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := c.http.Do(request)
	if err != nil {
		a.fail(err)
		return a
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	if a.Status != http.StatusOK {
		a.refused(response.Body)
	} else {
		read(response.Body, &a)
	}
	a.Ended = time.Now()
	return a
}

func (a *Response) fail(err error) {
	a.Ended, a.Truncated, a.Err = time.Now(), true, err
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		a.Outcome = outcome.NotRun
	}
}

// refusal is the error of a refused or failed request.
type refusal struct {
	Error *struct {
		Message string          `json:"message"`
		Code    string          `json:"code"`
		Outcome outcome.Outcome `json:"Outcome"`
	} `json:"error"`
}

func (a *Response) refused(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil || !a.stated(data) {
		a.Truncated, a.Err = true, errorx.IllegalFormat.New("status %d without a stated outcome: %.200s", a.Status, data)
	}
}

// stated takes the error in data over and reports whether there is one.
func (a *Response) stated(data []byte) bool {
	var r refusal
	if json.Unmarshal(data, &r) != nil || r.Error == nil || r.Error.Outcome == "" {
		return false
	}
	a.Outcome, a.Code = r.Error.Outcome, r.Error.Code
	a.Err = errorx.ExternalError.New("%s", r.Error.Message)
	return true
}

func readWhole(body io.Reader, a *Response) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.Truncated, a.Err = true, err
		return
	}
	a.Text, a.Outcome = string(data), outcome.Done
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readStream(body io.Reader, a *Response) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok || data == "" {
			continue
		}
		if data == "[DONE]" {
			a.Outcome = outcome.Done
			return
		}
		if a.stated([]byte(data)) {
			return
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			a.Err = err
			break
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			a.ChunkTimes = append(a.ChunkTimes, time.Now())
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	a.Truncated = true
	if a.Err == nil {
		a.Err = errorx.IllegalState.New("the stream ended without an end or an error: %v", lines.Err())
	}
}
