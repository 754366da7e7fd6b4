// Package weightstore is the client of the platform's weight store, which has a rate limit.
//
// GET /weights/<model>/<version>/<layer> returns the weights of one layer. Above its rate limit the store returns 429
// with Retry-After, which the client returns as a *RateLimited error.
//
// Usage:
//
//	c := weightstore.New("http://10.0.0.5:7400")
//	n, err := c.Fetch(ctx, "darning", "v3", 17, writer)
//	var limited *weightstore.RateLimited
//	if errors.As(err, &limited) {
//		// Retry after limited.RetryAfter.
//	}
package weightstore

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// DefaultTimeout is enough for a layer of 1 GB at 100 MB/s.
	DefaultTimeout = 15 * time.Second
	// defaultRetryAfter is used if the store's response has no valid Retry-After.
	defaultRetryAfter = time.Second
)

var namespace = errorx.NewNamespace("weightstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrUnavailable means that the call failed for another reason than ErrNotFound or the rate limit, such as a
	// response that was incomplete.
	ErrUnavailable error = namespace.NewType("unavailable").New("the weight store is not available")
	// ErrNotFound means that the store has no weights of the layer.
	ErrNotFound error = namespace.NewType("not_found", errorx.NotFound()).New("no such layer")
)

// RateLimited is the error of a call above the store's rate limit.
type RateLimited struct {
	RetryAfter time.Duration // RetryAfter is the time to wait before a retry.
}

// Error returns a message with the time until a retry.
func (e *RateLimited) Error() string {
	return fmt.Sprintf("the weight store's rate limit is exceeded; retry after %s", e.RetryAfter)
}

// Client calls the weight store. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the time of each call. The context's deadline applies as well.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the weight store at baseURL.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/"), timeout: DefaultTimeout, http: responsetransport.NewClient(&http.Transport{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Fetch copies the weights of one layer to w and returns the number of bytes copied. If it returns an error, w may have
// received a part of the weights.
func (c *Client) Fetch(ctx context.Context, model, version string, layer int, w io.Writer) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	path := fmt.Sprintf("/weights/%s/%s/%d", url.PathEscape(model), url.PathEscape(version), layer)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return 0, err
	}
	n, err := io.Copy(w, resp.Body)
	if err != nil {
		return n, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return n, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return &RateLimited{RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

// parseRetryAfter parses a Retry-After header in seconds.
func parseRetryAfter(seconds string) time.Duration {
	n, err := strconv.Atoi(seconds)
	if err != nil || n < 1 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}
