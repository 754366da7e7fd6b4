package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/roster"
	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	// reportsPerSecond bounds report polls to 8 a second, about 2 KB/s, however many targets there are.
	reportsPerSecond = 8
	// reportTimeout ends a poll of a target that does not answer.
	reportTimeout = 500 * time.Millisecond
)

func (c *control) pollReports(ctx context.Context) {
	polls := 1
	if !c.routed.Load() {
		polls = startReports
	}
	for range polls {
		c.pollNextReport(ctx)
	}
	c.learnRoutes()
}

// pollNextReport asks the next engine in turn for its report.
func (c *control) pollNextReport(ctx context.Context) {
	for len(c.polling) > 0 {
		name := c.polling[0]
		c.polling = c.polling[1:]
		view := c.engines[name]
		if view == nil {
			continue
		}
		c.polling = append(c.polling, name)
		if !view.inPoll {
			view.inPoll = true
			c.pollReport(ctx, name)
		}
		return
	}
}

func (c *control) pollReport(ctx context.Context, name string) {
	address, ok := c.address(name)
	if !ok {
		return
	}
	client := c.d.engines.Client(address)
	go func() {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := client.Report(bounded)
		c.post(ctx, func(now time.Time) { c.observeReport(name, report, err, now) })
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

func (c *control) observeReport(name string, report *enginepb.Report, err error, now time.Time) {
	view := c.engines[name]
	if view == nil {
		return
	}
	view.inPoll, view.asked = false, true
	if err != nil {
		c.d.counters.reportFailures.Inc(1)
		return
	}
	view.maxBatch, view.accelerator = int(report.GetMaxBatch()), report.GetAccelerator()
	c.d.ledger.Alive(name)
	c.roster.ObserveReport(name, roster.Report{
		Leaving: report.GetLeaving(), Model: report.GetModel(), ModelLayers: int(report.GetModelLayers()),
		Layers: layer.Range{First: int(report.GetFirstLayer()), End: int(report.GetEndLayer())}, Accelerator: report.GetAccelerator(),
	})
	c.publish()
	c.d.picker.ObserveReport(name, route.Report{
		Queued: int(report.GetQueuedSteps()), Running: int(report.GetRunningSteps()), MaxBatch: int(report.GetMaxBatch()),
		StepTime: time.Duration(report.GetStepMicros()) * time.Microsecond,
		Measured: time.UnixMilli(report.GetMeasuredUnixMilli()), Leaving: report.GetLeaving(),
	}, now)
}
