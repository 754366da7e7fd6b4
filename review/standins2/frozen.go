//go:build review2

package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	applyTime   = 2 * time.Second // applyTime is config_apply_ms of the settings.
	deployments = 3               // deployments is the number of deployments that run side by side.
	freezeTime  = 4 * time.Second
	firstChange = 700 * time.Millisecond // firstChange is the time from the freeze to the first change of the configuration.
	changes     = 2
	changeGap   = 600 * time.Millisecond
)

// keptRoutes is the number of the latest versions whose routes a version has.
const keptRoutes = 12

// withRoutes returns the configuration of a version, which adds a route /vVERSION/ to those of the versions before it.
func withRoutes(version int) map[string]any {
	c := configuration(version)
	routes := c["routes"].([]map[string]any)
	for v := version - keptRoutes + 1; v <= version; v++ {
		added := maps.Clone(routes[0])
		added["name"], added["prefix"] = fmt.Sprintf("v%d", v), fmt.Sprintf("/v%d/", v)
		routes = append(routes, added)
	}
	c["routes"] = routes
	return c
}

// frozenWatcher freezes the first instance of a deployment of four, and changes the configuration twice then.
func frozenWatcher(e *env) (bool, error) {
	var group sync.WaitGroup
	var late atomic.Int64
	errs := make(chan error, deployments)
	for n := range deployments {
		dir := filepath.Join(e.fleet.dir, fmt.Sprint(n))
		if err := os.Mkdir(dir, 0o755); err != nil {
			return false, err
		}
		d, err := newEnv(dir, e.fleet.program, e.record)
		if err != nil {
			return false, err
		}
		defer d.fleet.stop()
		d.network = fmt.Sprintf("127.0.%d", 1+n)
		group.Go(func() {
			if err := d.freeze(n, &late); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return false, err
	default:
		return late.Load() > 0, nil
	}
}

// freeze plays one deployment, and counts the requests that an undisturbed instance refused with 404 although their
// route was acknowledged more than applyTime before they were sent.
func (e *env) freeze(n int, late *atomic.Int64) error {
	for _, id := range []string{"w-a", "w-b", "w-c"} {
		w := &worker{id: fmt.Sprintf("d%d-%s", n, id), service: "desk", address: "127.0.0.2:0", work: 2 * time.Millisecond, store: e.store, record: e.record}
		if err := w.start(); err != nil {
			return err
		}
	}
	version := 100
	e.store.put("op", "config", withRoutes(version))
	instances, err := e.startFleet(4)
	if err != nil {
		return err
	}
	started := time.Now()
	if e.trouble {
		e.fleet.signal(instances[0], syscall.SIGSTOP)
	}
	var group sync.WaitGroup
	for k := range changes {
		time.Sleep(time.Until(started.Add(firstChange + time.Duration(k)*changeGap)))
		version++
		acked := e.store.put("op", "config", withRoutes(version))
		e.record.add("deployment %d: the store acknowledged version %d", n, version)
		for _, x := range instances[1:] {
			group.Go(func() { e.probeRoute(n, x, version, acked, late) })
		}
	}
	time.Sleep(time.Until(started.Add(freezeTime)))
	if e.trouble {
		e.fleet.signal(instances[0], syscall.SIGCONT)
	}
	group.Wait()
	return nil
}

// probeRoute asks an instance, just after applyTime, for the route that a version has added.
func (e *env) probeRoute(n int, x *instance, version int, acked time.Time, late *atomic.Int64) {
	time.Sleep(time.Until(acked.Add(applyTime + 20*time.Millisecond)))
	sent := time.Now()
	id := fmt.Sprintf("d%d-%s-v%d", n, x.name, version)
	a := e.fleet.send(e.fleet.frontend(x), "GET", fmt.Sprintf("/v%d/x", version), host, id, key, time.Second, "")
	if a.status == http.StatusNotFound {
		late.Add(1)
		e.record.add("%s: refused with 404, sent %d ms after version %d was acknowledged", id, sent.Sub(acked).Milliseconds(), version)
	}
}
