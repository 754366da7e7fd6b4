package service

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/responsetransport"
)

const (
	// dialTimeout is far above the round-trip time within a region.
	dialTimeout = time.Second
	// maxIdleConnsPerTarget keeps enough idle connections for a burst of requests.
	maxIdleConnsPerTarget = 32
	// maxResponseBytes limits the response body, which for a non-idempotent request is stored with the claim.
	maxResponseBytes = 1 << 20
)

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	targets     Targets
	claimer     Claimer
	retryBudget RetryBudget
	drain       DrainCounter
	now         func() time.Time
	logger      *log.Logger
	registry    metrics.Registry
	counters    counters
	balancer    *balancer
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	// requestLimiter keeps the request limits that targets name.
	requestLimiter *requestlimit.Limiter
	// unpooled opens a new connection for each request. A target may close a pooled connection at any
	// time, and net/http then resends a request with an Idempotency-Key on its own.
	unpooled *http.Client
	// pooled reuses connections. It is for idempotent requests to targets that echo the IDs of requests.
	pooled  *http.Client
	echoing *echoingTargets
}

// Option configures a Client.
type Option func(*Client)

// WithRetryBudget sets the retry budget. By default, retries are limited only by the number of attempts.
func WithRetryBudget(b RetryBudget) Option {
	return func(c *Client) { c.retryBudget = b }
}

// WithDrainCounter sets the counter of work that a graceful shutdown waits for, such as storing first responses.
func WithDrainCounter(d DrainCounter) Option {
	return func(c *Client) { c.drain = d }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// WithRequestLimiter sets the limiter that keeps the request limits of targets. Without this option, this instance is taken for
// the only one that sends requests to the targets.
func WithRequestLimiter(l *requestlimit.Limiter) Option {
	return func(c *Client) { c.requestLimiter = l }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(c *Client) { c.now = now }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(c *Client) { c.logger = l }
}

// WithRegistry sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(c *Client) { c.registry = r }
}

// New returns a client that sends requests to the targets of a service. It claims the keys of non-idempotent requests
// with claimer.
func New(targets Targets, claimer Claimer, options ...Option) *Client {
	c := &Client{
		targets: targets, claimer: claimer, retryBudget: unlimitedRetries{}, drain: noDrain{}, now: time.Now,
		logger: &log.DefaultLogger, requestLimiter: requestlimit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now()), dial: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	for _, option := range options {
		option(c)
	}
	if c.registry == nil {
		c.registry = metrics.NewRegistry()
	}
	c.counters = newCounters(c.registry)
	c.balancer = newBalancer(c.acquire)
	c.unpooled, c.pooled, c.echoing = newHTTPClient(c.dial, true), newHTTPClient(c.dial, false), newEchoingTargets()
	return c
}

// Do sends a request and returns the target's response, whatever its status. Errors have a refusal in their chain.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	c.counters.requests.Inc(1)
	if req.Idempotent {
		return c.doIdempotent(ctx, req)
	}
	return c.doAtMostOnce(ctx, req)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.unpooled.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

func newHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error), disableKeepAlives bool) *http.Client {
	return responsetransport.NewClient(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
	})
}

type unlimitedRetries struct{}

func (unlimitedRetries) RecordRequest(string, time.Time) {}
func (unlimitedRetries) Allow(string, time.Time) bool    { return true }

type noDrain struct{}

func (noDrain) EnterDependent() func() { return func() {} }

type counters struct {
	requests   metrics.Counter
	retries    metrics.Counter
	dispatched metrics.Counter
	replayed   metrics.Counter
	unknown    metrics.Counter
	unstored   metrics.Counter
	limited    metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("service."+name, r) }
	return counters{
		requests: counter("requests"), retries: counter("retries"), dispatched: counter("dispatched_once"),
		replayed: counter("replayed"), unknown: counter("outcome_unknown"), unstored: counter("answers_unstored"),
		limited: counter("limited"),
	}
}
