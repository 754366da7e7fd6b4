// Package fleet starts a complete fleet on loopback: the platform's services, model engines, order
// and stock services, and instances of the daemon. The soak test and the benchmarks run on it.
//
// Usage:
//
//	f, err := fleet.New(ctx, fleet.Options{Seed: 1, Instances: 3, Start: start})
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

// Instance is a running daemon.
type Instance interface {
	// ClientAddress returns the address for clients.
	ClientAddress() netip.AddrPort
	// OperatorAddress returns the address for operators.
	OperatorAddress() netip.AddrPort
	// PeerAddress returns the address for other instances, which use it as a seed.
	PeerAddress() netip.AddrPort
	// Version returns the version of the active configuration, 0 before the first.
	Version() uint64
	// Ready reports whether the instance serves clients.
	Ready() bool
	// Stop shuts down gracefully.
	Stop(ctx context.Context) error
	// Kill stops without a graceful shutdown and breaks all connections.
	Kill()
}

// InstanceSpec describes an instance to start.
type InstanceSpec struct {
	Name       string
	DataCentre string
	Platform   string // Platform is the base URL of the platform's services.
	Seeds      []netip.AddrPort
	Routing    string // Routing is the name of the routing policy in the settings.
}

// StartInstance starts an instance.
type StartInstance func(ctx context.Context, s InstanceSpec) (Instance, error)

// Options configure a fleet.
type Options struct {
	Seed        uint64
	Instances   int
	Routing     string       // Routing is the routing policy of the instances, empty for the default.
	Recording   bool         // Recording keeps every execution for a checker.
	EngineSpecs []EngineSpec // EngineSpecs replace DefaultEngines unless they are nil.
	Start       StartInstance

	Configuration *configuration.Configuration // Configuration replaces the default one unless it is nil.
	EngineOptions []engine.Option              // EngineOptions are further options of every engine.
}

// configureTimeout bounds the time in which the first instance applies the first configuration.
const configureTimeout = 10 * time.Second

// serviceCount is the number of order and stock services.
const serviceCount = 3

// Fleet is a running fleet.
type Fleet struct {
	Platform    *platform.Server
	EngineSpecs []EngineSpec
	Bound       float64          // Bound is the planner's throughput bound in tokens/s, 0 if the options give EngineSpecs.
	Engines     []*engine.Server // Engines are in the order of EngineSpecs.
	Services    []*service.Server

	options Options
	ctx     context.Context

	mu           sync.Mutex
	instances    []*NamedInstance
	startedCount int
	leaving      map[string]bool
}

// NamedInstance is an instance with its name and data centre.
type NamedInstance struct {
	Instance
	Name       string
	DataCentre string
}

// New starts a fleet. Its instances run with the context ctx.
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
	for n := range serviceCount {
		s, err := service.New(fmt.Sprintf("s%d", n))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	f.publishInstanceList()
	return nil
}

// configure applies the fleet's configuration through the operator API of the first instance.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(f.ctx, configureTimeout)
	defer cancel()
	client := operator.NewClient("http://"+f.instances[0].OperatorAddress().String(), OperatorKey)
	c := f.options.Configuration
	if c == nil {
		c = Configuration()
	}
	_, err := client.Apply(ctx, api.Change{ID: "initial", Configuration: c})
	return err
}

// publishInstanceList updates the platform's instance list.
func (f *Fleet) publishInstanceList() {
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
	for _, m := range f.instances {
		add(m.Name, "Entry", m.DataCentre, m.PeerAddress())
	}
	f.Platform.SetInstances(list)
}

// Table returns a new client of the platform's table.
func (f *Fleet) Table() *table.Client {
	return table.New(f.Platform.URL())
}

// SetLeaving lists a target as leaving or as live, and reports whether its state changed.
func (f *Fleet) SetLeaving(name string, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving[name] == leaving {
		return false
	}
	f.leaving[name] = leaving
	f.publishInstanceList()
	return true
}

// WaitReady waits until n listed instances serve clients and know every engine.
func (f *Fleet) WaitReady(ctx context.Context, n int, timeout time.Duration) error {
	const interval = 50 * time.Millisecond
	ready := 0
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		if err := ctx.Err(); err != nil {
			return err
		}
		ready = 0
		for _, m := range f.Ready() {
			if f.knowsAllEngines(ctx, m) {
				ready++
			}
		}
		if ready >= n {
			return nil
		}
	}
	return fmt.Errorf("%d of %d instances are ready after %v", ready, n, timeout)
}

func (f *Fleet) knowsAllEngines(ctx context.Context, m *NamedInstance) bool {
	pipelines, err := operator.NewClient("http://"+m.OperatorAddress().String(), OperatorKey).Pipelines(ctx)
	return err == nil && len(pipelines) > 0 && pipelines[0].Targets == len(f.EngineSpecs)
}

// AddInstance starts another instance and adds it to the instance list.
func (f *Fleet) AddInstance() (*NamedInstance, error) {
	f.mu.Lock()
	n := f.startedCount
	f.startedCount++
	m := &NamedInstance{Name: fmt.Sprintf("entry-%d", n), DataCentre: DataCentre(n)}
	spec := InstanceSpec{Name: m.Name, DataCentre: m.DataCentre, Platform: f.Platform.URL(), Routing: f.options.Routing}
	for _, other := range f.instances {
		spec.Seeds = append(spec.Seeds, other.PeerAddress())
	}
	f.mu.Unlock()
	instance, err := f.options.Start(f.ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start instance %s: %w", m.Name, err)
	}
	m.Instance = instance
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, m)
	f.publishInstanceList()
	return m, nil
}

// Remove removes an instance from the instance list. Afterwards it can be stopped or killed.
func (f *Fleet) Remove(m *NamedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.instances {
		if other == m {
			f.instances = append(f.instances[:i:i], f.instances[i+1:]...)
		}
	}
	f.publishInstanceList()
}

// Instances returns the listed instances.
func (f *Fleet) Instances() []*NamedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*NamedInstance(nil), f.instances...)
}

// Ready returns the listed instances that are ready, to which a load balancer would send clients.
func (f *Fleet) Ready() []*NamedInstance {
	var ready []*NamedInstance
	for _, m := range f.Instances() {
		if m.Ready() {
			ready = append(ready, m)
		}
	}
	return ready
}

// Executed returns how often each idempotency key was executed, summed over all services.
func (f *Fleet) Executed() map[string]int {
	sum := map[string]int{}
	for _, s := range f.Services {
		for key, n := range s.Executed() {
			sum[key] += n
		}
	}
	return sum
}

// Close kills the instances and stops all stand-ins.
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
