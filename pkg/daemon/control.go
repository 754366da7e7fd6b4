package daemon

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/decision/targetregistry"
	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// listInterval and the list's own timeout keep a leaving target in use for at most 2 s after
	// the list shows it; the stated bound is 3 s.
	listInterval = time.Second
	// tickInterval is how often queued requests are checked against their deadlines.
	tickInterval = 50 * time.Millisecond
	// entryRole is the role of entry instances in the platform's list.
	entryRole = "Entry"
	// engineRole is the role of model engines; every other role is the name of a plain service.
	engineRole = "Engine"
	// eventQueue holds control events while the control goroutine is busy.
	eventQueue = 256
)

// control owns the control state of an instance. Only its goroutine touches the roster; traffic
// goroutines read the snapshots that it publishes.
type control struct {
	d       *Daemon
	roster  *targetregistry.Registry
	events  chan func(now time.Time)
	targets atomic.Pointer[[]target.Target]
	engines map[string]*engineView
	polling []string
	drains  map[string]membership.Drain
	listed  atomic.Bool
	routed  atomic.Bool // routed is set once the instance knows enough of the engines to serve.

	failing     map[string]bool // failing names the engines whose newest poll failed.
	urgent      int             // urgent counts the polls, of which each second one may go to an urgent engine.
	changing    map[string]bool // changing names the engines that get no new work because their layers change.
	changed     map[string]bool // changed names the engines that got other layers and were not heard since.
	eventBytes  eventBudget
	wantsEvents bool // wantsEvents means that the present poll may ask for cache events.

	placed atomic.Pointer[[]rollout.TargetState]
}

func newControl(d *Daemon) *control {
	c := &control{
		d: d, roster: targetregistry.New(), events: make(chan func(time.Time), eventQueue),
		engines: make(map[string]*engineView), drains: make(map[string]membership.Drain),
		failing: make(map[string]bool), changing: make(map[string]bool), changed: make(map[string]bool),
		eventBytes: eventBurst,
	}
	c.targets.Store(&[]target.Target{})
	c.placed.Store(&[]rollout.TargetState{})
	return c
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) {
	list := time.NewTicker(listInterval)
	defer list.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	reports := time.NewTicker(time.Second / reportsPerSecond)
	defer reports.Stop()
	c.pollList(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(time.Now())
		case now := <-list.C:
			c.pollList(ctx)
			c.refreshDrains(now)
			c.setCapacity()
			c.publishLoad()
		case <-reports.C:
			c.pollReports(ctx)
		case now := <-tick.C:
			c.d.gate.admission.Tick(now)
			c.d.ledger.BroadcastNew(now)
		}
	}
}

// post hands an event to the control goroutine. It is dropped if the instance stops.
func (c *control) post(ctx context.Context, event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// pollList reads the platform's list outside the control goroutine.
func (c *control) pollList(ctx context.Context) {
	go func() {
		listed, err := c.d.list.List(ctx)
		if err != nil {
			c.d.counters.listFailures.Inc(1)
			return
		}
		c.post(ctx, func(now time.Time) { c.observeList(listed, now) })
	}()
}

func (c *control) observeList(listed []instancelist.Instance, now time.Time) {
	var targets []target.Target
	var peers []netip.AddrPort
	for _, i := range listed {
		if i.Role == entryRole {
			peers = append(peers, i.Address)
			continue
		}
		targets = append(targets, listedTarget(i))
	}
	c.d.node.SetSeeds(append(peers, c.d.settings.Seeds...))
	c.roster.UpdateListed(targets, now)
	c.listed.Store(true)
	c.publish()
}

func listedTarget(i instancelist.Instance) target.Target {
	t := target.Target{Name: i.Name, Address: i.Address, DataCentre: i.DataCentre, State: target.State(i.State)}
	if i.Role == engineRole {
		t.Kind = target.Engine
		return t
	}
	t.Kind, t.Service = target.Service, i.Role
	return t
}

// publish gives traffic goroutines the targets in force.
func (c *control) publish() {
	targets := c.roster.Targets()
	c.forgetEngines(targets)
	c.publishPlaced(targets)
	for i := range targets {
		if name := targets[i].Name; c.changing[name] || c.changed[name] {
			targets[i].State = target.Leaving
		}
	}
	c.targets.Store(&targets)
	var routable []target.Target
	var addresses []netip.AddrPort
	for _, t := range targets {
		addresses = append(addresses, t.Address)
		if t.Kind == target.Engine && t.Layers.Valid() {
			routable = append(routable, t)
		}
	}
	c.d.picker.SetTargets(c.servingVersions(routable))
	c.d.engines.Retain(addresses)
	c.setCapacity()
}

func (c *control) forgetEngines(targets []target.Target) {
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		if t.Kind != target.Engine {
			continue
		}
		known[t.Name] = true
		if c.engines[t.Name] == nil {
			c.engines[t.Name] = &engineView{}
			// A new engine is asked first: without its layers it cannot be used.
			c.polling = append([]string{t.Name}, c.polling...)
		}
	}
	for name := range c.engines {
		if !known[name] {
			delete(c.engines, name)
			delete(c.failing, name)
			delete(c.changed, name)
		}
	}
}

// observeLeaving takes a target's announcement in the answer to a step.
func (c *control) observeLeaving(ctx context.Context, name string) {
	c.post(ctx, func(time.Time) {
		c.roster.MarkLeaving(name)
		c.publish()
	})
}

// observeItem takes news from another instance.
func (c *control) observeItem(ctx context.Context, item membership.Item) {
	switch i := item.(type) {
	case membership.Drain:
		c.post(ctx, func(now time.Time) { c.observeDrain(i, now) })
	case membership.Quarantine:
		c.d.ledger.AddRemote(i, time.Now())
	}
}

func (c *control) observeDrain(d membership.Drain, now time.Time) {
	c.drains[d.Target] = d
	if engine, changed := strings.CutPrefix(d.Target, placementDrain); changed && d.Cancelled && c.engines[engine] != nil {
		// What this instance knows of the engine's layers is older than their change.
		c.changed[engine] = true
		c.engines[engine].polled = now.Add(-urgentInterval)
		c.engines[engine].changedAt = now
	}
	c.refreshDrains(now)
}

// refreshDrains passes the drains that have not ended to the roster.
func (c *control) refreshDrains(now time.Time) {
	var names []string
	clear(c.changing)
	for name, drain := range c.drains {
		if drain.Cancelled || drain.Expired(now) {
			delete(c.drains, name)
			continue
		}
		if engine, changing := strings.CutPrefix(name, placementDrain); changing {
			c.changing[engine] = true
			continue
		}
		names = append(names, name)
	}
	c.roster.SetDrained(names)
	c.publish()
}

func (c *control) publishLoad() {
	share := membership.LoadReport{
		Origin: c.d.node.Address(), At: time.Now(),
		Running: uint32(c.d.running.Running()), Queued: uint32(c.d.gate.admission.Queued()),
	}
	if err := c.d.node.Publish(share); err != nil {
		c.d.logger.Warn().Err(err).Msg("the load share could not be published")
	}
}

// setCapacity gives admission this instance's share of the streams that the engines can bear.
func (c *control) setCapacity() {
	instances := max(len(c.d.node.Members()), 1)
	c.d.gate.admission.SetCapacity(time.Now(), c.streams()*c.d.gate.meanCost()/float64(instances))
}
