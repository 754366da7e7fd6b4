package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/emulator"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// maxPlanRounds bounds the planning rounds until the planner has no further assignments.
	maxPlanRounds = 200
	// detectionDelay is the time from the death of a target until the instances detect it.
	detectionDelay = 120 * time.Millisecond
	// retryInterval is the time between two attempts to find a path.
	retryInterval = 40 * time.Millisecond
	// maxWaitRatio is the fraction of the goal for the first event for which a request may wait for capacity.
	maxWaitRatio = 0.6
	// maxResumeAttempts bounds the attempts to continue a stream that a dead target has interrupted.
	maxResumeAttempts = 75
	// completionTime is the time after the last arrivals in which running requests may complete.
	completionTime = 2 * time.Minute
)

// Run simulates each policy of the settings on the same requests, or all policies if the settings name none.
func Run(s *Settings) (*Report, error) {
	targets, err := s.placedTargets()
	if err != nil {
		return nil, err
	}
	names := s.Policies
	if len(names) == 0 {
		names = policyNames()
	}
	report := &Report{Duration: s.Duration}
	arrivals := s.arrivals()
	for _, name := range names {
		sim := newSimulation(s, policies[name], targets)
		report.Policies = append(report.Policies, sim.run(name, arrivals))
	}
	return report, nil
}

// placedTargets returns the targets with the layers that package layout assigns to them.
func (s *Settings) placedTargets() ([]target.Target, error) {
	targets := s.targets()
	planner := layout.New(s.engine())
	for range maxPlanRounds {
		assignments := planner.Plan(targets, nil)
		if len(assignments) == 0 {
			break
		}
		for _, a := range assignments {
			i := slices.IndexFunc(targets, func(t target.Target) bool { return t.Name == a.Target.Name })
			targets[i].Layers = a.Layers
		}
	}
	for l := range s.Model.Layers {
		if !slices.ContainsFunc(targets, func(t target.Target) bool { return t.Layers.First <= l && l < t.Layers.End }) {
			return nil, errorx.IllegalArgument.New("the fleet cannot hold the model: no target holds layer %d of %d", l, s.Model.Layers)
		}
	}
	return targets, nil
}

// instance is a simulated instance.
type instance struct {
	dataCentre string
	tracker    *targetstats.Tracker
	choices    int // choices counts the targets chosen by the policy RoundRobin.
}

// simulation runs one policy on one set of targets.
type simulation struct {
	settings  *Settings
	engine    *catalogue.Engine
	policy    policy
	emulator  *emulator.Emulator
	random    *rand.Rand
	instances []*instance
	targets   []*target.Target // targets are the targets not yet detected as dead.
	finder    *path.Finder
	running   []*request
	requests  []*request
}

func newSimulation(s *Settings, chosen policy, targets []target.Target) *simulation {
	sim := &simulation{
		settings: s, engine: s.engine(), policy: chosen, random: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	sim.emulator = emulator.New(sim.engine, targets)
	for i := range targets {
		sim.targets = append(sim.targets, &targets[i])
	}
	sim.finder = path.New(sim.engine, sim.targets)
	centres := s.dataCentres()
	for i := range s.Instances {
		sim.instances = append(sim.instances, &instance{dataCentre: centres[i%len(centres)], tracker: targetstats.New()})
	}
	for _, inst := range sim.instances {
		inst.tracker.SetInstanceCount(len(sim.instances))
	}
	return sim
}

// run simulates the arrivals and returns the outcome of the policy.
func (sim *simulation) run(name string, arrivals []arrival) Outcome {
	for _, a := range arrivals {
		sim.emulator.Schedule(a.at, func() { sim.startRequest(a) })
	}
	for at := sim.settings.LoadReportInterval; at < sim.settings.Duration+completionTime; at += sim.settings.LoadReportInterval {
		sim.emulator.Schedule(at, sim.reportLoads)
	}
	for _, failure := range sim.settings.Failures {
		sim.emulator.Schedule(failure.At, func() { sim.failTargets(failure) })
	}
	sim.emulator.Run(sim.settings.Duration + completionTime)
	return newOutcome(name, sim.settings, sim.requests, sim.emulator.Stats())
}

// reportLoads sends the load of each instance to all others.
func (sim *simulation) reportLoads() {
	now := startTime.Add(sim.emulator.Now())
	for i, from := range sim.instances {
		loads := make(map[uint64]targetstats.Load)
		for name, load := range from.tracker.LocalLoads() {
			loads[targetstats.TargetHash(name)] = load
		}
		for j, to := range sim.instances {
			if i != j {
				to.tracker.SetRemoteLoads(fmt.Sprint("instance-", i), loads, now)
			}
		}
	}
}

// failTargets kills the first targets that hold layers and match the failure. The instances detect it after
// detectionDelay.
func (sim *simulation) failTargets(failure TargetFailure) {
	var dead []string
	for _, t := range sim.targets {
		if t.Accelerator == failure.Accelerator && t.Layers.Valid() && len(dead) < failure.Count {
			dead = append(dead, t.Name)
			sim.emulator.Kill(t.Name)
		}
	}
	sim.emulator.Schedule(sim.emulator.Now()+detectionDelay, func() {
		sim.targets = slices.DeleteFunc(sim.targets, func(t *target.Target) bool { return slices.Contains(dead, t.Name) })
		sim.finder = path.New(sim.engine, sim.targets)
		for _, r := range slices.Clone(sim.running) {
			r.recoverStream(dead, 0)
		}
	})
}

// findPath returns the path that the policy chooses for a request.
func (sim *simulation) findPath(inst *instance, req path.Request) (path.Path, error) {
	req.DataCentre = inst.dataCentre
	return sim.policy(policyInput{
		finder: sim.finder, tracker: inst.tracker, random: sim.random, now: startTime.Add(sim.emulator.Now()),
		choices: &inst.choices, targets: sim.targets,
	}, req)
}

func (sim *simulation) startRequest(a arrival) {
	r := &request{sim: sim, arrival: a, instance: sim.instances[a.instance], lastEvent: a.at}
	sim.requests = append(sim.requests, r)
	sim.running = append(sim.running, r)
	r.start()
}

func (sim *simulation) removeRunning(r *request) {
	if i := slices.Index(sim.running, r); i >= 0 {
		sim.running = slices.Delete(sim.running, i, i+1)
	}
}
