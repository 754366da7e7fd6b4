// Package connection pools HTTP/1.1 connections to targets. A connection carries one exchange, a request and its
// response, at a time.
//
// Unlike http.Transport, the package tells a router whether a failed request may have run. The pool never retries by
// itself; an error says whether any byte was sent; a response is matched to its request by an ID that the target
// echoes, so that a late duplicate response to an earlier request is dropped; a request that was refused on a connection is sent
// again on another one, since a duplicate of that refusal has the request's own ID; and a connection that has received bytes
// outside a response is closed.
//
// Usage:
//
//	pool := connection.New()
//	c, err := pool.Get(ctx, address, maxIdleTime)
//	if err != nil { ... } // No byte of the request was sent.
//	response, err := c.RoundTrip(head, body, request, match)
//	...
//	c.Release(pool) // Or c.Close() after any error.
package connection
