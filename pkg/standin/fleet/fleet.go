// Package fleet starts a whole fleet on loopback: the platform's services, model workers, order
// and stock workers, and entry instances. The soak run and the measurements run on it.
//
// Usage:
//
//	f, err := fleet.New(ctx, fleet.Options{Seed: 1, Entries: 3, Start: start})
//	defer f.Close()
//	f.Engines[4].Freeze(true)
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// Instance is a running entry instance.
type Instance interface {
	// ClientAddress returns the address for callers.
	ClientAddress() netip.AddrPort
	// OperatorAddress returns the address for operators.
	OperatorAddress() netip.AddrPort
	// PeerAddress returns the address that other instances are seeded with.
	PeerAddress() netip.AddrPort
	// Version returns the configuration version in force, 0 before the first.
	Version() uint64
	// Ready reports whether the instance serves callers.
	Ready() bool
	// Stop shuts down gracefully.
	Stop(ctx context.Context) error
	// Kill breaks all connections at once.
	Kill()
}

// InstanceSpec says how to start an entry instance.
type InstanceSpec struct {
	Name       string
	DataCentre string
	Platform   string // Platform is the base URL of the platform's services.
	Seeds      []netip.AddrPort
	Routing    string // Routing is the policy as the settings name it.
}

// StartInstance starts an entry instance.
type StartInstance func(ctx context.Context, s InstanceSpec) (Instance, error)

// Options size a fleet.
type Options struct {
	Seed        uint64
	Instances   int
	Routing     string       // Routing is the policy by which entry instances choose targets, empty for the default.
	Recording   bool         // Recording keeps every execution for an oracle.
	EngineSpecs []EngineSpec // Workers replace the default fleet where they are given.
	Start       StartInstance

	Configuration *configuration.Configuration // Configuration replaces the default one where it is given.
	EngineOptions []engine.Option              // Engine are further options of every engine.
}

// configureLimit is the time that the first entry instance has to take the first configuration.
const configureLimit = 10 * time.Second

// services is the number of order-and-stock workers.
const services = 3

// Fleet is a running fleet.
type Fleet struct {
	Platform    *platform.Server
	EngineSpecs []EngineSpec
	Bound       float64          // Bound is the planner's, in tokens/s.
	Engines     []*engine.Server // Engines are in the order of Workers.
	Services    []*service.Server

	options Options
	ctx     context.Context

	mu      sync.Mutex
	entries []*NamedInstance
	started int
	leaving map[string]bool
}

// NamedInstance is an entry instance and its name.
type NamedInstance struct {
	Instance
	Name       string
	DataCentre string
}

// New starts a fleet. The context is that of its entry instances.
func New(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, ctx: ctx, leaving: map[string]bool{}}
	f.EngineSpecs, f.Bound = DefaultEngines(o.Seed)
	if o.EngineSpecs != nil {
		f.EngineSpecs, f.Bound = o.EngineSpecs, 0
	}
	err := f.startTargets()
	for i := 0; err == nil && i < o.Instances; i++ {
		_, err = f.AddInstance()
		if err == nil && i == 0 {
			err = f.configure()
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startTargets() error {
	var err error
	if f.Platform, err = platform.New(platform.WithSeed(f.options.Seed)); err != nil {
		return err
	}
	for _, w := range f.EngineSpecs {
		options := append([]engine.Option{
			engine.WithName(w.Name), engine.WithModel(Model, Layers, w.Layers),
			engine.WithAccelerator(w.Accelerator), engine.WithMaxBatch(MaxBatch), engine.WithRecording(f.options.Recording),
		}, f.options.EngineOptions...)
		e, err := engine.New(options...)
		if err != nil {
			return err
		}
		e.SetLink(w.Link)
		f.Engines = append(f.Engines, e)
	}
	for n := range services {
		s, err := service.New(fmt.Sprintf("s%d", n))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	f.publish()
	return nil
}

// configure applies the fleet's configuration at the first entry instance.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(f.ctx, configureLimit)
	defer cancel()
	client := operator.NewClient("http://"+f.entries[0].OperatorAddress().String(), OperatorKey)
	c := f.options.Configuration
	if c == nil {
		c = Configuration()
	}
	_, err := client.Apply(ctx, api.Change{ID: "initial", Configuration: c})
	return err
}

// publish writes the instance list to the platform.
func (f *Fleet) publish() {
	var list []instancelist.Instance
	add := func(name, role, dataCentre string, at netip.AddrPort) {
		state := instancelist.Live
		if f.leaving[name] {
			state = instancelist.Leaving
		}
		list = append(list, instancelist.Instance{Name: name, Role: role, Address: at, DataCentre: dataCentre, State: state})
	}
	for i, w := range f.EngineSpecs {
		add(w.Name, "Engine", w.DataCentre, f.Engines[i].Addr())
	}
	for n, s := range f.Services {
		add(fmt.Sprintf("s%d", n), Service, DataCentre(n), s.Addr())
	}
	for _, m := range f.entries {
		add(m.Name, "Entry", m.DataCentre, m.PeerAddress())
	}
	f.Platform.SetInstances(list)
}

// Table returns a client of the platform's table.
func (f *Fleet) Table() *table.Client {
	return table.New(f.Platform.URL())
}

// SetLeaving lists a target as leaving, or as live again, and reports whether that is a change.
func (f *Fleet) SetLeaving(name string, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving[name] == leaving {
		return false
	}
	f.leaving[name] = leaving
	f.publish()
	return true
}

// WaitReady waits until n listed entry instances serve callers and know every worker.
func (f *Fleet) WaitReady(ctx context.Context, n int, limit time.Duration) error {
	const interval = 50 * time.Millisecond
	ready := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if err := ctx.Err(); err != nil {
			return err
		}
		ready = 0
		for _, m := range f.Ready() {
			if f.knowsWorkers(ctx, m) {
				ready++
			}
		}
		if ready >= n {
			return nil
		}
	}
	return fmt.Errorf("%d of %d entry instances are ready after %v", ready, n, limit)
}

func (f *Fleet) knowsWorkers(ctx context.Context, m *NamedInstance) bool {
	pipelines, err := operator.NewClient("http://"+m.OperatorAddress().String(), OperatorKey).Pipelines(ctx)
	return err == nil && len(pipelines) > 0 && pipelines[0].Targets == len(f.EngineSpecs)
}

// AddInstance starts one more entry instance and lists it.
func (f *Fleet) AddInstance() (*NamedInstance, error) {
	f.mu.Lock()
	n := f.started
	f.started++
	m := &NamedInstance{Name: fmt.Sprintf("entry-%d", n), DataCentre: DataCentre(n)}
	spec := InstanceSpec{Name: m.Name, DataCentre: m.DataCentre, Platform: f.Platform.URL(), Routing: f.options.Routing}
	for _, other := range f.entries {
		spec.Seeds = append(spec.Seeds, other.PeerAddress())
	}
	f.mu.Unlock()
	entry, err := f.options.Start(f.ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("entry instance %s: %w", m.Name, err)
	}
	m.Instance = entry
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, m)
	f.publish()
	return m, nil
}

// Remove takes an entry instance from the list, after which it may be stopped or killed.
func (f *Fleet) Remove(m *NamedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.entries {
		if other == m {
			f.entries = append(f.entries[:i:i], f.entries[i+1:]...)
		}
	}
	f.publish()
}

// Instances returns the listed entry instances.
func (f *Fleet) Instances() []*NamedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*NamedInstance(nil), f.entries...)
}

// Ready returns the listed entry instances that serve callers, as a load balancer sees them.
func (f *Fleet) Ready() []*NamedInstance {
	var ready []*NamedInstance
	for _, m := range f.Instances() {
		if m.Ready() {
			ready = append(ready, m)
		}
	}
	return ready
}

// Executed returns how often each idempotency key was executed over all services.
func (f *Fleet) Executed() map[string]int {
	sum := map[string]int{}
	for _, s := range f.Services {
		for key, n := range s.Executed() {
			sum[key] += n
		}
	}
	return sum
}

// Close kills everything.
func (f *Fleet) Close() {
	for _, m := range f.Instances() {
		m.Kill()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
