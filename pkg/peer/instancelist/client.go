// Package instancelist is the client of the platform's list of live and leaving instances.
//
// The platform lists instances of the daemon, engines and instances of other services; the field Role tells them apart.
// It updates the list with a delay: the list may still contain an instance that left or crashed, and a new instance may
// be missing. Users of this package continue with the last list while the service is unavailable.
//
// Usage:
//
//	c := instancelist.New("http://10.0.0.5:7400")
//	list, err := c.List(ctx)
//	if errors.Is(err, instancelist.ErrUnavailable) {
//		// Continue with the last list.
//	}
package instancelist

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// DefaultTimeout is less than the poll interval of 1 s, so that polls do not overlap.
	DefaultTimeout = 800 * time.Millisecond
	// maxResponseBytes is enough for 100,000 instances of 300 bytes.
	maxResponseBytes = 32 << 20
)

// State is the state of an instance on the list.
type State string

const (
	// Live means that the instance accepts requests.
	Live State = "Live"
	// Leaving means that the instance will be stopped and accepts no new requests.
	Leaving State = "Leaving"
)

// Instance is one entry of the list: an instance of the daemon (Role Entry), an engine or an instance of another service.
type Instance struct {
	Name       string         `json:"Name"`
	Role       string         `json:"Role"` // Role is Entry, Engine or the name of another service.
	Address    netip.AddrPort `json:"Address"`
	DataCentre string         `json:"DataCentre"`
	State      State          `json:"State"`
}

// ErrUnavailable means that the instance list could not be read.
var ErrUnavailable error = errorx.NewNamespace("instancelist").
	ApplyModifiers(errorx.TypeModifierOmitStackTrace).
	NewType("unavailable").New("the instance list is not available")

// Client reads the list. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	onSkip  func(skipped []error)
	http    *http.Client

	mu         sync.Mutex
	etag       string // etag is the ETag of cachedList, empty if the service sent none.
	cachedList []Instance
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the time of each call. The context's deadline applies as well.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithSkipHandler sets the function that is called with the entries of each list that were left out, since no instance can
// have them.
func WithSkipHandler(handle func(skipped []error)) Option {
	return func(c *Client) { c.onSkip = handle }
}

// New returns a client of the instance list service at baseURL.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/"), timeout: DefaultTimeout, onSkip: func([]error) {}, http: responsetransport.NewClient(&http.Transport{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// List returns the instances on the list, without entries that no instance can have. If the service sends an ETag, List
// caches the list, and the service does not transfer it again while it is unchanged: polled every second, the list of the
// current fleet would otherwise take more than 4 KB/s.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	cached, etag := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && etag != "":
		return cached, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	body, err := responsebody.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	list, skipped, err := decode(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	c.onSkip(skipped)
	c.store(list, resp.Header.Get("ETag"))
	return slices.Clone(list), nil
}

// cached returns a copy of the cached list and its ETag.
func (c *Client) cached() ([]Instance, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.cachedList), c.etag
}

func (c *Client) store(list []Instance, etag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedList, c.etag = list, etag
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
