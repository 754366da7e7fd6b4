// Package proxy serves client requests: it matches the route, selects targets, sends the request, retries it where that
// is allowed, and forwards the response.
//
// A request whose route is not retryable is sent again only if it provably did not run. A stream is forwarded in
// complete events, so that after the loss of a target it is resumed on another one with the next event.
//
// Usage:
//
//	server := proxy.New(snapshots, upstream, stats, proxy.WithLogger(logger))
//	err := server.Serve(ctx, request, w)
//	// An error is a *refusal.Error, and nothing was written.
package proxy
