// Package connection pools HTTP/1.1 connections to targets and carries one exchange at a time on each.
//
// It differs from http.Transport in what a router must know about a failed exchange. The pool never retries by itself;
// an error says whether any byte was sent; a response is matched to its request by an ID that the target echoes, so
// that a late duplicate response to an earlier request is dropped; and a connection with bytes that belong to no
// request is closed.
//
// Usage:
//
//	pool := connection.New()
//	c, err := pool.Get(ctx, address, maxIdleTime)
//	if err != nil { ... } // Nothing was sent.
//	response, err := c.RoundTrip(head, body, request, match)
//	...
//	c.Release(pool) // Or c.Close() after any error.
package connection
