// Package proxy serves one request of a caller: it finds the route, chooses targets, sends, retries where that is
// allowed, and passes the answer on.
//
// A request that may not be repeated is sent again only if it provably did not run. A stream is passed on event by
// event, whole events only, so that after the loss of a target it goes on at another one with the event that
// follows.
//
// Usage:
//
//	server := proxy.New(snapshots, upstream, stats, proxy.WithLogger(logger))
//	err := server.Serve(ctx, request, w)
//	// An error is a *refusal.Error, and nothing was written.
package proxy
