// Package objectstore is the client of the platform's object store.
//
// The store has an HTTP API: PUT, GET and DELETE of /objects/<name>. Create is a PUT with the header If-None-Match: *. A
// Put whose response was lost may be retried, since the retry writes the same content. A Create that is retried may find
// the object that its first attempt wrote, and then returns ErrExists.
//
// The client does not retry.
//
// Usage:
//
//	c := objectstore.New("http://10.0.0.5:7400")
//	err := c.Put(ctx, "configuration/documents/4f2a", content)
//	content, err := c.Get(ctx, "configuration/documents/4f2a")
package objectstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// DefaultTimeout is enough for an object of several MB on a slow link.
	DefaultTimeout = 5 * time.Second
	// MaxObjectBytes limits the memory for reading one object.
	MaxObjectBytes = 256 << 20
)

var namespace = errorx.NewNamespace("objectstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrUnavailable means that the call failed for another reason than ErrNotFound or ErrExists. A write may still have
	// taken effect.
	ErrUnavailable error = namespace.NewType("unavailable").New("the object store is not available")
	// ErrNotFound means that the object does not exist.
	ErrNotFound error = namespace.NewType("not_found", errorx.NotFound()).New("no such object")
	// ErrExists means that Create found an object with the same name.
	ErrExists error = namespace.NewType("exists", errorx.Duplicate()).New("the object exists")
)

// Client calls the object store. It is safe for concurrent use.
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

// New returns a client of the object store at baseURL.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/"), timeout: DefaultTimeout, http: responsetransport.NewClient(&http.Transport{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Put writes an object and replaces an existing one with the same name.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.call(ctx, http.MethodPut, name, content, nil)
	return err
}

// Create writes an object. If an object with the same name exists, Create returns ErrExists.
func (c *Client) Create(ctx context.Context, name string, content []byte) error {
	_, err := c.call(ctx, http.MethodPut, name, content, http.Header{"If-None-Match": {"*"}})
	return err
}

// Get reads an object. It returns ErrNotFound if there is none with this name.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, name, nil, nil)
}

// Delete deletes an object. It returns no error if the object does not exist.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, name, nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func (c *Client) call(ctx context.Context, method, name string, body []byte, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	path := (&url.URL{Path: "/objects/" + name}).EscapedPath()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	for key, values := range header {
		req.Header[key] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	content, err := responsebody.Read(resp.Body, MaxObjectBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return content, statusError(resp.StatusCode)
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrExists
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}
