package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// DefaultTimeout limits one call. A healthy table service responds in a few milliseconds. A second is enough for a
	// slow one, and keeps a claim of an idempotency key within a client's timeout.
	DefaultTimeout = time.Second
	// maxResponseBytes limits the memory for one response.
	maxResponseBytes = 64 << 20
	// maxIdleConnections is enough for the few concurrent calls of one instance.
	maxIdleConnections = 8
)

// Client calls the table service. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
	reads   metrics.Counter
	writes  metrics.Counter
	failed  metrics.Counter // failed counts calls with the error ErrUnavailable.
	unknown metrics.Counter // unknown counts transactions with the error ErrUnknown.
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the time of each call. The context's deadline applies as well.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithMetrics registers the client's counters table.reads, table.writes, table.failed and
// table.unknown in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) {
		c.reads = metrics.GetOrRegisterCounter("table.reads", r)
		c.writes = metrics.GetOrRegisterCounter("table.writes", r)
		c.failed = metrics.GetOrRegisterCounter("table.failed", r)
		c.unknown = metrics.GetOrRegisterCounter("table.unknown", r)
	}
}

// New returns a client of the table service at baseURL.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		timeout: DefaultTimeout,
		http:    newHTTPClient(),
	}
	WithMetrics(metrics.NewRegistry())(c)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func newHTTPClient() *http.Client {
	return responsetransport.NewClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Commit sends a transaction. The error is nil, ErrUnavailable or ErrUnknown.
func (c *Client) Commit(ctx context.Context, t Transaction) (Result, error) {
	c.writes.Inc(1)
	body, err := json.Marshal(t)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	var result Result
	sent, err := c.call(ctx, http.MethodPost, "/v1/transactions", body, &result)
	if err == nil {
		return result, nil
	}
	if sent && !impliesNotWritten(err) {
		c.unknown.Inc(1)
		return Result{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	c.failed.Inc(1)
	return Result{}, unavailableError(err)
}

// unavailableError returns ErrUnavailable with the text of err. If the service limits its rate, the result wraps
// ErrRateLimited too.
func unavailableError(err error) error {
	var status statusError
	if errors.As(err, &status) && status == http.StatusTooManyRequests {
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrRateLimited)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// Get reads one row. The error is nil, ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, "/v1/rows/"+url.PathEscape(key), &row)
	return row, err
}

// Scan reads up to limit rows whose keys start with prefix and are greater than after, in key
// order. The error is nil or ErrUnavailable.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.read(ctx, "/v1/rows?"+query.Encode(), &rows)
	return rows, err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	c.reads.Inc(1)
	_, err := c.call(ctx, http.MethodGet, path, nil, into)
	var status statusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status == http.StatusNotFound:
		return ErrNotFound
	default:
		c.failed.Inc(1)
		return unavailableError(err)
	}
}

// statusError is a response status other than 200.
type statusError int

func (s statusError) Error() string {
	return fmt.Sprintf("the table service answered %d", int(s))
}

// impliesNotWritten reports whether err is a response status that implies that the transaction was not run: the service
// returns 4xx and 503 before it evaluates the transaction. 408 implies nothing, since it may come from a proxy in
// between.
func impliesNotWritten(err error) bool {
	var status statusError
	if !errors.As(err, &status) || status == http.StatusRequestTimeout {
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// call sends one request and decodes the response body. It returns sent as false if the request got no connection,
// so that no byte of the request can have been sent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return connected.Load(), err
	}
	defer resp.Body.Close()
	return true, decode(resp, into)
}

func decode(resp *http.Response, into any) error {
	content, err := responsebody.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	return json.Unmarshal(content, into)
}
