package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout is far above the round trip in a region.
	dialTimeout = time.Second
	// connectionsPerTarget keeps the idle connections that a rush needs.
	connectionsPerTarget = 32
	// maxAnswer bounds the body of an answer, which is stored with its claim.
	maxAnswer = 1 << 20
)

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	targets  Targets
	claimer  Claimer
	budget   RetryBudget
	holder   DrainCounter
	now      func() time.Time
	logger   *log.Logger
	registry metrics.Registry
	counters counters
	balancer *balancer
	// once uses a new connection for each request. A pooled one may be closed by its target at any
	// time, and net/http then sends a request with an Idempotency-Key again by itself.
	once *http.Client
	// pooled is for idempotent requests.
	pooled *http.Client
}

// Option changes a client.
type Option func(*Client)

// WithRetryBudget limits retries by b.
func WithRetryBudget(b RetryBudget) Option {
	return func(c *Client) { c.budget = b }
}

// WithDrainCounter counts the storing of first answers as work that a planned stop waits for.
func WithDrainCounter(h DrainCounter) Option {
	return func(c *Client) { c.holder = h }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(c *Client) { c.now = now }
}

// WithLogger replaces the logger.
func WithLogger(l *log.Logger) Option {
	return func(c *Client) { c.logger = l }
}

// WithRegistry sets the registry that holds the client's metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(c *Client) { c.registry = r }
}

// New returns a client that chooses among targets and claims by claimer.
func New(targets Targets, claimer Claimer, options ...Option) *Client {
	c := &Client{
		targets: targets, claimer: claimer, budget: noBudget{}, holder: noHolder{}, now: time.Now,
		logger: &log.DefaultLogger, balancer: newBalancer(), once: newHTTPClient(true), pooled: newHTTPClient(false),
	}
	for _, option := range options {
		option(c)
	}
	if c.registry == nil {
		c.registry = metrics.NewRegistry()
	}
	c.counters = newCounters(c.registry)
	return c
}

// Do sends a request and returns the target's answer, whatever its status. An error has a refusal in its chain.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	c.counters.requests.Inc(1)
	if req.Idempotent {
		return c.repeat(ctx, req)
	}
	return c.claimed(ctx, req)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.once.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

func newHTTPClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: connectionsPerTarget,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
		},
		// A followed redirect would dispatch the request again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type noBudget struct{}

func (noBudget) RecordRequest(string, time.Time) {}
func (noBudget) Allow(string, time.Time) bool    { return true }

type noHolder struct{}

func (noHolder) EnterDependent() func() { return func() {} }

type counters struct {
	requests   metrics.Counter
	retries    metrics.Counter
	dispatched metrics.Counter
	replayed   metrics.Counter
	unknown    metrics.Counter
	unstored   metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("service."+name, r) }
	return counters{
		requests: counter("requests"), retries: counter("retries"), dispatched: counter("dispatched_once"),
		replayed: counter("replayed"), unknown: counter("outcome_unknown"), unstored: counter("answers_unstored"),
	}
}
