// Package instance connects entry instances with each other: gossip over UDP and calls by drpc over
// TCP, both on the same port number.
//
// Node owns the state machines of packages membership and spread in one control goroutine and gives
// readers immutable snapshots. The daemon supplies a Source, which reads configuration changes from
// the platform's table, and an Applier, which puts them in force.
//
// Usage:
//
//	n, err := instance.New(ctx, instance.Config{Fleet: "krpanka", Name: "e1", DataCentre: "a", Address: addr},
//		instance.WithSource(source), instance.WithApplier(applier))
//	n.OnItem(func(i membership.Item) { ... })
//	err = n.Publish(membership.Drain{Target: "w1", At: now, Expires: now.Add(time.Hour)})
//	for _, m := range n.Members() { ... }
//	err = n.Close()
package instance
