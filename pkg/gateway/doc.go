// Package gateway runs one instance in front of targets that a platform lists in its store.
//
// It keeps three things up to date: the routing configuration, with the time at which it was last confirmed as the newest;
// the list of targets; and, on the instance that holds the lease, the layers that each engine is assigned. Package proxy
// serves requests from immutable snapshots of them. The Platform that is passed in defines the format of the platform's
// messages.
//
// Usage:
//
//	g, err := gateway.New(ctx, settings, platform)
//	if err != nil { ... }
//	err = g.Wait() // It returns after SIGTERM, once all requests in flight have their response.
package gateway
