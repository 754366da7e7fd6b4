package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

// order gives one order and notes that it is under way.
func (l *leader) order(ctx context.Context, e *catalogue.Engine, o layout.Assignment, fence uint64) {
	share := float64(o.Layers.Len()) / float64(e.Layers)
	load := time.Duration(float64(e.LoadTime) * share)
	bounded, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	err := l.station.platform.TargetControl.Assign(bounded, Assignment{Target: o.Target, Layers: o.Layers, FencingToken: fence})
	l.station.logger.Info().Str("Target", o.Target.Name).Str("Layers", o.Layers.String()).Uint64("Fence", fence).
		Uint64("Orders", o.Target.Assignments).Err(err).Msg("layers ordered")
	if err != nil {
		l.doubt(o, err)
		return
	}
	if o.Target.Layers.Valid() && !o.Layers.Contains(o.Target.Layers) {
		l.station.knowledge.hear(o.Target.Name, layer.Range{}, time.Now())
		l.station.peers.tellPlaced(o.Target.Name, layer.Range{})
	}
	go l.confirm(ctx, o, load)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[o.Target.Name] = count{started: o.Target.StartTime, orders: o.Target.Assignments + 1}
	l.pending[o.Target.Name] = pending{layers: o.Layers, started: o.Target.StartTime, until: time.Now().Add(2*load + pendingMargin)}
}

// confirm asks a target whether it has loaded its layers, and tells all instances: its entry says so only with its next
// heartbeat.
func (l *leader) confirm(ctx context.Context, o layout.Assignment, load time.Duration) {
	waitFor(ctx, load)
	for range confirmTries {
		waitFor(ctx, confirmInterval)
		if ctx.Err() != nil {
			return
		}
		listed, ok := l.station.knowledge.target(o.Target.Name)
		if !ok || !listed.AcceptsRequests() || listed.Layers == o.Layers {
			return
		}
		report, err := l.station.platform.TargetControl.Report(ctx, o.Target)
		if err != nil {
			continue // The target may be lost; its entry will tell.
		}
		if report.Layers == o.Layers {
			l.station.knowledge.hear(o.Target.Name, o.Layers, time.Now())
			l.station.peers.tellPlaced(o.Target.Name, o.Layers)
			return
		}
	}
}

// fenced gives no more orders under the present fencing number: another instance has a higher one.
func (l *leader) fenced(target string) {
	l.mu.Lock()
	l.refused, _ = l.holder.AuthorizeAssignment(time.Now())
	fence := l.refused
	l.mu.Unlock()
	l.station.logger.Warn().Str("Target", target).Uint64("Fence", fence).Msg("orders stopped, a target has seen a higher fencing number")
}

// doubt asks a target what became of an order that it did not confirm.
func (l *leader) doubt(o layout.Assignment, err error) {
	if errors.Is(err, ErrFenced) {
		l.fenced(o.Target.Name)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	report, err := l.station.platform.TargetControl.Report(ctx, o.Target)
	p := pending{layers: o.Target.Layers, started: o.Target.StartTime, until: time.Now().Add(doubtLife)}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.station.logger.Info().Str("Target", o.Target.Name).Err(err).Msg("no report after an order without an answer")
	case report.Busy:
		p.layers = o.Layers
	case report.Layers.Valid():
		p.layers = report.Layers
	}
	if err == nil {
		l.counts[o.Target.Name] = count{started: o.Target.StartTime, orders: report.Assignments}
	}
	l.pending[o.Target.Name] = p
}
