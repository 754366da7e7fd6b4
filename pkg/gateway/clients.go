package gateway

import (
	"context"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
)

const (
	// bodyFraction is the fraction of the process's memory that the bodies of requests may take up.
	bodyFraction = 0.2
	// connectionFraction is the fraction of the process's memory that the connections of clients may take up.
	connectionFraction = 0.4
	// connectionBytes is the memory of a connection whose client sends a header of the largest size that the server reads.
	connectionBytes = 96 << 10
	// requestFraction is the fraction of the process's memory that running requests may take up, and requestBytes what each of them takes
	// up: connections to the client and to a target, their buffers and goroutines.
	requestFraction = 0.25
	requestBytes    = 100 << 10
	// fullRetryAfter is the Retry-After of a request that comes to an instance with too many. It is short because other instances have
	// room.
	fullRetryAfter = 200 * time.Millisecond
	// reservedDescriptors is the number of descriptors that are not available to connections.
	reservedDescriptors = 200
	// descriptorFraction is the fraction of the other descriptors that the connections of clients may use. The rest is for
	// connections to targets, instances and the store.
	descriptorFraction = 0.75
	// closingFraction is the number of connections that may be in the course of being closed, as a fraction of those that may be open.
	closingFraction = 0.25
	// writeTimeout bounds the time from the end of a request's header to that of a response to a request that is not served. Requests that
	// are served set a deadline of their own.
	writeTimeout = 2 * requestbody.MaxReadTime
	// clientReportInterval is how often it is logged that clients had to give way.
	clientReportInterval = time.Second
)

// clientLimits returns how many bytes of bodies and how many connections of clients the instance holds at most.
func clientLimits(s Settings) (bodyBytes int64, connections int) {
	bodyBytes = int64(bodyFraction * float64(s.MemoryLimit))
	connections = max(int(connectionFraction*float64(s.MemoryLimit)/connectionBytes), 1)
	if s.DescriptorLimit > 0 {
		connections = min(connections, max(int(descriptorFraction*float64(s.DescriptorLimit-reservedDescriptors)), 1))
	}
	return bodyBytes, connections
}

// maxRunning returns how many requests may run at a time. After a restart of all instances, the first that is ready gets the requests of
// all, which would exceed its memory.
func maxRunning(s Settings) int {
	return max(int(requestFraction*float64(s.MemoryLimit)/requestBytes), 1)
}

// fullError returns the refusal of a request while too many run.
func fullError() error {
	return refusal.New(http.StatusServiceUnavailable, "instance_full", outcome.NotRun, "this instance runs too many requests").
		WithRetryAfter(fullRetryAfter)
}

// endIncompleteRequest ends the request whose incomplete body has held the most for longest, and reports whether there is one: clients
// that stop in the middle of a body must not keep others out.
func (g *Gateway) endIncompleteRequest() bool {
	return g.bodies != nil && g.bodies.EvictWorst(time.Now())
}

// newClientServer returns the server of client requests, with the limits on what clients hold of the instance's memory and descriptors.
func (g *Gateway) newClientServer(ctx context.Context) *khttp.Server {
	bodyBytes, connections := clientLimits(g.settings)
	g.bodies = bytebudget.New(bodyBytes)
	limited := listener.NewLimitedListener(g.clientListener, connections+max(int(closingFraction*float64(connections)), 1))
	server := newHTTPServer(limited)
	server.WriteTimeout = writeTimeout
	server.Handler = g.platform.NewHandler(g.server, g.limits, g.trackRequest, requestbody.New(g.bodies))
	server.ErrorLog = g.logger.Std("", 0)
	reaper := listener.NewConnReaper(ctx, server.Server, g.timeouts,
		listener.WithMaxConns(limited, connections, g.endIncompleteRequest))
	gauge := func(name string, value func() int64) {
		_ = g.registry.Register("Clients."+name, metrics.NewFunctionalGauge(value))
	}
	gauge("BodyBytes", func() int64 { return g.bodies.Usage().Used })
	gauge("BodiesEvicted", func() int64 { return g.bodies.Usage().Evicted })
	gauge("BodiesDenied", func() int64 { return g.bodies.Usage().Denied })
	gauge("Connections", func() int64 { open, _ := reaper.Counts(); return int64(open) })
	gauge("ConnectionsClosed", func() int64 { _, closed := reaper.Counts(); return closed })
	go g.reportClients(ctx, reaper)
	return server
}

// reportClients logs when clients had to give way, until ctx ends.
func (g *Gateway) reportClients(ctx context.Context, reaper *listener.ConnReaper) {
	var last bytebudget.Usage
	lastClosed := int64(0)
	for ctx.Err() == nil {
		waitFor(ctx, clientReportInterval)
		usage := g.bodies.Usage()
		open, closed := reaper.Counts()
		if usage.Evicted != last.Evicted || usage.Denied != last.Denied || closed != lastClosed {
			g.logger.Warn().Int64("BodyBytes", usage.Used).Int64("BodyLimit", usage.Limit).Int("Incomplete", usage.Incomplete).
				Int64("Evicted", usage.Evicted-last.Evicted).Int64("Denied", usage.Denied-last.Denied).
				Int("Connections", open).Int64("Closed", closed-lastClosed).Msg("clients had to give way")
		}
		last, lastClosed = usage, closed
	}
}
