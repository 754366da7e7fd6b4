// Package configsync decides how configuration versions are distributed to all instances.
//
// Syncer is a state machine. It reads no clock, opens no connection and starts no goroutine: a driver
// calls its methods with the current time and performs the actions that they return. It must be used
// from one goroutine at a time.
//
// In each data centre the two live instances with the highest rendezvous hash read the head row of
// the table each second. An instance advertises its version by gossip. The others fetch the change
// records from such a peer, and also from the table once they have been behind for two seconds.
// Changes are applied in order and without gaps. A lower version is never applied, and a failure never
// removes the active version.
//
// Usage:
//
//	s := configsync.New(self, rng)
//	s.SetMembers(members)
//	for _, a := range s.Tick(now) {
//		switch a.Kind {
//		case configsync.ReadHead: // later: s.HeadRead(version, err, now)
//		case configsync.Fetch: // later: s.Fetched(a, versions, trimmed, err, now)
//		}
//	}
package configsync
