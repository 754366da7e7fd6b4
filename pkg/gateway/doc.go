// Package gateway runs one instance in front of targets that a platform lists in its store.
//
// It maintains the routing configuration, with the time at which the configuration was last confirmed as the newest;
// the target list, which has one entry per target; and, on the instance that holds the lease for assignments, the layer
// range that each engine is assigned. Package proxy serves requests from immutable snapshots of the configuration and
// the target list. The Platform passed to New reads and writes the platform's formats.
//
// In each data centre one instance, the watcher, watches the configuration and the target list in the store and relays
// changes to the other instances in status updates. Instances without a watcher read the store themselves. An engine's
// layers change before its entry does, so instances also send each other the layers that engines report.
//
// Usage:
//
//	g, err := gateway.New(ctx, settings, platform)
//	if err != nil { ... }
//	err = g.Wait() // Returns after SIGTERM, when the requests in flight have ended or the grace period is over.
package gateway
