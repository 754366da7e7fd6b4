package daemon

import (
	"context"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// placementDrainPrefix is the prefix of target names in the drains of the placement controller, so that
	// the end of such a drain does not end that of an operator.
	placementDrainPrefix = "Placement/"
	// placementDrainTTL is the time after which a drain of the placement controller ends if the holder of
	// the assignment lease dies.
	placementDrainTTL = 2 * time.Minute
	// leaseCandidates is the number of instances that may hold the assignment lease, whose holder assigns
	// layers to targets. Three candidates tolerate the failure of two, and rarely read the lease row.
	leaseCandidates = 3
)

// placementFleet gives the placement controller access to this instance.
type placementFleet struct {
	d *Daemon
}

// Configuration implements placementcontroller.Fleet.
func (p placementFleet) Configuration() *configuration.Configuration {
	return p.d.configuration.current()
}

// Targets implements placementcontroller.Fleet.
func (p placementFleet) Targets() []rollout.TargetState { return *p.d.control.placementTargets.Load() }

// Candidate implements placementcontroller.Fleet by rendezvous hashing over the live members: the
// leaseCandidates members with the highest scores are candidates.
func (p placementFleet) Candidate() bool {
	own := candidateScore(membership.Member{Address: p.d.node.Address()})
	higher := 0
	for _, m := range p.d.node.Members() {
		if m.State.Live() && m.Address != p.d.node.Address() && candidateScore(m) > own {
			higher++
		}
	}
	return higher < leaseCandidates
}

// candidateScore hashes the address of a member and the key of the lease.
func candidateScore(m membership.Member) uint64 {
	address := m.Address.Addr().As16()
	content := binary.BigEndian.AppendUint16(address[:], m.Address.Port())
	return xxhash.Sum64(append(content, dispatch.Key...))
}

// SetDraining implements placementcontroller.Fleet. It renews drains after half of placementDrainTTL, and ends
// those of an earlier holder of the lease.
func (p placementFleet) SetDraining(targets []string) {
	now := time.Now()
	wanted := map[string]bool{}
	for _, name := range targets {
		wanted[placementDrainPrefix+name] = true
	}
	for _, item := range p.d.node.View().Items {
		drain, ok := item.(membership.Drain)
		if !ok || drain.Cancelled || !strings.HasPrefix(drain.Target, placementDrainPrefix) {
			continue
		}
		if !wanted[drain.Target] {
			p.publish(membership.Drain{Target: drain.Target, At: now, Expires: now.Add(placementDrainTTL), Cancelled: true})
			continue
		}
		if drain.Expires.Sub(now) > placementDrainTTL/2 {
			delete(wanted, drain.Target)
		}
	}
	for name := range wanted {
		p.publish(membership.Drain{Target: name, At: now, Expires: now.Add(placementDrainTTL)})
	}
}

func (p placementFleet) publish(drain membership.Drain) {
	if err := p.d.node.Publish(drain); err != nil {
		p.d.logger.Warn().Err(err).Str("Target", drain.Target).Msg("cannot publish the drain of a target")
	}
}

// Assign implements dispatch.TargetControl.
func (p placementFleet) Assign(ctx context.Context, a reconcile.Assignment) (bool, error) {
	address, known := p.d.control.address(a.Target)
	if !known {
		return false, refusal.New(0, "unknown_target", outcome.NotRun, "the target %s is not listed any more", a.Target)
	}
	result, err := p.d.engines.Client(address).Assign(ctx, &enginepb.Assignment{
		Fence: a.FencingToken, Model: a.Model, Version: a.Version, FirstLayer: uint32(a.Layers.First), EndLayer: uint32(a.Layers.End),
		Adapters: a.Adapters, Role: a.Role,
	})
	if err != nil {
		return false, err
	}
	p.d.logger.Info().Str("Target", a.Target).Uint64("Fence", a.FencingToken).Str("Model", a.Model).Str("Version", a.Version).
		Str("Layers", a.Layers.String()).Bool("Accepted", result.GetAccepted()).Str("Answer", result.GetMessage()).Msg("assignment sent")
	return result.GetAccepted(), nil
}

// publishPlacementTargets updates the snapshot of the engines for the placement controller. The controller's
// own drains do not make a target unavailable in this snapshot.
func (c *control) publishPlacementTargets(targets []target.Target) {
	states := make([]rollout.TargetState, 0, len(targets))
	for _, t := range targets {
		view := c.engines[t.Name]
		if t.Kind != target.Engine || view == nil {
			continue
		}
		states = append(states, rollout.TargetState{
			Target:    placement.Target{Name: t.Name, Accelerator: view.accelerator, DataCentre: t.DataCentre},
			Available: t.AcceptsRequests() && view.failures < unreachableAfter,
			Reported:  view.reported, PendingSteps: view.pendingSteps, ReportRequestedAt: view.requestedAt,
		})
	}
	c.placementTargets.Store(&states)
}

// selectServingVersions marks targets as leaving if their model version differs from the one that
// rollout.ServingVersion selects for the model, so that no route mixes two versions.
func (c *control) selectServingVersions(routable []target.Target) []target.Target {
	held := map[string][]rollout.HeldLayers{}
	layers := map[string]int{}
	for _, t := range routable {
		if t.AcceptsRequests() {
			held[t.Model] = append(held[t.Model], rollout.HeldLayers{Version: c.versionOf(t), Layers: t.Layers})
			layers[t.Model] = max(layers[t.Model], t.ModelLayers)
		}
	}
	serving := map[string]string{}
	for model, list := range held {
		// If the model is not configured, the number of layers comes from the engines' reports. Without
		// this, no target would serve between the first configuration and the next report.
		m, known := c.d.configuration.current().Model(model)
		if !known {
			m.Layers = layers[model]
		}
		serving[model] = rollout.ServingVersion(list, m.Layers, m.Version)
	}
	for i, t := range routable {
		if t.AcceptsRequests() && c.versionOf(t) != serving[t.Model] {
			routable[i].State = target.Leaving
		}
	}
	return routable
}

// versionOf returns the model version that a target reported, or "" if the target has not reported one.
func (c *control) versionOf(t target.Target) string {
	if view := c.engines[t.Name]; view != nil {
		return view.reported.Version
	}
	return ""
}
