package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
)

// exchange is an HTTP request and the response to it.
type exchange struct {
	server        *Server
	writer        http.ResponseWriter
	request       *http.Request
	id            string
	start         time.Time
	configuration *configuration.Configuration
	client        configuration.Caller         // client is the authenticated client, set by authenticate.
	rules         configuration.EffectiveRules // rules are the client's rules at start, set by authenticate.
	generations   uint32                       // generations is the number of routes that an inference request had.
	held          *requestbody.Body            // held is the body, which counts in the budget of all bodies until the request ends.
	headersSent   bool                         // headersSent is set once the response headers are written.
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{server: s, writer: w, request: r, id: uuid.NewString(), start: s.now(), configuration: s.snapshot()}
}

func (x *exchange) validateHeaders() error {
	size := 0
	for name, values := range x.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > DefaultMaxHeaderBytes {
		return refusal.New(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", outcome.NotRun,
			"the headers have %d bytes; at most %d are accepted", size, DefaultMaxHeaderBytes)
	}
	return nil
}

// authenticate sets the client and its rules from the key in the Authorization header.
func (x *exchange) authenticate() error {
	if x.configuration == nil {
		return refusal.New(http.StatusServiceUnavailable, "not_ready", outcome.NotRun,
			"this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	scheme, key, found := strings.Cut(x.request.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return refusal.New(http.StatusUnauthorized, "missing_api_key", outcome.NotRun,
			"the header Authorization must be Bearer and a key")
	}
	client, ok := x.configuration.Authenticate(key)
	if !ok {
		return refusal.New(http.StatusUnauthorized, "invalid_api_key", outcome.NotRun, "the key belongs to no workspace")
	}
	x.client = client
	x.rules = x.configuration.EffectiveRules(client.Workspace, client.Branch, x.start)
	return nil
}

// priority returns the configured priority, or the priority in the request's header if that is lower.
func (x *exchange) priority(configured configuration.Priority) (configuration.Priority, error) {
	given := configuration.Priority(x.request.Header.Get("Cuminroute-Priority"))
	switch given {
	case "":
		return configured, nil
	case configuration.Schedule, configuration.Interactive, configuration.Batch:
	default:
		return "", refusal.New(http.StatusBadRequest, "invalid_priority", outcome.NotRun,
			"Cuminroute-Priority is %q; Schedule, Interactive and Batch are accepted", given)
	}
	if given.Level() > configured.Level() {
		return given, nil
	}
	return configured, nil
}

// timeout returns the configured timeout, or the timeout in the request's header if that is shorter.
func (x *exchange) timeout(configured time.Duration) (time.Duration, error) {
	given := x.request.Header.Get("Cuminroute-Timeout")
	if given == "" {
		return configured, nil
	}
	requested, err := time.ParseDuration(given)
	if err != nil || requested <= 0 {
		return 0, refusal.New(http.StatusBadRequest, "invalid_timeout", outcome.NotRun,
			"Cuminroute-Timeout is %q; a positive duration such as 2s is accepted", given)
	}
	return min(requested, configured), nil
}

// withTimeout returns the request's context with the result of timeout.
func (x *exchange) withTimeout(configured time.Duration) (context.Context, context.CancelFunc, error) {
	timeout, err := x.timeout(configured)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), timeout)
	return ctx, cancel, nil
}

// body reads the request body within the size and time limits, and within the budget of all bodies. It is counted until x.release.
func (x *exchange) body() ([]byte, error) {
	body, err := x.server.bodies.Read(x.writer, x.request, x.server.maxBody, time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.held = body
		return body.Bytes, nil
	case errors.As(err, &tooLarge):
		return nil, refusal.New(http.StatusRequestEntityTooLarge, "body_too_large", outcome.NotRun,
			"the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, requestbody.ErrNoRoom):
		x.writer.Header().Set("Connection", "close") // The rest of the body may be on its way.
		return nil, refusal.New(http.StatusServiceUnavailable, "no_memory", outcome.NotRun,
			"this instance has no room for the body").WithCause(err).WithRetryAfter(requestbody.NoRoomRetryAfter)
	default:
		x.writer.Header().Set("Connection", "close")
		return nil, refusal.New(http.StatusBadRequest, "body_unreadable", outcome.NotRun,
			"the body could not be read").WithCause(err)
	}
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string          `json:"message"`
	Type       string          `json:"type"`
	Code       string          `json:"code"`
	Outcome    outcome.Outcome `json:"Outcome"`
	RetryAfter float64         `json:"RetryAfter"` // RetryAfter is in seconds; 0 means that a retry does not help.
}

func newErrorBody(e *refusal.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message: e.Message, Type: errorType(e.Status), Code: e.Code, Outcome: e.Outcome, RetryAfter: e.RetryAfter.Seconds(),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// sendRefusal counts a refusal and sends it without delay. If the response has already started, the refusal is sent as an event.
func (x *exchange) sendRefusal(e *refusal.Error) {
	x.server.refused.Inc(1)
	if x.headersSent {
		_ = x.event(newErrorBody(e)) // A write error means that the client disconnected. The log line has the refusal.
		return
	}
	if e.RetryAfter > 0 {
		x.writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	x.sendJSON(e.Status, newErrorBody(e))
}

// sendJSON sends a complete JSON response.
func (x *exchange) sendJSON(status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		status, encoded = http.StatusInternalServerError, []byte(`{"error":{"message":"the answer could not be encoded"}}`)
	}
	x.send(status, "application/json", encoded)
}

// send sends a complete response.
func (x *exchange) send(status int, contentType string, body []byte) {
	x.headersSent = true
	x.writer.Header().Set("Content-Type", contentType)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_ = x.write(body) // A write error means that the client disconnected.
}

// write writes and flushes data within writeTimeout. It clears the write deadline afterwards, since the connection
// may carry another request.
func (x *exchange) write(data []byte) error {
	control := http.NewResponseController(x.writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) // Only response writers of tests lack deadlines.
	if _, err := x.writer.Write(data); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}

// log writes the log line of a finished request.
func (x *exchange) log(err error) {
	line := x.server.logger.Info()
	if err != nil {
		refused := refusal.FromError(err)
		line = x.server.logger.Warn().Str("Code", refused.Code).Str("Outcome", string(refused.Outcome)).Err(err)
	}
	line.Str("Request", x.id).Str("Workspace", x.client.Workspace).Str("Branch", x.client.Branch).
		Str("Method", x.request.Method).Str("Path", x.request.URL.Path).Uint32("Generation", x.generations).
		Dur("Took", x.server.now().Sub(x.start)).Msg("request ended")
}
