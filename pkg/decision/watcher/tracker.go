// Package watcher decides which instance of a data centre reads the platform's store for the others: its watcher.
//
// The watcher is the instance with the lowest address that is not known to be disconnected from the store and that is not
// silent. Each watcher reports as of when it knows the newest state of the store. One that has not reported for silenceLimit, or that
// reports an old state, is passed over at once by those that notice, long before membership declares it dead; the next one by address
// takes over. Instances may differ on the watcher for a short time, and then two of them read.
//
// At most maxSilent instances are passed over for their silence: an instance that hears nobody is itself cut off more
// likely than all others together. When they are used up, no instance takes over, and each reads for itself.
//
// Tracker is a state machine: it reads no clock and sends nothing. It is not safe for concurrent use.
//
// Usage:
//
//	t := watcher.New("dc1")
//	t.Reported(from, readAt, now) // When an instance reports that it has read the store.
//	t.Disconnected(from, now)     // When an instance says that it does not reach the store.
//	address, ok := t.Watcher(self, members, now)
package watcher

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

const (
	// silenceLimit is how long a watcher may be silent. It reports each 300 ms, so that one report may be lost.
	silenceLimit = 650 * time.Millisecond
	// takeoverTime is how long an instance may take to report after it has become the watcher. Others notice the silence of the one before it
	// up to 100 ms earlier than it does.
	takeoverTime = 300 * time.Millisecond
	// staleLimit is the age of the state that a watcher reports from which it is passed over. Reads that wait for changes are answered within
	// 1 s, and the next report follows within 300 ms.
	staleLimit = 1350 * time.Millisecond
	// disconnectedTTL is how long an instance that has said that it does not reach the store is not the watcher.
	disconnectedTTL = 3 * time.Second
	// silentTTL is how long a silent instance is passed over. Membership removes dead ones sooner.
	silentTTL = 10 * time.Second
	// maxSilent bounds the silent instances that are passed over together.
	maxSilent = 3
	// reportTTL is how long the report of an instance is kept.
	reportTTL = time.Minute
)

// report is the last report of an instance.
type report struct {
	heardAt time.Time
	readAt  time.Time // readAt is as of when the instance knew the newest state of the store.
}

// Tracker decides on the watcher of one data centre, as one instance sees it. It must be created by New.
type Tracker struct {
	dataCentre   string
	reports      map[netip.AddrPort]report
	disconnected map[netip.AddrPort]time.Time // disconnected holds until when instances do not reach the store.
	silent       map[netip.AddrPort]time.Time // silent holds until when instances are passed over for their silence.
	current      netip.AddrPort               // current is the watcher as last decided.
	currentSince time.Time                    // currentSince is when it became the watcher.
}

// New returns the tracker of an instance of a data centre.
func New(dataCentre string) *Tracker {
	return &Tracker{
		dataCentre: dataCentre, reports: make(map[netip.AddrPort]report),
		disconnected: make(map[netip.AddrPort]time.Time), silent: make(map[netip.AddrPort]time.Time),
	}
}

// Reported records that an instance has reported as of when it knows the newest state of the store. An instance that has been passed over
// for its silence may be the watcher again if that state is not old.
func (t *Tracker) Reported(from netip.AddrPort, readAt, now time.Time) {
	maps.DeleteFunc(t.reports, func(_ netip.AddrPort, r report) bool { return now.Sub(r.heardAt) > reportTTL })
	t.reports[from] = report{heardAt: now, readAt: readAt}
	if now.Sub(readAt) <= staleLimit {
		delete(t.silent, from)
	}
}

// Disconnected records that an instance does not reach the store.
func (t *Tracker) Disconnected(address netip.AddrPort, now time.Time) {
	t.disconnected[address] = now.Add(disconnectedTTL)
}

// Reconnected records that the store answers again after an outage: all instances lost it together.
func (t *Tracker) Reconnected() { clear(t.disconnected) }

// Watcher returns the watcher of the data centre, which may be this instance, self. It reports false if no member is of the data centre.
func (t *Tracker) Watcher(self netip.AddrPort, members []membership.Member, now time.Time) (address netip.AddrPort, ok bool) {
	t.expire(now)
	for {
		address, ok = t.first(members)
		if address != t.current {
			t.current, t.currentSince = address, now
		}
		_, passedOver := t.silent[address]
		if !ok || address == self || passedOver || len(t.silent) >= maxSilent || !t.isSilent(address, now) {
			return address, ok
		}
		t.silent[address] = now.Add(silentTTL) // Each round passes over another one, so the loop ends.
	}
}

// Watchers returns the address of each data centre's watcher. It notices no silence in other data centres. If all instances of a data
// centre are disconnected or silent, it is the lowest disconnected one, or else the lowest.
func (t *Tracker) Watchers(members []membership.Member) map[string]netip.AddrPort {
	watchers := make(map[string]netip.AddrPort)
	for _, m := range members {
		if address, ok := watchers[m.DataCentre]; !ok || t.precedes(m.Address, address) {
			watchers[m.DataCentre] = m.Address
		}
	}
	return watchers
}

// first returns the watcher among the members of the own data centre. It reports false if there are none.
func (t *Tracker) first(members []membership.Member) (address netip.AddrPort, ok bool) {
	for _, m := range members {
		if m.DataCentre == t.dataCentre && (!ok || t.precedes(m.Address, address)) {
			address, ok = m.Address, true
		}
	}
	return address, ok
}

// precedes reports whether a is rather the watcher than b: connected instances come first, then disconnected ones, then silent ones, each by
// address.
func (t *Tracker) precedes(a, b netip.AddrPort) bool {
	_, silentA := t.silent[a]
	_, silentB := t.silent[b]
	if silentA != silentB {
		return silentB
	}
	if !silentA {
		_, disconnectedA := t.disconnected[a]
		_, disconnectedB := t.disconnected[b]
		if disconnectedA != disconnectedB {
			return disconnectedB
		}
	}
	return a.Compare(b) < 0
}

// expire forgets what is known of instances once its time is over.
func (t *Tracker) expire(now time.Time) {
	over := func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(t.disconnected, over)
	maps.DeleteFunc(t.silent, over)
}

// isSilent reports whether the current watcher has not reported for too long, or reports an old state.
func (t *Tracker) isSilent(address netip.AddrPort, now time.Time) bool {
	r := t.reports[address]
	if now.Sub(r.heardAt) <= silenceLimit && now.Sub(r.readAt) <= staleLimit {
		return false
	}
	if !r.heardAt.Before(t.currentSince) {
		return true
	}
	patience := silenceLimit // It has not reported since it became the watcher.
	if len(t.silent) > 0 || len(t.disconnected) > 0 {
		patience = takeoverTime
	}
	return now.Sub(t.currentSince) > patience
}
