// Package instancelist is the client of the platform's list of live and leaving instances.
//
// The list lags: an instance that left or died may still be on it, and a new one may be absent.
// A caller keeps the last list while the service is down.
//
// Usage:
//
//	c := instancelist.New("http://10.0.0.5:7400")
//	list, err := c.List(ctx)
//	if errors.Is(err, instancelist.ErrUnavailable) {
//		// The last list stays in force.
//	}
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// DefaultTimeout is below the 1 s between two polls, so that polls do not overlap.
	DefaultTimeout = 800 * time.Millisecond
	// maxAnswer holds 100,000 instances of 300 bytes.
	maxAnswer = 32 << 20
)

// State is what the platform says of an instance.
type State string

const (
	// Live instances accept work.
	Live State = "Live"
	// Leaving instances will be stopped and accept no new work.
	Leaving State = "Leaving"
)

// Instance is one entry of the list.
type Instance struct {
	Name       string         `json:"Name"`
	Role       string         `json:"Role"` // Role is such as Entry, Engine, or the name of a plain service.
	Address    netip.AddrPort `json:"Address"`
	DataCentre string         `json:"DataCentre"`
	State      State          `json:"State"`
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable error = errorx.NewNamespace("instancelist").
	ApplyModifiers(errorx.TypeModifierOmitStackTrace).
	NewType("unavailable").New("the instance list is not available")

// Client reads the list. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client

	mu   sync.Mutex
	tag  string // tag is the ETag of the list read last, empty if the service gives none.
	last []Instance
}

// Option changes a Client when it is made.
type Option func(*Client)

// WithTimeout bounds each call. The context's deadline applies as well.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the service at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{base: strings.TrimRight(base, "/"), timeout: DefaultTimeout, http: &http.Client{Transport: &http.Transport{}}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// List returns the instances on the list. Where the service gives an ETag, a list that has not
// changed is not sent again: read each second, the list of a fleet of today would take more than 4 KB/s.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	known, tag := c.known()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && tag != "":
		return known, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&list); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	c.keep(list, resp.Header.Get("ETag"))
	return slices.Clone(list), nil
}

func (c *Client) known() ([]Instance, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.last), c.tag
}

func (c *Client) keep(list []Instance, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.tag = list, tag
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
