//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	otherKey   = "key-two"
	revokeTime = 5 * time.Second // revokeTime is revoke_ms of the settings.
)

// withKeys returns the configuration with a version and the keys of its tenants.
func withKeys(version int, keys ...string) map[string]any {
	c := configuration(version)
	c["tenants"] = []map[string]any{{"name": "tenant-one", "api_keys": keys}}
	return c
}

// copyRestart lets the store come back from a copy in which a key is still valid, and kills and restarts an instance then.
func copyRestart(e *env) (bool, error) {
	for _, id := range []string{"w-a", "w-b", "w-c"} {
		w := &worker{id: id, service: "desk", address: "127.0.0.2:0", work: 5 * time.Millisecond, store: e.store, record: e.record}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	e.store.era = 1
	e.store.put("op", "config", withKeys(3, key, otherKey))
	instances, err := e.startFleet(4)
	if err != nil {
		return false, err
	}
	last := instances[3]
	if a := e.fleet.send(e.fleet.frontend(last), "GET", "/look/1", host, "before", otherKey, time.Second, ""); a.status != http.StatusOK {
		return false, fmt.Errorf("a request before the trouble got %d, %v", a.status, a.err)
	}
	backup := e.store.copy()
	time.Sleep(500 * time.Millisecond)
	revoked := e.store.put("op", "config", withKeys(4, key))
	e.record.add("operator: the store acknowledged version 4, without %s", otherKey)
	time.Sleep(time.Until(revoked.Add(revokeTime + 500*time.Millisecond)))
	if a := e.fleet.send(e.fleet.frontend(last), "GET", "/look/1", host, "after", otherKey, time.Second, ""); a.status != http.StatusUnauthorized {
		return false, fmt.Errorf("a request with a revoked key got %d, %v", a.status, a.err)
	}
	if e.trouble {
		e.store.leave()
		e.record.add("store: away")
		time.Sleep(500 * time.Millisecond)
		e.store.comeBack(backup)
		e.record.add("store: back from a copy with version 3")
		time.Sleep(200 * time.Millisecond)
	}
	e.fleet.signal(last, syscall.SIGKILL)
	_ = last.command.Wait()
	time.Sleep(300 * time.Millisecond)
	if err := e.fleet.start(last); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			for k := 0; !stop.Load(); k++ {
				e.fleet.send(e.fleet.frontend(last), "GET", "/look/1", host, fmt.Sprintf("revoked-%d-%d", n, k), otherKey, time.Second, "")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	e.store.put("op", "config", withKeys(4, key))
	e.record.add("operator: has written version 4 again")
	time.Sleep(2 * time.Second)
	stop.Store(true)
	group.Wait()
	late := e.record.runsOf(func(r run) bool { return r.id != "before" && r.at.Sub(revoked) > revokeTime })
	for _, r := range late {
		e.record.add("%s ran %d ms after the acknowledgement that took its key away", r.id, r.at.Sub(revoked).Milliseconds())
	}
	return len(late) > 0, nil
}
