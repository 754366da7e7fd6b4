// Package configsync decides how configuration versions are distributed to all instances.
//
// Each committed change of the configuration has a version number. The changes and the whole
// configuration are stored in a table of the platform, whose head row contains the latest version. The
// active version of an instance is the one that it has applied. An instance is behind while it knows of
// a version higher than its active one.
//
// Syncer is a state machine. It reads no clock, opens no connection and starts no goroutine: a driver
// calls its methods with the current time and performs the actions that they return. It must be used
// from one goroutine at a time.
//
// In each data centre two live instances are pollers at a time, and read the head row each second: the one with the highest
// rendezvous hash, and one of the others, which take turns. So a version is found although both pollers of a moment are frozen or
// cut off from the table. Every instance advertises its active version by gossip. An instance that is
// behind fetches the missing changes from a peer that advertised a higher version, and once it has been
// behind for two seconds, from the table as well. Changes are applied in order and without gaps. A lower
// version is never applied, and a failure never removes the active version.
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
