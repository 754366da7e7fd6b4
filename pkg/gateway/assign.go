package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

// assign sends one assignment and records it as pending. If the target did not confirm it, the target's report decides
// which layers are pending.
func (l *leader) assign(ctx context.Context, e *catalogue.Engine, a layout.Assignment, token uint64) {
	fraction := float64(a.Layers.Len()) / float64(e.Layers)
	loadTime := time.Duration(float64(e.LoadTime) * fraction)
	bounded, cancel := context.WithTimeout(ctx, assignmentTimeout)
	defer cancel()
	err := l.gateway.platform.TargetControl.Assign(bounded, Assignment{Target: a.Target, Layers: a.Layers, FencingToken: token})
	l.gateway.logger.Info().Str("Target", a.Target.Name).Str("Layers", a.Layers.String()).Uint64("Fence", token).
		Uint64("Orders", a.Target.Assignments).Err(err).Msg("layers ordered")
	if err != nil {
		l.resolveUncertain(a, token, err)
		return
	}
	if a.Target.Layers.Valid() && !a.Layers.Contains(a.Target.Layers) {
		l.gateway.cache.applyReport(a.Target.Name, layer.Range{}, time.Now())
		l.gateway.peers.sendLayers(a.Target.Name, layer.Range{})
	}
	go l.confirmLayers(ctx, a, loadTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[a.Target.Name] = assignmentCount{started: a.Target.StartTime, assignments: a.Target.Assignments + 1}
	l.pending[a.Target.Name] = pendingAssignment{layers: a.Layers, started: a.Target.StartTime, until: time.Now().Add(2*loadTime + pendingMargin)}
}

// confirmLayers polls a target until the target has loaded its assigned layers, and then informs all instances: the
// target's entry shows the layers only with the next heartbeat. While many targets load layers, as at the start of a fleet, the entries
// of the further ones do.
func (l *leader) confirmLayers(ctx context.Context, a layout.Assignment, loadTime time.Duration) {
	defer l.confirming.Add(-1)
	if l.confirming.Add(1) > maxConcurrentAssignments {
		return
	}
	waitFor(ctx, loadTime)
	for range maxConfirmations {
		waitFor(ctx, confirmInterval)
		if ctx.Err() != nil {
			return
		}
		listed, ok := l.gateway.cache.target(a.Target.Name)
		if !ok || !listed.AcceptsRequests() || listed.Layers == a.Layers {
			return
		}
		report, err := l.gateway.platform.TargetControl.Report(ctx, a.Target)
		if err != nil {
			continue // The target may be dead, which its entry will show.
		}
		if report.Layers == a.Layers {
			l.gateway.cache.applyReport(a.Target.Name, a.Layers, time.Now())
			l.gateway.peers.sendLayers(a.Target.Name, a.Layers)
			return
		}
	}
}

// stopAssigning stops assignments under a fencing token, because a target has seen a higher one. If the store has come back
// from a copy, it may have lost the row with the highest token, so the next renewal of the lease has a higher one.
func (l *leader) stopAssigning(target string, token uint64) {
	l.mu.Lock()
	l.refusedToken = max(l.refusedToken, token)
	if l.elector.Era() > 0 {
		l.elector.ObserveFencingToken(token + 1)
	}
	l.mu.Unlock()
	l.gateway.logger.Warn().Str("Target", target).Uint64("Fence", token).Msg("assignments stopped, a target has seen a higher fencing token")
}

// resolveUncertain handles a failed assignment. Unless the target has seen a higher fencing token, the assignment may
// have been accepted: the layers that the target then reports, or is loading, are recorded as pending.
func (l *leader) resolveUncertain(a layout.Assignment, token uint64, err error) {
	if errors.Is(err, ErrFenced) {
		l.stopAssigning(a.Target.Name, token)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), assignmentTimeout)
	defer cancel()
	report, err := l.gateway.platform.TargetControl.Report(ctx, a.Target)
	p := pendingAssignment{layers: a.Target.Layers, started: a.Target.StartTime, until: time.Now().Add(reportedLayersTTL)}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.gateway.logger.Info().Str("Target", a.Target.Name).Err(err).Msg("no report of the target after an unconfirmed assignment")
	case report.Busy:
		p.layers = a.Layers
	case report.Layers.Valid():
		p.layers = report.Layers
	}
	if err == nil {
		l.counts[a.Target.Name] = assignmentCount{started: a.Target.StartTime, assignments: report.Assignments}
	}
	l.pending[a.Target.Name] = p
}
