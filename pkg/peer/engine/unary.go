package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// unaryConnections bounds the connections for calls other than steps, so that a frozen engine holds few.
	unaryConnections = 16
	// dialTimeout is far above the round trip in a region and below the cap of a step deadline.
	dialTimeout = time.Second
	// maxUnary bounds the answer of a call other than a step. An exported KV cache is the largest.
	maxUnary = 256 << 20
)

func newHTTPClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		// A followed redirect would send a step to another engine.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Report returns the engine's load, held layers and state.
func (c *Client) Report(ctx context.Context) (*enginepb.Report, error) {
	report := &enginepb.Report{}
	return report, c.exchange(ctx, http.MethodGet, "/v1/report", nil, report)
}

// Cancel frees the KV cache of one generation.
func (c *Client) Cancel(ctx context.Context, request string, generation uint32) error {
	return c.exchange(ctx, http.MethodPost, "/v1/cancel", &enginepb.Cancel{Request: request, Generation: generation}, nil)
}

// Export returns the KV cache of one generation, ErrNoCache where the engine holds none.
func (c *Client) Export(ctx context.Context, request string, generation uint32) (*enginepb.KvCache, error) {
	cache := &enginepb.KvCache{}
	key := &enginepb.KvKey{Request: request, Generation: generation}
	return cache, c.exchange(ctx, http.MethodPost, "/v1/kv/export", key, cache)
}

// Import gives the engine a KV cache that another engine exported.
func (c *Client) Import(ctx context.Context, cache *enginepb.KvCache) error {
	return c.exchange(ctx, http.MethodPost, "/v1/kv/import", cache, nil)
}

// Events returns the changes of the engine's prefix cache after the sequence number since.
func (c *Client) Events(ctx context.Context, since uint64) (*enginepb.CacheEvents, error) {
	events := &enginepb.CacheEvents{}
	return events, c.exchange(ctx, http.MethodGet, "/v1/events?since="+strconv.FormatUint(since, 10), nil, events)
}

// Assign states the desired end state of the engine. A refused order is a result, not an error.
func (c *Client) Assign(ctx context.Context, order *enginepb.Assignment) (*enginepb.AssignmentResult, error) {
	result := &enginepb.AssignmentResult{}
	return result, c.exchange(ctx, http.MethodPost, "/v1/orders", order, result)
}

// exchange sends one message, nil for an empty body, and reads one into answer, nil to ignore it.
func (c *Client) exchange(ctx context.Context, method, path string, message, answer proto.Message) error {
	var reached atomic.Bool
	request, err := c.request(traced(ctx, &reached), method, path, message)
	if err != nil {
		return c.fail(path, outcome.NotRun, err)
	}
	response, err := c.unary.Do(request)
	if err != nil && !reached.Load() {
		return c.fail(path, outcome.NotRun, err)
	}
	if err != nil {
		return c.fail(path, outcome.Unknown, err)
	}
	defer response.Body.Close()
	return c.decodeAnswer(path, response, answer)
}

func (c *Client) request(ctx context.Context, method, path string, message proto.Message) (*http.Request, error) {
	var body []byte
	if message != nil {
		var err error
		if body, err = proto.Marshal(message); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	return request, nil
}

func (c *Client) decodeAnswer(path string, response *http.Response, answer proto.Message) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxUnary))
	if err != nil {
		return c.fail(path, outcome.Unknown, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound && path == "/v1/kv/export":
		return c.fail(path, outcome.NotRun, ErrNoCache)
	case response.StatusCode/100 != 2:
		return c.fail(path, outcome.Failed, fmt.Errorf("the engine answered %s: %.200s", response.Status, body))
	case answer == nil:
		return nil
	}
	if err := proto.Unmarshal(body, answer); err != nil {
		return c.fail(path, outcome.Unknown, err)
	}
	return nil
}
