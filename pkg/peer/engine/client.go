// Package engine is the client of a model engine. It batches the steps of many streams into few
// messages, matches the streamed results to the steps that wait for them, and offers the engine's
// other calls.
//
// A Client belongs to one target. Two sender goroutines, one for prefills and one for decode steps, each send
// everything that is pending in one call, with a small number of calls in flight. A slow prefill
// therefore holds up neither other prefills nor decode steps.
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
	"net/http"
	"net/netip"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// DefaultInFlight is the number of calls in flight for each of the two kinds of steps. A few calls
// suffice, since everything pending shares the next one.
const DefaultInFlight = 4

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	address  netip.AddrPort
	base     string
	inFlight int
	registry metrics.Registry
	counters counters

	stepping *http.Client
	unary    *http.Client

	waiting *waiting
	decode  *lane
	prefill *lane

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option changes a client.
type Option func(*Client)

// WithInFlight sets the number of calls in flight for each kind of steps.
func WithInFlight(n int) Option {
	return func(c *Client) { c.inFlight = n }
}

// WithRegistry sets the registry that holds the client's metrics. Clients with the same registry add up.
func WithRegistry(r metrics.Registry) Option {
	return func(c *Client) { c.registry = r }
}

// New returns a client of the engine at address. Nothing is sent before the first call.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{address: address, base: "http://" + address.String(), inFlight: DefaultInFlight, waiting: newWaiting()}
	for _, option := range options {
		option(c)
	}
	if c.registry == nil {
		c.registry = metrics.NewRegistry()
	}
	c.counters = newCounters(c.registry)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.stepping = newHTTPClient(2 * c.inFlight)
	c.unary = newHTTPClient(unaryConnections)
	c.decode = newLane(c.inFlight)
	c.prefill = newLane(c.inFlight)
	for _, l := range []*lane{c.decode, c.prefill} {
		c.done.Go(func() { c.send(l) })
	}
	return c
}

// Address returns the address of the engine.
func (c *Client) Address() netip.AddrPort {
	return c.address
}

// Idle reports whether no step is waiting for its result.
func (c *Client) Idle() bool {
	return c.waiting.size() == 0
}

// Close ends the client. Steps that still wait fail.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
	c.waiting.failAll(c.fail("step", outcome.Unknown, errClosed))
	c.stepping.CloseIdleConnections()
	c.unary.CloseIdleConnections()
}

// Step sends a step with the next batch and returns its result, whatever its status. An error is an *Error and
// says whether the step may have reached the engine.
func (c *Client) Step(ctx context.Context, step *enginepb.Step) (*enginepb.StepResult, error) {
	if c.ctx.Err() != nil {
		return nil, c.fail("step", outcome.NotRun, errClosed)
	}
	w, ok := c.waiting.add(step)
	if !ok {
		return nil, c.fail("step", outcome.NotRun, errDuplicate)
	}
	c.laneOf(step).submit(w)
	select {
	case r := <-w.reply:
		return r.result, r.err
	case <-ctx.Done():
		return c.abandon(w, ctx.Err())
	case <-c.ctx.Done():
		return c.abandon(w, errClosed)
	}
}

func (c *Client) abandon(w *waiter, cause error) (*enginepb.StepResult, error) {
	sent, replied := c.waiting.abandon(w)
	if replied {
		r := <-w.reply
		return r.result, r.err
	}
	if sent {
		return nil, c.fail("step", outcome.Unknown, cause)
	}
	return nil, c.fail("step", outcome.NotRun, cause)
}

// laneOf separates prefills, which take long, from decode steps.
func (c *Client) laneOf(step *enginepb.Step) *lane {
	if step.GetCount() == 1 && step.GetPosition() > 0 {
		return c.decode
	}
	return c.prefill
}
