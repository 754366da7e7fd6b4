// Package membership detects failed entry instances and spreads small items between them.
//
// Table is a state machine of the SWIM family. It opens no connection, starts no goroutine and
// reads no clock: a driver calls Tick at least every TickInterval, passes on received packets,
// and sends the packets that both return. It must be used from one goroutine at a time.
//
// Each probe interval one member is probed, through three helpers if it does not answer. A member
// that answers neither way is suspected and declared dead after the suspicion time, unless it
// refutes the suspicion with a higher incarnation number. Members are identified by address; an
// incarnation starts at the start time in milliseconds, so a restarted process at the same address
// supersedes its predecessor.
//
// News is sent to a few members at once and then piggybacked on probes, for a number of
// transmissions that grows with the logarithm of the member count. A periodic comparison of digests
// repairs what was lost. Dead members are probed at a low rate until they are forgotten, so that the
// sides of a healed cut find each other again.
//
// Usage:
//
//	t, err := membership.New(membership.Config{Fleet: "krpanka", Self: self, Seeds: seeds}, rng, now)
//	for _, p := range t.Tick(now) {
//		send(p.To, encode(p))
//	}
//	for _, p := range t.Receive(from, packet, now) {
//		send(p.To, encode(p))
//	}
//	for _, e := range t.Events() {
//		...
//	}
package membership
