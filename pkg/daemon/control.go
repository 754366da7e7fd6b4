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
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// listInterval and the timeout of the list client limit the use of a leaving target to 2 s after the
	// list shows the target as leaving; the documented limit is 3 s.
	listInterval = time.Second
	// tickInterval is the interval at which queued requests are checked against their deadlines.
	tickInterval = 50 * time.Millisecond
	// requestLimitInterval is how often an instance sends the request limits that it knows, to at most requestLimitFanout
	// others each time.
	requestLimitInterval = 300 * time.Millisecond
	requestLimitFanout   = 24
	// instanceRole is the role of instances of this daemon in the platform's list.
	instanceRole = "Entry"
	// engineRole is the role of model engines; every other role is the name of an HTTP service.
	engineRole = "Engine"
	// eventQueueSize is the number of control events that wait while the control goroutine is busy.
	eventQueueSize = 256
)

// control owns the control state of an instance. Only its goroutine accesses the target registry;
// request goroutines read the snapshots that it publishes.
type control struct {
	d              *Daemon
	targetRegistry *targetregistry.Registry
	events         chan func(now time.Time)
	targets        atomic.Pointer[[]target.Target]
	engines        map[string]*engineView
	pollQueue      []string // pollQueue holds the names of the engines in the order of their next polls.
	drains         map[string]membership.Drain
	listed         atomic.Bool // listed is set once the platform's list has been received.
	routesKnown    atomic.Bool // routesKnown is set once the instance knows enough engines to serve.

	failing        map[string]bool // failing is the set of engines whose latest poll failed.
	pollCount      int             // pollCount counts the polls; every second one may go to an urgent engine.
	layersChanging map[string]bool // layersChanging is the set of engines that get no new work because their layers change.
	layersChanged  map[string]bool // layersChanged is the set of engines that have not reported since their layers changed.
	eventBytes     eventBudget     // eventBytes is the remaining budget for cache events.
	wantsEvents    bool            // wantsEvents means that the current poll may request cache events.

	placementTargets atomic.Pointer[[]rollout.TargetState]
}

func newControl(d *Daemon) *control {
	c := &control{
		d: d, targetRegistry: targetregistry.New(), events: make(chan func(time.Time), eventQueueSize),
		engines: make(map[string]*engineView), drains: make(map[string]membership.Drain),
		failing: make(map[string]bool), layersChanging: make(map[string]bool), layersChanged: make(map[string]bool),
		eventBytes: eventBurst,
	}
	c.targets.Store(&[]target.Target{})
	c.placementTargets.Store(&[]rollout.TargetState{})
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
	limits := time.NewTicker(requestLimitInterval)
	defer limits.Stop()
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
		case now := <-limits.C:
			c.d.sendRequestLimits(now)
		case now := <-tick.C:
			c.d.admission.controller.Tick(now)
			c.d.crashTracker.BroadcastNew(now)
		}
	}
}

// post queues an event for the control goroutine. The event is dropped if the instance stops.
func (c *control) post(ctx context.Context, event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// pollList fetches the platform's list in a goroutine of its own and posts the result.
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

// retainRequestLimits forgets the request limits of targets that are not listed.
func (c *control) retainRequestLimits(listed []target.Target) {
	hashes := make(map[uint64]bool, len(listed))
	for _, t := range listed {
		hashes[targetstats.TargetHash(t.Name)] = true
	}
	c.d.requestLimiter.Retain(func(hash uint64) bool { return hashes[hash] })
}

// observeList updates the peers to join and the target registry from the platform's list.
func (c *control) observeList(listed []instancelist.Instance, now time.Time) {
	var targets []target.Target
	var peers []netip.AddrPort
	for _, i := range listed {
		if i.Role == instanceRole {
			peers = append(peers, i.Address)
			continue
		}
		targets = append(targets, listedTarget(i))
	}
	c.d.node.SetSeeds(append(peers, c.d.settings.Seeds...))
	c.targetRegistry.UpdateListed(targets, now)
	c.retainRequestLimits(targets)
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

// publish updates the target snapshots that request goroutines and the placement controller read, and the
// admission capacity. It also removes the state and the clients of engines that are no longer listed.
func (c *control) publish() {
	targets := c.targetRegistry.Targets()
	c.updateEngines(targets)
	c.publishPlacementTargets(targets)
	for i := range targets {
		if name := targets[i].Name; c.layersChanging[name] || c.layersChanged[name] {
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
	c.d.picker.SetTargets(c.selectServingVersions(routable))
	c.d.engines.Retain(addresses)
	c.setCapacity()
}

// updateEngines adds the engines that are new in targets and removes those that are no longer listed.
func (c *control) updateEngines(targets []target.Target) {
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		if t.Kind != target.Engine {
			continue
		}
		known[t.Name] = true
		if c.engines[t.Name] == nil {
			c.engines[t.Name] = &engineView{}
			// A new engine is polled first: it cannot be used until its layers are known.
			c.pollQueue = append([]string{t.Name}, c.pollQueue...)
		}
	}
	for name := range c.engines {
		if !known[name] {
			delete(c.engines, name)
			delete(c.failing, name)
			delete(c.layersChanged, name)
		}
	}
}

// observeLeaving handles a target's announcement, in the response to a step, that the target is leaving.
func (c *control) observeLeaving(ctx context.Context, name string) {
	c.post(ctx, func(time.Time) {
		c.targetRegistry.MarkLeaving(name)
		c.publish()
	})
}

// observeItem handles a gossip item from another instance.
func (c *control) observeItem(ctx context.Context, item membership.Item) {
	switch i := item.(type) {
	case membership.Drain:
		c.post(ctx, func(now time.Time) { c.observeDrain(i, now) })
	case membership.Quarantine:
		c.d.crashTracker.AddRemote(i, time.Now())
	}
}

// observeDrain handles the start or the cancellation of a drain, by an operator or by the placement controller.
func (c *control) observeDrain(d membership.Drain, now time.Time) {
	c.drains[d.Target] = d
	if engine, changed := strings.CutPrefix(d.Target, placementDrainPrefix); changed && d.Cancelled && c.engines[engine] != nil {
		// The latest report of the engine is older than the change of its layers, so the engine is due for an
		// urgent poll.
		c.layersChanged[engine] = true
		c.engines[engine].polledAt = now.Add(-urgentInterval)
		c.engines[engine].changedAt = now
	}
	c.refreshDrains(now)
}

// refreshDrains discards cancelled and expired drains, passes those of operators to the target registry and marks
// the engines that the placement controller drains as changing their layers.
func (c *control) refreshDrains(now time.Time) {
	var names []string
	clear(c.layersChanging)
	for name, drain := range c.drains {
		if drain.Cancelled || drain.Expired(now) {
			delete(c.drains, name)
			continue
		}
		if engine, changing := strings.CutPrefix(name, placementDrainPrefix); changing {
			c.layersChanging[engine] = true
			continue
		}
		names = append(names, name)
	}
	c.targetRegistry.SetDrained(names)
	c.publish()
}

// publishLoad publishes the number of running and queued requests of this instance by gossip.
func (c *control) publishLoad() {
	report := membership.LoadReport{
		Origin: c.d.node.Address(), At: time.Now(),
		Running: uint32(c.d.running.Running()), Queued: uint32(c.d.admission.controller.Queued()),
	}
	if err := c.d.node.Publish(report); err != nil {
		c.d.logger.Warn().Err(err).Msg("cannot publish the load report")
	}
}

// setCapacity sets the admission capacity to this instance's fraction of the engines' stream capacity.
func (c *control) setCapacity() {
	instances := max(len(c.d.node.Members()), 1)
	c.d.admission.controller.SetCapacity(time.Now(), c.streamCapacity()*c.d.admission.meanCost()/float64(instances))
}
