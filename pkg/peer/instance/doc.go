// Package instance connects instances with each other: gossip over UDP and calls by drpc over
// TCP, both on the same port number.
//
// Node owns the state machines of packages membership and configsync in one control goroutine and provides
// immutable snapshots to readers. The daemon supplies a ConfigSource, which reads configuration changes from
// the platform's table, and a ConfigApplier, which applies them.
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
