// Package proxy serves client requests: it matches the route, selects targets, sends the request, retries it where the
// route allows retries, and forwards the response.
//
// A request whose route is not retryable is sent again only if it provably did not run. A streamed response is
// forwarded one or more complete server-sent events at a time, so that the stream can be resumed on another target
// after a failure.
//
// A model is served along a path: an ordered list of stages, each of which runs some of the model's layers on one
// target. If a target dies or is drained, the path of a running stream is changed to replace the target's stage, or the
// stream is resumed on a new path.
//
// Usage:
//
//	server := proxy.New(snapshots, upstream, stats, proxy.WithLogger(logger))
//	err := server.Serve(ctx, request, w)
//	// A *refusal.Error means that nothing was written. http.ErrAbortHandler means that the response was started and the
//	// connection must be aborted.
package proxy
