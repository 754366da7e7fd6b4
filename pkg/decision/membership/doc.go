// Package membership detects failed instances, and distributes member records and small items, such as
// drains and quarantines, between the instances of a fleet by gossip.
//
// MemberList is a state machine of the SWIM family. It opens no connection, starts no goroutine and
// reads no clock: the caller calls Tick at least every TickInterval, passes received packets to Receive,
// and sends the packets that both return. It must be used from one goroutine at a time.
//
// In each probe interval one member is probed, indirectly through three relays if it does not answer. A member
// that answers neither way is suspected, and declared dead after the suspicion timeout unless it
// refutes the suspicion: it announces itself as alive with a higher incarnation number. Members are identified
// by address. The first incarnation number of a process is its start time in milliseconds, so a restarted
// process at the same address supersedes its predecessor.
//
// A new or changed record or item is an update. Updates are sent to a few members immediately and then
// piggybacked on probes, for a number of transmissions that grows with the logarithm of the member count. A
// periodic comparison of digests, which are hashes of all live members and items, repairs lost updates.
//
// Records of dead and departed members are kept for a while as tombstones, so that an outdated record does
// not restore these members. Dead members are probed at a low rate until their tombstones are removed, so that
// the partitions find each other again after a network partition has healed.
//
// Usage:
//
//	l, err := membership.New(membership.Config{Fleet: "krpanka", Self: self, Seeds: seeds}, rng, now)
//	for _, p := range l.Tick(now) {
//		send(p.To, encode(p))
//	}
//	for _, p := range l.Receive(from, packet, now) {
//		send(p.To, encode(p))
//	}
//	for _, e := range l.Events() {
//		...
//	}
package membership
