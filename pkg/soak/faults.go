package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/sleep"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

const (
	// slowFactor degrades a link a hundredfold.
	slowFactor = 100
	// crashSends is how often the caller of a crashing request sends it.
	crashSends = 3
	// listLag is how late the list is while it lags.
	listLag = 2 * time.Second
	// changeLimit is the time that an operator waits for a change.
	changeLimit = 3 * time.Second
)

// inject puts a fault in force for its length and heals it.
func (r *run) inject(f fault) {
	e := f.pick % len(r.fleet.Engines)
	switch f.kind {
	case StageKill, StageFreeze, StageLosesAnswers, SlowLink:
		r.injectStage(f, r.fleet.Engines[e], r.fleet.EngineSpecs[e].Link)
	case TargetLeaves:
		r.leave(f)
	case EntryKill, EntryStop:
		r.replaceEntry(f)
	case ServiceCrash, ServiceFreeze:
		r.injectService(f, r.fleet.Services[f.pick%len(r.fleet.Services)])
	case ConfigurationRace:
		r.raceConfiguration(f)
	case CrashingRequest:
		r.sendCrashing(f)
	default:
		r.injectPlatform(f)
	}
}

func (r *run) injectStage(f fault, e *engine.Server, link engine.Link) {
	switch f.kind {
	case StageKill:
		e.Kill()
	case StageFreeze:
		e.Freeze(true)
	case StageLosesAnswers:
		e.LoseAnswers(1 + f.pick%3)
	case SlowLink:
		e.SetLink(engine.Link{Latency: link.Latency * slowFactor, BytesPerSecond: link.BytesPerSecond / slowFactor})
	}
	_ = sleep.For(r.ctx, f.length) // The run may end before.
	e.Freeze(false)
	r.restart(e, link)
}

// restart brings a killed or crashed engine back and resets its link.
func (r *run) restart(e *engine.Server, link engine.Link) {
	if err := e.Restart(); err != nil {
		r.findRunError(fmt.Errorf("restart of %s: %w", e.Name(), err))
	}
	e.SetLink(link)
}

func (r *run) findRunError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Findings = append(r.report.Findings, "run: "+err.Error())
}

// leave lists a worker or a service as leaving for a while.
func (r *run) leave(f fault) {
	name := r.fleet.EngineSpecs[f.pick%len(r.fleet.EngineSpecs)].Name
	if f.pick%5 == 0 {
		name = fmt.Sprintf("s%d", f.pick%len(r.fleet.Services))
	}
	d := departure{target: name, from: time.Now()}
	if !r.fleet.SetLeaving(name, true) {
		return
	}
	_ = sleep.For(r.ctx, f.length) // The run may end before.
	d.to = time.Now()
	r.fleet.SetLeaving(name, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.departures = append(r.facts.departures, d)
}

// replaceEntry stops or kills an entry instance and starts another.
func (r *run) replaceEntry(f fault) {
	entries := r.fleet.Ready()
	if len(entries) < 2 {
		return
	}
	m := entries[f.pick%len(entries)]
	r.mu.Lock()
	if _, gone := r.facts.stops[m.Name]; gone {
		r.mu.Unlock()
		return
	}
	r.facts.stops[m.Name] = stop{at: time.Now(), planned: f.kind == EntryStop}
	r.mu.Unlock()
	r.end(m, f.kind == EntryStop)
	r.fleet.Remove(m)
	_ = sleep.For(r.ctx, f.length/4) // The run may end before.
	if _, err := r.fleet.AddInstance(); err != nil && r.ctx.Err() == nil {
		r.findRunError(err)
	}
}

func (r *run) end(m *fleet.NamedInstance, planned bool) {
	if !planned {
		m.Kill()
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, askTimeout+settle)
	defer cancel()
	if err := m.Stop(ctx); err != nil {
		r.findRunError(fmt.Errorf("planned stop of %s: %w", m.Name, err))
	}
}

func (r *run) injectService(f fault, s *service.Server) {
	if f.kind == ServiceFreeze {
		s.SetFaults(service.Faults{Freeze: true})
	} else {
		s.SetFaults(service.Faults{CrashBefore: f.pick%2 == 0, CrashAfter: f.pick%2 != 0})
	}
	_ = sleep.For(r.ctx, f.length) // The run may end before.
	s.SetFaults(service.Faults{})
	if err := s.Restart(); err != nil {
		r.findRunError(err)
	}
}

// injectPlatform changes the faults of one role and leaves those of the others.
func (r *run) injectPlatform(f fault) {
	set := func(table, list platform.Fault) {
		r.mu.Lock()
		defer r.mu.Unlock()
		faults := r.fleet.Platform.Faults()
		if f.kind == ListLag || f.kind == ListOutage {
			faults.List = list
		} else {
			faults.Table = table
		}
		r.fleet.Platform.SetFaults(faults)
	}
	switch f.kind {
	case TableOutage:
		set(platform.Fault{Outage: platform.Refused}, platform.Fault{})
	case TableSilent:
		set(platform.Fault{Outage: platform.Silent}, platform.Fault{})
	case TableLosesAnswers:
		set(platform.Fault{LosePerMille: 200}, platform.Fault{})
	case ListLag:
		set(platform.Fault{}, platform.Fault{Lag: listLag})
	case ListOutage:
		set(platform.Fault{}, platform.Fault{Outage: platform.Refused})
	}
	began := time.Now()
	_ = sleep.For(r.ctx, f.length) // The run may end before.
	set(platform.Fault{}, platform.Fault{})
	if f.kind == ListLag || f.kind == ListOutage {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.facts.listFaults = append(r.facts.listFaults, departure{from: began, to: time.Now()})
	}
}

// sendCrashing sends a request that crashes engines, several times, and restarts the engines.
func (r *run) sendCrashing(f fault) {
	q := request{kind: "Crash", id: fmt.Sprintf("c-%d", f.pick), tokens: 4, entry: f.pick}
	for n := range crashSends {
		r.send(q, q.entry+n)
	}
	_ = sleep.For(r.ctx, f.length) // The run may end before.
	for i, e := range r.fleet.Engines {
		if len(e.Crashes()) > 0 && !e.Alive() {
			r.restart(e, r.fleet.EngineSpecs[i].Link)
		}
	}
}

// raceConfiguration lets two operators change the same version at two instances.
func (r *run) raceConfiguration(f fault) {
	ready := r.fleet.Ready()
	if len(ready) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.change(ready[(f.pick+1)%len(ready)], fmt.Sprintf("change-%d-b", f.pick), f.pick+1)
	}()
	r.change(ready[f.pick%len(ready)], fmt.Sprintf("change-%d-a", f.pick), f.pick)
	<-done
}

func (r *run) change(m *fleet.NamedInstance, id string, pick int) {
	ctx, cancel := context.WithTimeout(r.ctx, changeLimit)
	defer cancel()
	client := operator.NewClient("http://"+m.OperatorAddress().String(), fleet.OperatorKey)
	current, err := client.Current(ctx)
	if err != nil {
		return
	}
	c := current.Configuration
	w := &c.Workspaces[pick%len(c.Workspaces)]
	w.Weight = 1 + (w.Weight+pick)%40
	head, err := client.Apply(ctx, api.Change{Expected: current.Head.Version, ID: id, Configuration: &c})
	if err == nil {
		r.note(versionFact{at: time.Now(), version: head.Version, id: id})
	}
}
