package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// requestTimeout limits one request. A change of 3,800 documents takes up to 10 s in a store that
	// handles several hundred writes per second.
	requestTimeout = 15 * time.Second
	// maxAttempts limits how often a change is sent under its ID while its outcome is unknown.
	maxAttempts = 3
	// defaultRetryDelay is long enough for a short outage to end between two attempts.
	defaultRetryDelay = 500 * time.Millisecond
	// maxResponseBytes limits the response body. JSON is larger than the YAML that it contains.
	maxResponseBytes = 2 * DefaultBodyLimit
)

// Client is a client of the operator API of an instance, or of several behind a load balancer.
type Client struct {
	base       string
	key        string
	http       *http.Client
	retryDelay time.Duration
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) ClientOption {
	return func(client *Client) { client.http = c }
}

// WithRetryDelay sets the delay between two attempts of one change.
func WithRetryDelay(d time.Duration) ClientOption {
	return func(client *Client) { client.retryDelay = d }
}

// NewClient returns a client for the instance at base, such as http://127.0.0.1:8081.
func NewClient(base, key string, opts ...ClientOption) *Client {
	c := &Client{
		base: strings.TrimSuffix(base, "/"), key: key,
		http: newHTTPClient(), retryDelay: defaultRetryDelay,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// newHTTPClient returns a client with the settings of net/http's own transport, such as a proxy that the environment names.
func newHTTPClient() *http.Client {
	base := &http.Transport{Proxy: http.ProxyFromEnvironment}
	if standard, ok := http.DefaultTransport.(*http.Transport); ok {
		base = standard.Clone()
	}
	c := responsetransport.NewClient(base)
	c.Timeout = requestTimeout
	return c
}

// Current returns the newest accepted configuration.
func (c *Client) Current(ctx context.Context) (api.Current, error) {
	return send[api.Current](ctx, c, http.MethodGet, api.ConfigurationPath, nil)
}

// Apply sends a change. While it is unknown whether the change was applied, Apply sends the change again
// under the same ID, up to maxAttempts times in all. An error with the code Unknown means that the change
// may have been applied. If another change was applied first, the error is an *api.Error with Conflict set.
func (c *Client) Apply(ctx context.Context, change api.Change) (api.Head, error) {
	return retry(ctx, c, func() (api.Head, error) {
		return send[api.Head](ctx, c, http.MethodPut, api.ConfigurationPath, change)
	})
}

// Rollback creates a new version with the content of an earlier one. It is retried like Apply.
func (c *Client) Rollback(ctx context.Context, rollback api.Rollback) (api.Head, error) {
	return retry(ctx, c, func() (api.Head, error) {
		return send[api.Head](ctx, c, http.MethodPost, api.RollbackPath, rollback)
	})
}

// History returns at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]api.Change, error) {
	history, err := send[api.History](ctx, c, http.MethodGet, api.HistoryPath+"?limit="+strconv.Itoa(limit), nil)
	return history.Changes, err
}

// State returns the state dump of the instance that handles the request.
func (c *Client) State(ctx context.Context) (api.State, error) {
	return send[api.State](ctx, c, http.MethodGet, api.StatePath, nil)
}

// States returns the state dumps of the live instances that respond in time.
func (c *Client) States(ctx context.Context) ([]api.State, error) {
	states, err := send[api.States](ctx, c, http.MethodGet, api.StatesPath, nil)
	return states.States, err
}

// Instances returns the instances, each with the version of its active configuration.
func (c *Client) Instances(ctx context.Context) ([]api.Instance, error) {
	instances, err := send[api.Instances](ctx, c, http.MethodGet, api.InstancesPath, nil)
	return instances.Instances, err
}

// Pipelines returns the state of every pipeline.
func (c *Client) Pipelines(ctx context.Context) ([]api.Pipeline, error) {
	pipelines, err := send[api.Pipelines](ctx, c, http.MethodGet, api.PipelinesPath, nil)
	return pipelines.Pipelines, err
}

// Plan returns the desired placement.
func (c *Client) Plan(ctx context.Context) (api.Plan, error) {
	return send[api.Plan](ctx, c, http.MethodGet, api.PlanPath, nil)
}

// Drains returns the active drains.
func (c *Client) Drains(ctx context.Context) ([]api.Drain, error) {
	drains, err := send[api.Drains](ctx, c, http.MethodGet, api.DrainPath, nil)
	return drains.Drains, err
}

// Drain drains a target, which then gets no new requests.
func (c *Client) Drain(ctx context.Context, target, reason string) (api.Drain, error) {
	return send[api.Drain](ctx, c, http.MethodPost, api.DrainPath, api.Drain{Target: target, Reason: reason})
}

// Undrain ends the drain of a target.
func (c *Client) Undrain(ctx context.Context, target string) (api.Drain, error) {
	return send[api.Drain](ctx, c, http.MethodDelete, api.DrainPath+"?target="+url.QueryEscape(target), nil)
}

// retry calls f up to maxAttempts times while the error has the code Unknown. The change that f sends has
// an ID, so that it is applied only once. An attempt that was not made says nothing of the one before it.
func retry(ctx context.Context, c *Client, f func() (api.Head, error)) (api.Head, error) {
	var lost error // lost is the error of the last attempt whose outcome is unknown.
	for attempt := 1; ; attempt++ {
		head, err := f()
		if lost != nil && hasCode(err, api.Unavailable) {
			return head, lost
		}
		if !hasCode(err, api.Unknown) || attempt == maxAttempts {
			return head, err
		}
		lost = err
		select {
		case <-ctx.Done():
			return head, err
		case <-time.After(c.retryDelay):
		}
	}
}

// hasCode reports whether an error is a refusal with the code.
func hasCode(err error, code api.Code) bool {
	var refusal *api.Error
	return errors.As(err, &refusal) && refusal.Code == code
}

func send[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return result, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := responsebody.Read(response.Body, maxResponseBytes)
	if err != nil {
		return result, transportError(method, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices && response.StatusCode < http.StatusBadRequest {
		return result, transportError(method, fmt.Errorf("the answer is a redirect, HTTP status %d, to %q", response.StatusCode, response.Header.Get("Location")))
	}
	if response.StatusCode != http.StatusOK {
		return result, decodeError(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, &result); err != nil {
		return result, transportError(method, fmt.Errorf("the answer is not the expected JSON: %w", err))
	}
	return result, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// transportError returns the error of a request without a readable response. A change may have been applied unless
// no connection was made.
func transportError(method string, err error) error {
	var network *net.OpError
	notSent := errors.As(err, &network) && network.Op == "dial"
	if method == http.MethodGet || notSent {
		return &api.Error{Code: api.Unavailable, Message: err.Error()}
	}
	return &api.Error{Code: api.Unknown, Message: "the answer was lost, the change may have been made: " + err.Error()}
}

// decodeError returns the refusal in a response body.
func decodeError(status int, content []byte) error {
	refusal := &api.Error{}
	if err := json.Unmarshal(content, refusal); err != nil || refusal.Code == "" {
		refusal = &api.Error{Code: api.Internal, Message: fmt.Sprintf("HTTP status %d: %.200s", status, content)}
	}
	refusal.Status = status
	return refusal
}
