// Package engine is the HTTP client of a model engine. It batches the steps of many streams into few
// requests, matches the streamed results to the pending steps, and implements the engine's unary calls.
//
// A step asks an engine to run some of its layers on some positions of a request. A step with one position other than
// the first is a decode step; every other step is a prefill. The generation of a request is a number that increases each
// time the request gets a new route. A call is one HTTP request: a batch of steps, or a unary call with one message each
// way.
//
// A Client belongs to one target. It has one sender goroutine for prefills and one for decode steps. Each
// sends all queued steps in one call and limits the number of calls in flight. A slow prefill therefore
// delays neither other prefills nor decode steps.
//
// Usage:
//
//	client := engine.New(netip.MustParseAddrPort("127.0.0.1:7001"))
//	defer client.Close()
//	result, err := client.Step(ctx, step)
//	if err != nil && refusal.OutcomeOf(err) == outcome.NotRun {
//		// No byte of the step reached the target.
//	}
package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// DefaultInFlight is the maximum number of calls in flight for each kind of step (prefill and decode). A few calls
// suffice, since all queued steps share the next call.
const DefaultInFlight = 4

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	address  netip.AddrPort
	base     string // base is the URL that the paths of calls are appended to.
	inFlight int    // inFlight is the maximum number of calls in flight for each kind of step.
	registry metrics.Registry
	counters counters
	dial     func(ctx context.Context, network, address string) (net.Conn, error)

	stepClient  *http.Client
	unaryClient *http.Client

	pending      *pendingSteps
	decodeQueue  *stepQueue
	prefillQueue *stepQueue

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Option configures a Client.
type Option func(*Client)

// WithInFlight sets the maximum number of calls in flight for each kind of step.
func WithInFlight(n int) Option {
	return func(c *Client) { c.inFlight = n }
}

// WithRegistry sets the metrics registry. Clients with the same registry share their counters.
func WithRegistry(r metrics.Registry) Option {
	return func(c *Client) { c.registry = r }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// New returns a client of the engine at address. It opens no connection before the first call.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{address: address, base: "http://" + address.String(), inFlight: DefaultInFlight, pending: newPendingSteps()}
	c.dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	for _, option := range options {
		option(c)
	}
	if c.registry == nil {
		c.registry = metrics.NewRegistry()
	}
	c.counters = newCounters(c.registry)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.stepClient = newHTTPClient(c.dial, 2*c.inFlight)
	c.unaryClient = newHTTPClient(c.dial, unaryConnections)
	c.decodeQueue = newStepQueue(c.inFlight)
	c.prefillQueue = newStepQueue(c.inFlight)
	for _, q := range []*stepQueue{c.decodeQueue, c.prefillQueue} {
		c.goroutines.Go(func() { c.sendLoop(q) })
	}
	return c
}

// Address returns the engine's address.
func (c *Client) Address() netip.AddrPort {
	return c.address
}

// Idle reports whether no step is queued or waits for its result.
func (c *Client) Idle() bool {
	return c.pending.len() == 0
}

// Close stops the client and fails all pending steps.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
	c.pending.failAll(c.newError("step", outcome.Unknown, errClosed))
	c.stepClient.CloseIdleConnections()
	c.unaryClient.CloseIdleConnections()
}

// Step sends a step with the next batch and returns its result, whatever the result's status. The error is an
// *Error whose outcome says whether the step may have reached the engine.
func (c *Client) Step(ctx context.Context, step *enginepb.Step) (*enginepb.StepResult, error) {
	if c.ctx.Err() != nil {
		return nil, c.newError("step", outcome.NotRun, errClosed)
	}
	p, ok := c.pending.add(step)
	if !ok {
		return nil, c.newError("step", outcome.NotRun, errDuplicate)
	}
	c.queueFor(step).submit(p)
	select {
	case r := <-p.reply:
		return r.result, r.err
	case <-ctx.Done():
		return c.abandon(p, ctx.Err())
	case <-c.ctx.Done():
		return c.abandon(p, errClosed)
	}
}

// abandon ends the wait for a step because of cause. If the reply arrived first, it returns the reply.
func (c *Client) abandon(p *pendingStep, cause error) (*enginepb.StepResult, error) {
	sent, replied := c.pending.abandon(p)
	if replied {
		r := <-p.reply
		return r.result, r.err
	}
	if sent {
		return nil, c.newError("step", outcome.Unknown, cause)
	}
	return nil, c.newError("step", outcome.NotRun, cause)
}

// queueFor returns the queue for a step. Prefills take long and have a queue separate from decode steps.
func (c *Client) queueFor(step *enginepb.Step) *stepQueue {
	if step.GetCount() == 1 && step.GetPosition() > 0 {
		return c.decodeQueue
	}
	return c.prefillQueue
}
