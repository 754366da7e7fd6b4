// Package connection keeps HTTP/1.1 connections to targets and exchanges one request at a time on each.
//
// It differs from the standard library's transport in what a router must know about a failed
// exchange. Nothing is ever sent twice by the pool itself; an error says whether any byte left; a
// response is matched to its request by an ID that the target echoes, so that a late second response
// to an earlier request is dropped; and a connection with bytes that belong to no request is closed.
//
// Usage:
//
//	pool := connection.New()
//	c, err := pool.Get(ctx, address)
//	if err != nil { ... } // Nothing was sent.
//	response, err := c.Exchange(request, body, match)
//	...
//	pool.Put(c) // Or c.Close() after any doubt.
package connection
