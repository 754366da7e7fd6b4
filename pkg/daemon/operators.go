package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// drainTTL is the time after which an operator's drain of a target ends unless the operator requests it
	// again. drainTTL covers the longest planned maintenance of a target.
	drainTTL = 24 * time.Hour
	// stateTimeout limits the wait for another instance's state.
	stateTimeout = time.Second
)

// fleet serves the operator API's views of this instance, the other instances and the targets.
type fleet struct {
	d *Daemon
}

// State implements operator.Fleet. The state contains no keys and no content of requests.
func (f fleet) State(context.Context) (api.State, error) {
	d := f.d
	state := api.State{
		Instance: d.settings.Instance, Version: d.configuration.current().Version, Ready: d.Ready(),
		Streams: d.running.Running(), Queued: d.admission.controller.Queued(), Targets: *d.control.targets.Load(),
		Details: map[string]any{"Membership": d.node.View(), "DataCentre": d.settings.DataCentre, "Stopping": d.running.Draining()},
	}
	for _, e := range d.crashTracker.Entries(time.Now()) {
		state.Quarantine = append(state.Quarantine, api.Quarantined{Fingerprint: quarantinesync.FormatFingerprint(e.Fingerprint), Until: e.Until})
	}
	return state, nil
}

// dump returns the state as JSON for other instances.
func (f fleet) dump(ctx context.Context) ([]byte, error) {
	state, err := f.State(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(state)
}

// memberState is a live member and its state, which is nil if the member did not respond in time.
type memberState struct {
	member membership.Member
	state  *api.State
}

// memberStates fetches the state of every live instance, this one included.
func (f fleet) memberStates(ctx context.Context) []memberState {
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	members := f.d.node.Members()
	all := make([]memberState, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() { all[i] = memberState{member: m, state: f.fetchState(bounded, m)} })
	}
	wait.Wait()
	return all
}

// States implements operator.Fleet.
func (f fleet) States(ctx context.Context) ([]api.State, error) {
	var states []api.State
	for _, m := range f.memberStates(ctx) {
		if m.state != nil {
			states = append(states, *m.state)
		}
	}
	return states, nil
}

// Instances implements operator.Fleet. A live member that does not respond is listed as live with version 0, so
// that an operator who waits until all instances have a version also waits for this member.
func (f fleet) Instances(ctx context.Context) ([]api.Instance, error) {
	all := f.memberStates(ctx)
	listed := make([]api.Instance, 0, len(all))
	for _, s := range all {
		m := s.member
		i := api.Instance{Name: m.Name, DataCentre: m.DataCentre, State: string(m.State), Live: m.State.Live()}
		if s.state != nil {
			i.Version, i.Live = s.state.Version, true
		}
		listed = append(listed, i)
	}
	return listed, nil
}

// fetchState returns the state of a member, nil if the state cannot be fetched.
func (f fleet) fetchState(ctx context.Context, m membership.Member) *api.State {
	content, err := f.fetchDump(ctx, m)
	if err != nil {
		return nil
	}
	var state api.State
	if json.Unmarshal(content, &state) != nil {
		return nil
	}
	return &state
}

// fetchDump returns the state of a member as JSON.
func (f fleet) fetchDump(ctx context.Context, m membership.Member) ([]byte, error) {
	if m.Address == f.d.node.Address() {
		return f.dump(ctx)
	}
	return f.d.node.FetchState(ctx, m.Address)
}

// Pipelines implements operator.Fleet.
func (f fleet) Pipelines(context.Context) ([]api.Pipeline, error) {
	c := f.d.configuration.current()
	var pipelines []api.Pipeline
	for _, w := range c.Workspaces {
		for _, p := range w.Pipelines {
			pipelines = append(pipelines, f.pipeline(c, w.Name, p))
		}
	}
	return pipelines, nil
}

// pipeline describes a pipeline and whether the available engines hold every layer of its model.
func (f fleet) pipeline(c *configuration.Configuration, workspace string, p configuration.Pipeline) api.Pipeline {
	listed := api.Pipeline{Workspace: workspace, Name: p.Name, Model: p.Model, Priority: p.Priority}
	model, _ := c.Model(p.Model)
	var held []layer.Range
	for _, t := range *f.d.control.targets.Load() {
		if t.Kind == target.Engine && t.AcceptsRequests() && t.Model == p.Model {
			listed.Targets++
			held = append(held, t.Layers)
		}
	}
	listed.Complete = rollout.Covers(held, model.Layers)
	return listed
}

// Plan implements operator.Fleet.
func (f fleet) Plan(ctx context.Context) (api.Plan, error) {
	computed := f.d.placementController.Plan(ctx)
	plan := api.Plan{Bound: computed.Bound, LimitedBy: computed.LimitedBy}
	for _, a := range computed.Assignments {
		plan.Assignments = append(plan.Assignments, api.Assignment{Target: a.Target, Model: a.Model, First: a.Layers.First, End: a.Layers.End})
	}
	return plan, nil
}

// drainer implements the drains of the operator API. Drains spread by gossip and expire after drainTTL.
type drainer struct {
	d *Daemon
}

// Drains implements operator.Drainer.
func (o drainer) Drains(context.Context) ([]api.Drain, error) {
	var listed []api.Drain
	for _, item := range o.d.node.View().Items {
		if drain, ok := item.(membership.Drain); ok && !drain.Cancelled {
			listed = append(listed, api.Drain{Target: drain.Target, At: drain.At})
		}
	}
	return listed, nil
}

// Drain implements operator.Drainer.
func (o drainer) Drain(_ context.Context, drain api.Drain) error {
	if _, known := o.d.control.address(drain.Target); !known {
		return operator.ErrNotFound
	}
	now := time.Now()
	o.d.logger.Info().Str("Target", drain.Target).Str("By", drain.By).Str("Reason", drain.Reason).Msg("draining target")
	return o.d.node.Publish(membership.Drain{Target: drain.Target, At: now, Expires: now.Add(drainTTL)})
}

// Undrain implements operator.Drainer.
func (o drainer) Undrain(ctx context.Context, name string) error {
	listed, err := o.Drains(ctx)
	if err != nil {
		return err
	}
	for _, drain := range listed {
		if drain.Target == name {
			now := time.Now()
			return o.d.node.Publish(membership.Drain{Target: name, At: now, Expires: now.Add(drainTTL), Cancelled: true})
		}
	}
	return operator.ErrNotFound
}
