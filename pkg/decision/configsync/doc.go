// Package configsync decides how configuration versions reach every instance.
//
// Spreader is a state machine. It reads no clock, opens no connection and starts no goroutine: a
// driver calls its methods with the present time and carries out the actions that they return. It
// must be used from one goroutine at a time.
//
// In each data centre the two live instances with the highest rendezvous hash read the head row of
// the table each second. Whoever holds a version says so by gossip; the others fetch the change
// records from that peer, and from the table once they have been behind for two seconds. Changes
// are applied in order without gaps. A lower version is never applied, and nothing that fails takes
// the present version away.
//
// Usage:
//
//	s := configsync.New(self, rng)
//	s.SetMembers(table.Members())
//	for _, a := range s.Tick(now) {
//		switch a.Do {
//		case configsync.ReadHead: // later: s.HeadRead(version, err, now)
//		case configsync.Fetch: // later: s.Fetched(a, versions, snapshot, err, now)
//		}
//	}
package configsync
