// Package gateway runs one entry instance in front of targets that a platform lists in its store.
//
// It keeps three things up to date: the routing configuration, with a proof of how recent it is; the list of
// targets; and, on the instance that holds the lease, the layers that each engine holds. Requests are served by
// package exchange from immutable views of them. What the platform's messages look like is the business of the
// Platform that is passed in.
//
// Usage:
//
//	s, err := gateway.New(ctx, settings, platform)
//	if err != nil { ... }
//	err = s.Wait() // It returns after SIGTERM, once every request in flight has its answer.
package gateway
