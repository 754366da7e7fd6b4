package caller_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
)

type errorResponse struct {
	Error struct {
		Message    string          `json:"message"`
		Type       string          `json:"type"`
		Code       string          `json:"code"`
		Outcome    outcome.Outcome `json:"Outcome"`
		RetryAfter float64         `json:"RetryAfter"`
	} `json:"error"`
}

// send sends a request with headers given as "Name: value".
func (s *testServer) send(c *qt.C, method, path, body string, headers ...string) (*http.Response, []byte) {
	request, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, content
}

const chatPath = "/v1/chat/completions"

// TestRefusals guards against a refusal without a stable code, a correct outcome or a valid body, and against
// accepting a request whose response would differ from what it asks for.
func TestRefusals(t *testing.T) {
	chat := func(fields string) string {
		return `{"model":"guide","messages":[{"role":"user","content":"x"}]` + fields + `}`
	}
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		code    string
	}{
		{name: "no key", headers: []string{"Authorization: "}, status: 401, code: "missing_api_key"},
		{name: "wrong scheme", headers: []string{"Authorization: Basic x"}, status: 401, code: "missing_api_key"},
		{name: "unknown key", headers: []string{"Authorization: Bearer x"}, status: 401, code: "invalid_api_key"},
		{name: "unknown path", path: "/v1/embeddings", status: 404, code: "not_found"},
		{name: "method", method: "GET", status: 405, code: "method_not_allowed"},
		{name: "not JSON", body: `{"model":`, status: 400, code: "malformed_json"},
		{name: "empty", body: ``, status: 400, code: "malformed_json"},
		{name: "two values", body: chat("") + "{}", status: 400, code: "malformed_json"},
		{name: "wrong type", body: chat(`,"max_tokens":"many"`), status: 400, code: "invalid_type"},
		{name: "unknown field", body: chat(`,"max_token":1`), status: 400, code: "unknown_parameter"},
		{name: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`, status: 400, code: "missing_parameter"},
		{name: "no messages", body: `{"model":"guide","messages":[]}`, status: 400, code: "missing_parameter"},
		{name: "no content", body: `{"model":"guide","messages":[{"role":"user"}]}`, status: 400, code: "missing_parameter"},
		{name: "unknown model", body: `{"model":"other","messages":[{"role":"user","content":"x"}]}`, status: 404, code: "model_not_found"},
		{
			name: "model of another workspace", body: chat(""), headers: []string{"Authorization: Bearer south-key"},
			status: 404, code: "model_not_found",
		},
		{name: "role", body: `{"model":"guide","messages":[{"role":"tool","content":"x"}]}`, status: 400, code: "unsupported_parameter"},
		{
			name: "image", body: `{"model":"guide","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]}`,
			status: 400, code: "unsupported_parameter",
		},
		{name: "n", body: chat(`,"n":2`), status: 400, code: "unsupported_parameter"},
		{name: "tools", body: chat(`,"tools":[{"type":"function"}]`), status: 400, code: "unsupported_parameter"},
		{name: "response format", body: chat(`,"response_format":{"type":"json_object"}`), status: 400, code: "unsupported_parameter"},
		{name: "log probabilities", body: chat(`,"logprobs":true`), status: 400, code: "unsupported_parameter"},
		{name: "temperature", body: chat(`,"temperature":3`), status: 400, code: "invalid_value"},
		{name: "no tokens", body: chat(`,"max_tokens":0`), status: 400, code: "invalid_value"},
		{name: "too many tokens", body: chat(`,"max_completion_tokens":1000000`), status: 400, code: "invalid_value"},
		{name: "stop", body: chat(`,"stop":["a","b","c","d","e"]`), status: 400, code: "invalid_value"},
		{name: "stream options", body: chat(`,"stream_options":{"include_usage":true}`), status: 400, code: "invalid_value"},
		{name: "priority", body: chat(""), headers: []string{"Cuminroute-Priority: High"}, status: 400, code: "invalid_priority"},
		{name: "timeout", body: chat(""), headers: []string{"Cuminroute-Timeout: -1s"}, status: 400, code: "invalid_timeout"},
		{name: "large", body: chat(`,"user":"` + strings.Repeat("x", 5000) + `"`), status: 413, code: "body_too_large"},
		{name: "headers", headers: []string{"X-Large: " + strings.Repeat("x", 17000)}, status: 431, code: "headers_too_large"},
		{name: "service", path: "/services/none/kits", status: 404, code: "request_kind_not_found"},
		{name: "kind", path: "/services/orders/other", status: 404, code: "request_kind_not_found"},
		{name: "path", method: "GET", path: "/services/orders/stock/..%5ckits", status: 400, code: "invalid_path"},
		{name: "phone", path: "/services/orders/calls", status: 403, code: "phone_orders_not_allowed"},
	}
	s := startServer(t, caller.WithMaxBodyBytes(4000))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			method, path := test.method, test.path
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = chatPath
			}
			response, content := s.send(c, method, path, test.body, test.headers...)
			var r errorResponse
			c.Assert(json.Unmarshal(content, &r), qt.IsNil, qt.Commentf("%s", content))
			c.Assert(r.Error.Code, qt.Equals, test.code, qt.Commentf("%s", content))
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(r.Error.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(r.Error.Message, qt.Not(qt.Equals), "")
		})
	}
	qt.Assert(t, s.admission.requests, qt.HasLen, 0)
}

const shortChat = `{"model":"guide","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":2,"stop":"never"}`

// TestHeadersCannotRaiseLimits guards against a client that raises its own priority or timeout.
func TestHeadersCannotRaiseLimits(t *testing.T) {
	tests := []struct {
		headers  []string
		priority configuration.Priority
		timeout  time.Duration
	}{
		{nil, configuration.Interactive, 10 * time.Second},
		{[]string{"Cuminroute-Priority: Batch", "Cuminroute-Timeout: 3s"}, configuration.Batch, 3 * time.Second},
		{[]string{"Cuminroute-Priority: Schedule", "Cuminroute-Timeout: 1h"}, configuration.Interactive, 10 * time.Second},
	}
	s := startServer(t)
	for i, test := range tests {
		c := qt.New(t)
		sent := time.Now()
		response, content := s.send(c, http.MethodPost, chatPath, shortChat, test.headers...)
		c.Assert(response.StatusCode, qt.Equals, 200, qt.Commentf("%s", content))
		admitted := s.admission.requests[i]
		c.Assert(admitted.Priority, qt.Equals, test.priority)
		c.Assert(admitted.Weight, qt.Equals, 2)
		given := admitted.Deadline.Sub(sent)
		c.Assert(given > test.timeout-time.Second && given < test.timeout+2*time.Second, qt.IsTrue, qt.Commentf("%s", given))
	}
}

// TestOverloadedAndDraining guards against a refusal that is delayed, has no time to wait before a retry, or has an
// outcome other than NotRun.
func TestOverloadedAndDraining(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	refuse := func(code string) {
		began := time.Now()
		response, content := s.send(c, http.MethodPost, chatPath, shortChat)
		var r errorResponse
		c.Assert(json.Unmarshal(content, &r), qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, 503)
		c.Assert(r.Error.Code, qt.Equals, code)
		c.Assert(r.Error.Outcome, qt.Equals, outcome.NotRun)
		c.Assert(r.Error.RetryAfter, qt.Equals, 1.0)
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	}
	s.admission.err = errors.New("full")
	refuse("overloaded")
	s.admission.err = nil
	s.drain.Drain()
	refuse("draining")
}

// TestService guards against forwarding a service request without its content, idempotency key or kind.
func TestService(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	response, content := s.send(c, http.MethodPost, "/services/orders/kits?fast=1", "5 kits", "Idempotency-Key: old", "Content-Type: text/plain")
	c.Assert(response.StatusCode, qt.Equals, 201)
	c.Assert(string(content), qt.Equals, "kits")
	c.Assert(response.Header.Get("Cuminroute-Replayed"), qt.Equals, "true")
	got := s.services.last
	c.Assert(got.Workspace+" "+got.Service+" "+got.Kind+" "+got.IdempotencyKey+" "+got.Query+" "+string(got.Body), qt.Equals, "north orders reorder old fast=1 5 kits")
	c.Assert(got.Idempotent, qt.IsFalse)
	_, _ = s.send(c, http.MethodGet, "/services/orders/stock/7", "")
	c.Assert(s.services.last.Idempotent, qt.IsTrue)
	response, _ = s.send(c, http.MethodPost, "/services/orders/calls", "", "Authorization: Bearer "+phoneKey)
	c.Assert(response.StatusCode, qt.Equals, 201)
}
