package engine

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// unaryConnections limits the connections for unary calls, so that an engine that stops responding occupies only these.
	unaryConnections = 16
	// dialTimeout is far above the round-trip time within a region and below the maximum step deadline.
	dialTimeout = time.Second
	// maxUnaryBytes limits the response body of a unary call. An exported KV cache is the largest.
	maxUnaryBytes = 256 << 20
)

func newHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error), connections int) *http.Client {
	return responsetransport.NewClient(&http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})
}

// Report returns the engine's load, layers and state.
func (c *Client) Report(ctx context.Context) (*enginepb.Report, error) {
	report := &enginepb.Report{}
	return report, c.roundTrip(ctx, http.MethodGet, "/v1/report", nil, report)
}

// Cancel frees the KV cache of one generation of a request.
func (c *Client) Cancel(ctx context.Context, request string, generation uint32) error {
	return c.roundTrip(ctx, http.MethodPost, "/v1/cancel", &enginepb.Cancel{Request: request, Generation: generation}, nil)
}

// Export returns the KV cache of one generation of a request, or ErrNoCache if the engine holds none.
func (c *Client) Export(ctx context.Context, request string, generation uint32) (*enginepb.KvCache, error) {
	cache := &enginepb.KvCache{}
	key := &enginepb.KvKey{Request: request, Generation: generation}
	return cache, c.roundTrip(ctx, http.MethodPost, "/v1/kv/export", key, cache)
}

// Import loads a KV cache that another engine exported.
func (c *Client) Import(ctx context.Context, cache *enginepb.KvCache) error {
	return c.roundTrip(ctx, http.MethodPost, "/v1/kv/import", cache, nil)
}

// Events returns the changes of the engine's prefix cache whose sequence numbers are greater than since.
func (c *Client) Events(ctx context.Context, since uint64) (*enginepb.CacheEvents, error) {
	events := &enginepb.CacheEvents{}
	return events, c.roundTrip(ctx, http.MethodGet, "/v1/events?since="+strconv.FormatUint(since, 10), nil, events)
}

// Assign sets the layers, model version and adapters that the engine is to hold. A refused assignment is a result,
// not an error.
func (c *Client) Assign(ctx context.Context, assignment *enginepb.Assignment) (*enginepb.AssignmentResult, error) {
	result := &enginepb.AssignmentResult{}
	return result, c.roundTrip(ctx, http.MethodPost, "/v1/orders", assignment, result)
}

// roundTrip sends message and decodes the response into result. A nil message sends an empty body, and a nil result
// ignores the response body.
func (c *Client) roundTrip(ctx context.Context, method, path string, message, result proto.Message) error {
	var connected atomic.Bool
	request, err := c.request(withConnTrace(ctx, &connected), method, path, message)
	if err != nil {
		return c.newError(path, outcome.NotRun, err)
	}
	response, err := c.unaryClient.Do(request)
	if err != nil && !connected.Load() {
		return c.newError(path, outcome.NotRun, err)
	}
	if err != nil {
		return c.newError(path, outcome.Unknown, err)
	}
	defer response.Body.Close()
	return c.decodeResponse(path, response, result)
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

func (c *Client) decodeResponse(path string, response *http.Response, result proto.Message) error {
	body, err := responsebody.Read(response.Body, maxUnaryBytes)
	if err != nil {
		return c.newError(path, outcome.Unknown, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound && path == "/v1/kv/export":
		return c.newError(path, outcome.NotRun, ErrNoCache)
	case response.StatusCode/100 != 2:
		return c.newError(path, outcome.Failed, fmt.Errorf("engine returned HTTP status %s: %.200s", response.Status, body))
	case result == nil:
		return nil
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		return c.newError(path, outcome.Unknown, errUnframed)
	}
	if err := proto.Unmarshal(body, result); err != nil {
		return c.newError(path, outcome.Unknown, err)
	}
	return nil
}
