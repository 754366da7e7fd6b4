package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/decision/targetregistry"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// reportsPerSecond limits report polls to 8 per second, about 2 KB/s, however many targets there are.
	reportsPerSecond = 8
	// reportTimeout is the timeout of a poll.
	reportTimeout = 500 * time.Millisecond
	// urgentInterval is the minimum interval between polls of an urgent engine: one whose latest poll failed,
	// whose layers have changed, or for which the placement controller waits. Urgent engines get at most
	// every second poll, so that the others are still polled.
	urgentInterval = 250 * time.Millisecond
	// unreachableAfter is the number of consecutive failed polls after which an engine is unavailable for
	// the placement. Route selection takes failures into account before that.
	unreachableAfter = 3
)

// engineView is the known state of one engine beyond its entry in the target registry.
type engineView struct {
	maxBatch    int
	polling     bool
	failures    int       // failures counts consecutive failed polls.
	requestedAt time.Time // requestedAt is when the newest report was requested.
	polledAt    time.Time // polledAt is when the latest poll began.

	changedAt    time.Time // changedAt is when this instance learned that the engine's latest change of layers had ended.
	reported     reconcile.Reported
	accelerator  string
	pendingSteps int
	cache        cacheView
}

// poll is the result of requesting the report, and perhaps the cache events, of one engine.
type poll struct {
	requestedAt time.Time
	report      *enginepb.Report
	events      *enginepb.CacheEvents // events is nil if no events were requested or received.
	since       uint64                // since is the sequence number after which events were requested.
	err         error
}

// pollNextReport requests the report of the next engine in the queue, or of an urgent one.
func (c *control) pollNextReport(ctx context.Context) {
	c.wantsEvents = c.eventBytes.refill() && !c.d.ignoreEvents
	c.pollCount++
	if c.pollCount%2 == 0 && c.pollUrgent(ctx) {
		return
	}
	for len(c.pollQueue) > 0 {
		name := c.pollQueue[0]
		c.pollQueue = c.pollQueue[1:]
		view := c.engines[name]
		if view == nil {
			continue
		}
		c.pollQueue = append(c.pollQueue, name)
		if !view.polling {
			c.pollReport(ctx, name, view)
		}
		return
	}
}

// pollUrgent polls the least recently polled of the urgent engines whose urgentInterval has passed. It reports
// whether there was such an engine.
func (c *control) pollUrgent(ctx context.Context) bool {
	oldest := ""
	consider := func(name string) {
		view := c.engines[name]
		if view == nil || view.polling || time.Since(view.polledAt) < urgentInterval {
			return
		}
		if oldest == "" || view.polledAt.Before(c.engines[oldest].polledAt) {
			oldest = name
		}
	}
	for name := range c.failing {
		consider(name)
	}
	for name := range c.layersChanged {
		consider(name)
	}
	for _, name := range c.d.placementController.OutOfSync() {
		consider(name)
	}
	if oldest == "" {
		return false
	}
	c.pollReport(ctx, oldest, c.engines[oldest])
	return true
}

// pollReport requests the report of one engine in a goroutine of its own and posts the result. Only engines that
// hold the first layer are asked for cache events.
func (c *control) pollReport(ctx context.Context, name string, view *engineView) {
	address, ok := c.address(name)
	if !ok {
		return
	}
	view.polling, view.polledAt = true, time.Now()
	client := c.d.engines.Client(address)
	p := poll{requestedAt: view.polledAt, since: view.cache.lastSequence}
	wantsEvents := c.wantsEvents && view.reported.Layers.Valid() && view.reported.Layers.First == 0
	go func() {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		p.report, p.err = client.Report(bounded)
		if p.err == nil && wantsEvents {
			if events, err := client.Events(bounded, p.since); err == nil {
				p.events = events
			}
		}
		c.post(ctx, func(now time.Time) { c.observePoll(name, p, now) })
	}()
}

// address returns the address of a listed target.
func (c *control) address(name string) (netip.AddrPort, bool) {
	for _, t := range *c.targets.Load() {
		if t.Name == name {
			return t.Address, true
		}
	}
	return netip.AddrPort{}, false
}

func (c *control) observePoll(name string, p poll, now time.Time) {
	view := c.engines[name]
	if view == nil {
		return
	}
	view.polling = false
	if p.err != nil {
		c.d.counters.reportFailures.Inc(1)
		c.failing[name] = true
		view.failures++
		c.resetPrefixes(name, view)
		if view.failures == unreachableAfter {
			c.publish()
		}
		return
	}
	delete(c.failing, name)
	c.observeReport(name, view, p, now)
	c.observeEvents(name, view, p)
}

func (c *control) observeReport(name string, view *engineView, p poll, now time.Time) {
	report := p.report
	layers := layer.Range{First: int(report.GetFirstLayer()), End: int(report.GetEndLayer())}
	if view.reported.Layers != layers || view.reported.Model != report.GetModel() {
		c.resetPrefixes(name, view)
	}
	view.failures, view.requestedAt = 0, p.requestedAt
	if p.requestedAt.After(view.changedAt) {
		delete(c.layersChanged, name)
	}
	view.maxBatch, view.accelerator = int(report.GetMaxBatch()), report.GetAccelerator()
	view.pendingSteps = int(report.GetQueuedSteps() + report.GetRunningSteps())
	view.reported = reconcile.Reported{
		State: reconcile.State{
			Model: report.GetModel(), Version: report.GetVersion(), Layers: layers, Adapters: report.GetAdapters(), Role: report.GetRole(),
		},
		FencingToken: report.GetFence(),
	}
	c.d.placementController.Report(p.requestedAt, name, view.reported)
	c.d.crashTracker.TargetResponded(name)
	c.targetRegistry.UpdateReport(name, targetregistry.TargetReport{
		Leaving: report.GetLeaving(), Model: report.GetModel(), ModelLayers: int(report.GetModelLayers()),
		Layers: layers, Accelerator: report.GetAccelerator(),
	})
	c.publish()
	c.d.picker.UpdateReport(name, route.Report{
		Queued: int(report.GetQueuedSteps()), Running: int(report.GetRunningSteps()), MaxBatch: int(report.GetMaxBatch()),
		StepTime: time.Duration(report.GetStepMicros()) * time.Microsecond,
		Measured: time.UnixMilli(report.GetMeasuredUnixMilli()), Leaving: report.GetLeaving(),
	}, now)
}
