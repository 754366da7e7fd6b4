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
	// placementDrain starts the name under which the keeper of the placement drains a target, so that
	// the end of its drain does not end that of an operator.
	placementDrain = "Placement/"
	// placementDrainLife is how long such a drain lasts if its holder is lost.
	placementDrainLife = 2 * time.Minute
	// candidates is the number of instances that may hold the lease for orders. Three outlast the
	// loss of two, and their reads of the lease row are few.
	candidates = 3
)

// placer gives the keeper of the placement its view of this instance.
type placer struct {
	d *Daemon
}

// Configuration implements placementcontroller.Fleet.
func (p placer) Configuration() *configuration.Configuration { return p.d.versions.current() }

// Targets implements placementcontroller.Fleet.
func (p placer) Targets() []rollout.TargetState { return *p.d.control.placed.Load() }

// Candidate implements placementcontroller.Fleet by rendezvous hashing over the live members.
func (p placer) Candidate() bool {
	own := candidateScore(membership.Member{Address: p.d.node.Address()})
	higher := 0
	for _, m := range p.d.node.Members() {
		if m.State.Live() && m.Address != p.d.node.Address() && candidateScore(m) > own {
			higher++
		}
	}
	return higher < candidates
}

func candidateScore(m membership.Member) uint64 {
	address := m.Address.Addr().As16()
	content := binary.BigEndian.AppendUint16(address[:], m.Address.Port())
	return xxhash.Sum64(append(content, dispatch.Key...))
}

// SetDraining implements placementcontroller.Fleet. Drains that an earlier holder left are ended.
func (p placer) SetDraining(targets []string) {
	now := time.Now()
	wanted := map[string]bool{}
	for _, name := range targets {
		wanted[placementDrain+name] = true
	}
	for _, item := range p.d.node.View().Items {
		drain, ok := item.(membership.Drain)
		if !ok || drain.Cancelled || !strings.HasPrefix(drain.Target, placementDrain) {
			continue
		}
		if !wanted[drain.Target] {
			p.publish(membership.Drain{Target: drain.Target, At: now, Expires: now.Add(placementDrainLife), Cancelled: true})
			continue
		}
		if drain.Expires.Sub(now) > placementDrainLife/2 {
			delete(wanted, drain.Target)
		}
	}
	for name := range wanted {
		p.publish(membership.Drain{Target: name, At: now, Expires: now.Add(placementDrainLife)})
	}
}

func (p placer) publish(drain membership.Drain) {
	if err := p.d.node.Publish(drain); err != nil {
		p.d.logger.Warn().Err(err).Str("Target", drain.Target).Msg("a drain could not be published")
	}
}

// Assign implements dispatch.TargetControl.
func (p placer) Assign(ctx context.Context, o reconcile.Assignment) (bool, error) {
	address, known := p.d.control.address(o.Target)
	if !known {
		return false, refusal.New(0, "unknown_target", outcome.NotRun, "the target %s is not listed any more", o.Target)
	}
	result, err := p.d.engines.Client(address).Assign(ctx, &enginepb.Assignment{
		Fence: o.FencingToken, Model: o.Model, Version: o.Version, FirstLayer: uint32(o.Layers.First), EndLayer: uint32(o.Layers.End),
		Adapters: o.Adapters, Role: o.Role,
	})
	if err != nil {
		return false, err
	}
	p.d.logger.Info().Str("Target", o.Target).Uint64("Fence", o.FencingToken).Str("Model", o.Model).Str("Version", o.Version).
		Str("Layers", o.Layers.String()).Bool("Accepted", result.GetAccepted()).Str("Answer", result.GetMessage()).Msg("order sent")
	return result.GetAccepted(), nil
}

// publishPlaced gives the keeper of the placement the engines. A drain that the keeper itself
// ordered does not make a target unavailable.
func (c *control) publishPlaced(targets []target.Target) {
	placed := make([]rollout.TargetState, 0, len(targets))
	for _, t := range targets {
		view := c.engines[t.Name]
		if t.Kind != target.Engine || view == nil {
			continue
		}
		placed = append(placed, rollout.TargetState{
			Target:    placement.Target{Name: t.Name, Accelerator: view.hardware, DataCentre: t.DataCentre},
			Available: t.AcceptsRequests() && view.failures < lostAfter,
			Reported:  view.reported, PendingSteps: view.steps, ReportRequestedAt: view.asked,
		})
	}
	c.placed.Store(&placed)
}

// servingVersions takes the targets of a model out of the choice that hold another version than the
// one that serves, so that no route is made of two versions.
func (c *control) servingVersions(routable []target.Target) []target.Target {
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
		// Before the first configuration is in force, the engines' own reports say how many layers
		// there are. Otherwise no target would serve until the next report.
		m, known := c.d.versions.current().Model(model)
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

func (c *control) versionOf(t target.Target) string {
	if view := c.engines[t.Name]; view != nil {
		return view.reported.Version
	}
	return ""
}
