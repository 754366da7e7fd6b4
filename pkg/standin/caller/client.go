// Package caller is a stand-in for clients. It uses the published chat completions protocol for models
// and plain HTTP for services, and records when each token arrived and how the request ended.
//
// Usage:
//
//	c := caller.New()
//	r := c.Chat(ctx, caller.ChatRequest{Address: instance, Key: key, Pipeline: "guide", Prompt: p, Tokens: 16})
//	if r.Outcome == outcome.Done { use(r.Text, r.ChunkTimes) }
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a chat completion request.
type ChatRequest struct {
	Address  netip.AddrPort
	Key      string
	Pipeline string
	Prompt   string
	History  []Message // History holds the messages of the conversation before the prompt.
	Tokens   int
	Timeout  time.Duration // Timeout is sent as the header Cuminroute-Timeout unless it is zero.
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

// Response is the result of a request. A truncated response ended with neither an end marker nor an
// error. Its outcome is NotRun if no connection was made, and Unknown otherwise.
type Response struct {
	Started    time.Time
	Ended      time.Time
	ChunkTimes []time.Time // ChunkTimes are the arrival times of the chunks of text.
	Text       string
	Outcome    outcome.Outcome
	Status     int
	Code       string
	RetryAfter time.Duration
	Truncated  bool
	Err        error
}

// Client sends the requests of many clients over shared connections.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Chat sends a chat completion request and reads the streamed response.
func (c *Client) Chat(ctx context.Context, r ChatRequest) Response {
	body, err := json.Marshal(map[string]any{
		"model": r.Pipeline, "stream": true, "max_tokens": r.Tokens,
		"messages": append(slices.Clone(r.History), Message{Role: "user", Content: r.Prompt}),
	})
	if err != nil {
		return Response{Err: err, Truncated: true, Outcome: outcome.NotRun}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if r.Timeout > 0 {
		header.Set("Cuminroute-Timeout", r.Timeout.String())
	}
	return c.send(ctx, r.Address, r.Key, http.MethodPost, "/v1/chat/completions", header, body, readStream)
}

// CallService sends a request to a service.
func (c *Client) CallService(ctx context.Context, r ServiceRequest) Response {
	header := http.Header{}
	if r.ID != "" {
		header.Set("Idempotency-Key", r.ID)
	}
	return c.send(ctx, r.Address, r.Key, r.Method, "/services/"+r.Path, header, []byte(r.Content), readBody)
}

func (c *Client) send(ctx context.Context, to netip.AddrPort, key, method, path string, header http.Header, body []byte, read func(io.Reader, *Response)) Response {
	r := Response{Started: time.Now(), Outcome: outcome.Unknown}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return Response{Err: err, Truncated: true, Outcome: outcome.NotRun}
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+key)
	// The transport would send a request with an idempotency key again, and then return only the error of the last transmission.
	request.GetBody = nil
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		r.Ended, r.Truncated, r.Err = time.Now(), true, err
		if !connected.Load() {
			r.Outcome = outcome.NotRun
		}
		return r
	}
	defer response.Body.Close()
	r.Status = response.StatusCode
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	if r.Status != http.StatusOK {
		r.readError(response.Body)
	} else {
		read(response.Body, &r)
	}
	r.Ended = time.Now()
	return r
}

// errorBody is the body or stream event of a refused or failed request.
type errorBody struct {
	Error *struct {
		Message string          `json:"message"`
		Code    string          `json:"code"`
		Outcome outcome.Outcome `json:"Outcome"`
	} `json:"error"`
}

func (r *Response) readError(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil || !r.parseError(data) {
		r.Truncated, r.Err = true, errorx.IllegalFormat.New("response with status %d states no outcome: %.200s", r.Status, data)
	}
}

// parseError sets the outcome, code and error that data states, and reports whether it states an outcome.
func (r *Response) parseError(data []byte) bool {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil || body.Error.Outcome == "" {
		return false
	}
	r.Outcome, r.Code = body.Error.Outcome, body.Error.Code
	r.Err = errorx.ExternalError.New("%s", body.Error.Message)
	return true
}

func readBody(body io.Reader, r *Response) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.Truncated, r.Err = true, err
		return
	}
	r.Text, r.Outcome = string(data), outcome.Done
}

// chunk is one event of a streamed response.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readStream(body io.Reader, r *Response) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok || data == "" {
			continue
		}
		if data == "[DONE]" {
			r.Outcome = outcome.Done
			return
		}
		if r.parseError([]byte(data)) {
			return
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			r.Err = err
			break
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			r.ChunkTimes = append(r.ChunkTimes, time.Now())
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	r.Truncated = true
	if r.Err == nil {
		r.Err = errorx.IllegalState.New("stream ended without [DONE] or an error event: %v", lines.Err())
	}
}
