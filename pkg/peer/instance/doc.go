// Package instance connects instances with each other: gossip and status updates over UDP, and RPCs by drpc over
// TCP, both on the same port number.
//
// Node runs the state machines of packages membership and configsync in one goroutine, called the control
// goroutine, and provides immutable snapshots of their state, called views, to other goroutines. The daemon
// supplies a ConfigSource, which reads configuration changes from the platform's table, and a ConfigApplier, which
// applies them. The head row of the table contains the latest configuration version.
//
// Usage:
//
//	n, err := instance.New(ctx, instance.Config{Fleet: "krpanka", Name: "e1", DataCentre: "a", Address: addr},
//		instance.WithConfigSource(source), instance.WithConfigApplier(applier))
//	n.OnItem(func(i membership.Item) { ... })
//	err = n.Publish(membership.Drain{Target: "w1", At: now, Expires: now.Add(time.Hour)})
//	for _, m := range n.Members() { ... }
//	err = n.Close()
package instance
