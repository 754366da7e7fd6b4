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
	// reportsPerSecond bounds report polls to 8 a second, about 2 KB/s, however many targets there are.
	reportsPerSecond = 8
	// reportTimeout ends a poll of a target that does not answer.
	reportTimeout = 500 * time.Millisecond
	// urgentInterval spaces the polls of a target that failed or whose layers change. Such targets
	// get at most every second poll, so that the others are not forgotten.
	urgentInterval = 250 * time.Millisecond
	// lostAfter is the number of polls without an answer after which a target counts as lost for the
	// placement. Routing takes failures in before that.
	lostAfter = 3
)

// engineView is what is known of one engine besides its place in the roster.
type engineView struct {
	maxBatch int
	inPoll   bool
	failures int       // failures counts successive polls without an answer.
	asked    time.Time // asked is when the newest report was asked for.
	polled   time.Time // polled is when the newest poll began.

	changedAt time.Time // changedAt is when the end of the engine's last change of layers was heard.
	reported  reconcile.Reported
	hardware  string
	steps     int
	cache     cacheView
}

// poll is the answer of one poll.
type poll struct {
	asked  time.Time
	report *enginepb.Report
	events *enginepb.CacheEvents // events is nil where they were not asked for or did not come.
	since  uint64
	err    error
}

// pollNextReport asks the next engine in turn for its report, or an urgent one.
func (c *control) pollNextReport(ctx context.Context) {
	c.wantsEvents = c.eventBytes.turn() && !c.d.ignoreEvents
	c.urgent++
	if c.urgent%2 == 0 && c.pollUrgent(ctx) {
		return
	}
	for len(c.polling) > 0 {
		name := c.polling[0]
		c.polling = c.polling[1:]
		view := c.engines[name]
		if view == nil {
			continue
		}
		c.polling = append(c.polling, name)
		if !view.inPoll {
			c.pollReport(ctx, name, view)
		}
		return
	}
}

// pollUrgent polls the engine that was polled longest ago among those that failed and those that
// the keeper of the placement waits for.
func (c *control) pollUrgent(ctx context.Context) bool {
	oldest := ""
	look := func(name string) {
		view := c.engines[name]
		if view == nil || view.inPoll || time.Since(view.polled) < urgentInterval {
			return
		}
		if oldest == "" || view.polled.Before(c.engines[oldest].polled) {
			oldest = name
		}
	}
	for name := range c.failing {
		look(name)
	}
	for name := range c.changed {
		look(name)
	}
	for _, name := range c.d.keeper.OutOfSync() {
		look(name)
	}
	if oldest == "" {
		return false
	}
	c.pollReport(ctx, oldest, c.engines[oldest])
	return true
}

func (c *control) pollReport(ctx context.Context, name string, view *engineView) {
	address, ok := c.address(name)
	if !ok {
		return
	}
	view.inPoll, view.polled = true, time.Now()
	client := c.d.engines.Client(address)
	p := poll{asked: view.polled, since: view.cache.since}
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
	view.inPoll = false
	if p.err != nil {
		c.d.counters.reportFailures.Inc(1)
		c.failing[name] = true
		view.failures++
		c.forgetPrefixes(name, view)
		if view.failures == lostAfter {
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
		c.forgetPrefixes(name, view)
	}
	view.failures, view.asked = 0, p.asked
	if p.asked.After(view.changedAt) {
		delete(c.changed, name)
	}
	view.maxBatch, view.hardware = int(report.GetMaxBatch()), report.GetAccelerator()
	view.steps = int(report.GetQueuedSteps() + report.GetRunningSteps())
	view.reported = reconcile.Reported{
		State: reconcile.State{
			Model: report.GetModel(), Version: report.GetVersion(), Layers: layers, Adapters: report.GetAdapters(), Role: report.GetRole(),
		},
		FencingToken: report.GetFence(),
	}
	c.d.keeper.Report(p.asked, name, view.reported)
	c.d.ledger.TargetResponded(name)
	c.roster.UpdateReport(name, targetregistry.TargetReport{
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
