package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
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
	// linkSlowdown multiplies the latency and divides the bandwidth of a degraded link.
	linkSlowdown = 100
	// crashAttempts is how often a client sends a request that crashes engines.
	crashAttempts = 3
	// crowdSize is the number of clients of a ClientCrowd fault, and crowdBody what each of them sends of a body of twice the size.
	crowdSize = 30
	crowdBody = 1 << 20
	// listLag is the delay of the list during a ListLag fault.
	listLag = 2 * time.Second
	// changeTimeout limits how long an operator waits for a configuration change.
	changeTimeout = 3 * time.Second
)

// inject applies a fault for its duration and then removes it.
func (r *run) inject(f fault) {
	e := f.selector % len(r.fleet.Engines)
	switch f.kind {
	case StageKill, StageFreeze, StageLosesAnswers, SlowLink:
		r.injectStage(f, r.fleet.Engines[e], r.fleet.EngineSpecs[e].Link)
	case TargetLeaves:
		r.injectLeaving(f)
	case EntryKill, EntryStop:
		r.replaceInstance(f)
	case ServiceCrash, ServiceFreeze:
		r.injectService(f, r.fleet.Services[f.selector%len(r.fleet.Services)])
	case ConfigurationRace:
		r.raceConfiguration(f)
	case CrashingRequest:
		r.sendCrashing(f)
	case ClientCrowd:
		r.holdBodies(f)
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
		e.LoseAnswers(1 + f.selector%3)
	case SlowLink:
		e.SetLink(engine.Link{Latency: link.Latency * linkSlowdown, BytesPerSecond: link.BytesPerSecond / linkSlowdown})
	}
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
	e.Freeze(false)
	r.restart(e, link)
}

// restart restarts a killed or crashed engine and resets its link.
func (r *run) restart(e *engine.Server, link engine.Link) {
	if err := e.Restart(); err != nil {
		r.addRunError(fmt.Errorf("restarting engine %s: %w", e.Name(), err))
	}
	e.SetLink(link)
}

func (r *run) addRunError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Findings = append(r.report.Findings, "run: "+err.Error())
}

// injectLeaving lists an engine or a service target as leaving for the duration of the fault.
func (r *run) injectLeaving(f fault) {
	name := r.fleet.EngineSpecs[f.selector%len(r.fleet.EngineSpecs)].Name
	if f.selector%5 == 0 {
		name = fmt.Sprintf("s%d", f.selector%len(r.fleet.Services))
	}
	leaving := interval{target: name, from: time.Now()}
	if !r.fleet.SetLeaving(name, true) {
		return
	}
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
	leaving.to = time.Now()
	r.fleet.SetLeaving(name, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.leavingIntervals = append(r.observations.leavingIntervals, leaving)
}

// replaceInstance stops or kills an instance and starts another.
func (r *run) replaceInstance(f fault) {
	entries := r.fleet.Ready()
	if len(entries) < 2 {
		return
	}
	instance := entries[f.selector%len(entries)]
	r.mu.Lock()
	if _, stopped := r.observations.stops[instance.Name]; stopped {
		r.mu.Unlock()
		return
	}
	r.observations.stops[instance.Name] = stop{at: time.Now(), planned: f.kind == EntryStop}
	r.mu.Unlock()
	r.stopInstance(instance, f.kind == EntryStop)
	r.fleet.Remove(instance)
	_ = sleep.For(r.ctx, f.duration/4) // The run may end earlier.
	if _, err := r.fleet.AddInstance(); err != nil && r.ctx.Err() == nil {
		r.addRunError(err)
	}
}

func (r *run) stopInstance(instance *fleet.NamedInstance, planned bool) {
	if !planned {
		instance.Kill()
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, chatTimeout+settleTime)
	defer cancel()
	if err := instance.Stop(ctx); err != nil {
		r.addRunError(fmt.Errorf("planned stop of instance %s: %w", instance.Name, err))
	}
}

func (r *run) injectService(f fault, s *service.Server) {
	if f.kind == ServiceFreeze {
		s.SetFaults(service.Faults{Freeze: true})
	} else {
		s.SetFaults(service.Faults{CrashBefore: f.selector%2 == 0, CrashAfter: f.selector%2 != 0})
	}
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
	s.SetFaults(service.Faults{})
	if err := s.Restart(); err != nil {
		r.addRunError(err)
	}
}

// injectPlatform sets the faults of either the table or the list and keeps those of the other platform services.
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
	started := time.Now()
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
	set(platform.Fault{}, platform.Fault{})
	if f.kind == ListLag || f.kind == ListOutage {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observations.listFaults = append(r.observations.listFaults, interval{from: started, to: time.Now()})
	}
}

// sendCrashing sends a request that crashes engines several times, and restarts the crashed engines.
func (r *run) sendCrashing(f fault) {
	q := request{kind: "Crash", id: fmt.Sprintf("c-%d", f.selector), tokens: 4, instanceIndex: f.selector}
	for n := range crashAttempts {
		r.send(q, q.instanceIndex+n)
	}
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
	for i, e := range r.fleet.Engines {
		if len(e.Crashes()) > 0 && !e.Alive() {
			r.restart(e, r.fleet.EngineSpecs[i].Link)
		}
	}
}

// raceConfiguration sends two concurrent changes of the same configuration version to two instances.
func (r *run) raceConfiguration(f fault) {
	ready := r.fleet.Ready()
	if len(ready) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.applyChange(ready[(f.selector+1)%len(ready)], fmt.Sprintf("change-%d-b", f.selector), f.selector+1)
	}()
	r.applyChange(ready[f.selector%len(ready)], fmt.Sprintf("change-%d-a", f.selector), f.selector)
	<-done
}

func (r *run) applyChange(instance *fleet.NamedInstance, id string, selector int) {
	ctx, cancel := context.WithTimeout(r.ctx, changeTimeout)
	defer cancel()
	client := operator.NewClient("http://"+instance.OperatorAddress().String(), fleet.OperatorKey)
	current, err := client.Current(ctx)
	if err != nil {
		return
	}
	c := current.Configuration
	w := &c.Workspaces[selector%len(c.Workspaces)]
	w.Weight = 1 + (w.Weight+selector)%40
	head, err := client.Apply(ctx, api.Change{Expected: current.Head.Version, ID: id, Configuration: &c})
	if err == nil {
		r.recordVersion(versionObservation{at: time.Now(), version: head.Version, id: id})
	}
}

// holdBodies opens connections to an instance whose bodies stop halfway, and keeps them for the duration of the fault.
func (r *run) holdBodies(f fault) {
	instances := r.fleet.Ready()
	if len(instances) == 0 {
		return
	}
	address := instances[f.selector%len(instances)].ClientAddress().String()
	var crowd []net.Conn
	defer func() {
		for _, c := range crowd {
			_ = c.Close()
		}
	}()
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		fleet.ClientKey(0), 2*crowdBody)
	for range crowdSize {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			break // The instance has ended, or accepts no more connections.
		}
		crowd = append(crowd, c)
		_ = c.SetWriteDeadline(time.Now().Add(f.duration))
		_, _ = io.WriteString(c, head+strings.Repeat("b", crowdBody)) // The instance may refuse the body.
	}
	_ = sleep.For(r.ctx, f.duration) // The run may end earlier.
}
