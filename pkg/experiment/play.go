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
	// maxPlans bounds the plans until the planner has nothing left to order.
	maxPlans = 200
	// notice is the time until instances know that a target has died.
	notice = 120 * time.Millisecond
	// tryPause is the time between two tries to find a path.
	tryPause = 40 * time.Millisecond
	// queueShare is the share of the goal for the first event in which a request waits for room.
	queueShare = 0.6
	// maxTries bounds the tries to go on of a stream that a loss has interrupted.
	maxTries = 75
	// drainTime is how long what runs at the end may take.
	drainTime = 2 * time.Minute
)

// Play plays each policy of the settings on the same requests.
func Play(s *Settings) (*Report, error) {
	targets, err := s.placed()
	if err != nil {
		return nil, err
	}
	names := s.Policies
	if len(names) == 0 {
		names = policyNames()
	}
	report := &Report{Length: s.Length}
	arrivals := s.arrivals()
	for _, name := range names {
		p := newPlay(s, policies[name], targets)
		report.Policies = append(report.Policies, p.run(name, arrivals))
	}
	return report, nil
}

// placed returns the fleet with the layers that the planner gives it.
func (s *Settings) placed() ([]target.Target, error) {
	targets := s.targets()
	planner := layout.New(s.engine())
	for range maxPlans {
		orders := planner.Plan(targets, nil)
		if len(orders) == 0 {
			break
		}
		for _, o := range orders {
			i := slices.IndexFunc(targets, func(t target.Target) bool { return t.Name == o.Target.Name })
			targets[i].Layers = o.Layers
		}
	}
	for l := range s.Model.Layers {
		if !slices.ContainsFunc(targets, func(t target.Target) bool { return t.Layers.First <= l && l < t.Layers.End }) {
			return nil, errorx.IllegalArgument.New("the fleet cannot hold the model: layer %d of %d has no holder", l, s.Model.Layers)
		}
	}
	return targets, nil
}

// instance is one entry instance.
type instance struct {
	dataCentre string
	meter      *targetstats.Tracker
	turn       int
}

// play is one policy on one fleet.
type play struct {
	settings  *Settings
	engine    *catalogue.Engine
	policy    policy
	emulator  *emulator.Emulator
	random    *rand.Rand
	instances []*instance
	targets   []*target.Target // targets are those that are not known to be dead.
	finder    *path.Finder
	running   []*request
	all       []*request
}

func newPlay(s *Settings, chosen policy, targets []target.Target) *play {
	p := &play{
		settings: s, engine: s.engine(), policy: chosen, random: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	p.emulator = emulator.New(p.engine, targets)
	for i := range targets {
		p.targets = append(p.targets, &targets[i])
	}
	p.finder = path.New(p.engine, p.targets)
	centres := s.dataCentres()
	for i := range s.Instances {
		p.instances = append(p.instances, &instance{dataCentre: centres[i%len(centres)], meter: targetstats.New()})
	}
	for _, in := range p.instances {
		in.meter.SetInstanceCount(len(p.instances))
	}
	return p
}

// run plays the arrivals and returns what the callers got.
func (p *play) run(name string, arrivals []arrival) Outcome {
	for _, a := range arrivals {
		p.emulator.Schedule(a.at, func() { p.arrive(a) })
	}
	for at := p.settings.Exchange; at < p.settings.Length+drainTime; at += p.settings.Exchange {
		p.emulator.Schedule(at, p.exchange)
	}
	for _, l := range p.settings.Losses {
		p.emulator.Schedule(l.At, func() { p.lose(l) })
	}
	p.emulator.Run(p.settings.Length + drainTime)
	return newOutcome(name, p.settings, p.all, p.emulator.Stats())
}

// exchange lets each instance tell all others of its load.
func (p *play) exchange() {
	now := epoch.Add(p.emulator.Now())
	for i, from := range p.instances {
		loads := make(map[uint64]targetstats.Load)
		for name, load := range from.meter.LocalLoads() {
			loads[targetstats.TargetHash(name)] = load
		}
		for j, to := range p.instances {
			if i != j {
				to.meter.SetRemoteLoads(fmt.Sprint("instance-", i), loads, now)
			}
		}
	}
}

// lose kills targets, of those that hold layers, and tells the instances after a while.
func (p *play) lose(l Loss) {
	var lost []string
	for _, t := range p.targets {
		if t.Accelerator == l.Accelerator && t.Layers.Valid() && len(lost) < l.Count {
			lost = append(lost, t.Name)
			p.emulator.Kill(t.Name)
		}
	}
	p.emulator.Schedule(p.emulator.Now()+notice, func() {
		p.targets = slices.DeleteFunc(p.targets, func(t *target.Target) bool { return slices.Contains(lost, t.Name) })
		p.finder = path.New(p.engine, p.targets)
		for _, r := range slices.Clone(p.running) {
			r.mend(lost, 0)
		}
	})
}

// choose asks the policy for a path.
func (p *play) choose(in *instance, q path.Request) (path.Path, error) {
	q.DataCentre = in.dataCentre
	return p.policy(knowledge{
		finder: p.finder, meter: in.meter, random: p.random, now: epoch.Add(p.emulator.Now()), turn: &in.turn, targets: p.targets,
	}, q)
}

func (p *play) arrive(a arrival) {
	r := &request{play: p, arrival: a, instance: p.instances[a.instance], last: a.at}
	p.all = append(p.all, r)
	p.running = append(p.running, r)
	r.open()
}

func (p *play) forget(r *request) {
	if i := slices.Index(p.running, r); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
	}
}
