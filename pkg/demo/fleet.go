package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/examples"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/questionnaire"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

const (
	entries = 3
	// slowdown makes an answer last about a second, so that a stage can be killed in the middle of it.
	slowdown = 16
	// readyLimit is the time that the entry instances have to become ready.
	readyLimit = 15 * time.Second
	pollPause  = 20 * time.Millisecond
)

// serviceRoles are the roles of the three order-and-stock workers.
var serviceRoles = []string{"orders", "orders", "stock"}

// running is one fleet in this process.
type running struct {
	scene         scene
	configuration *configuration.Configuration
	platform      *platform.Server
	engines       []*engine.Server
	services      []*service.Server
	entries       []fleet.Instance
	listed        []instancelist.Instance
}

func start(ctx context.Context, s scene) (*running, error) {
	r := &running{scene: s}
	if err := r.generate(); err != nil {
		return nil, err
	}
	err := r.startTargets()
	for i := 0; err == nil && i < entries; i++ {
		err = r.startEntry(ctx, i)
	}
	if err == nil {
		err = r.configure(ctx)
	}
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// generate makes the configuration from the answers to the questionnaire.
func (r *running) generate() error {
	content, err := examples.Answers.ReadFile(r.scene.answers)
	if err != nil {
		return err
	}
	answers, _, err := questionnaire.Parse(r.scene.answers, content)
	if err != nil {
		return err
	}
	generated, err := questionnaire.Generate(answers)
	if err != nil {
		return err
	}
	r.configuration = generated.Configuration
	return nil
}

// startTargets starts one engine of each accelerator kind for each stage, and the services.
func (r *running) startTargets() error {
	var err error
	if r.platform, err = platform.New(); err != nil {
		return err
	}
	model := r.configuration.HeadOffice.Models[0]
	for n, layers := range r.scene.stages {
		for _, kind := range engine.Accelerators {
			name := fmt.Sprintf("stage%d-%s", n+1, kind.Name)
			e, err := engine.New(engine.WithName(name), engine.WithModel(model.Name, model.Layers, layers),
				engine.WithAccelerator(kind.SlowedBy(slowdown)))
			if err != nil {
				return err
			}
			r.engines = append(r.engines, e)
			r.list(name, "Engine", e.Addr(), len(r.engines))
		}
	}
	for n, role := range serviceRoles {
		s, err := service.New(role)
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
		r.list(fmt.Sprintf("%s-%d", role, n), role, s.Addr(), n)
	}
	return nil
}

func (r *running) list(name, role string, address netip.AddrPort, n int) {
	r.listed = append(r.listed, instancelist.Instance{
		Name: name, Role: role, Address: address, DataCentre: fleet.DataCentre(n), State: instancelist.Live,
	})
	r.platform.SetInstances(r.listed)
}

func (r *running) startEntry(ctx context.Context, n int) error {
	name := fmt.Sprintf("entry-%d", n+1)
	e, err := inprocess.Start(ctx, fleet.InstanceSpec{Name: name, DataCentre: fleet.DataCentre(n), Platform: r.platform.URL()})
	if err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	r.list(name, "Entry", e.PeerAddress(), n)
	return nil
}

// operator returns a client that uses the operator key of the settings, which makes the first change.
func (r *running) operator() *operator.Client {
	return operator.NewClient("http://"+r.entries[0].OperatorAddress().String(), fleet.OperatorKey)
}

// configure applies the generated configuration and waits until it is in force everywhere.
func (r *running) configure(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	head, err := r.operator().Apply(bounded, api.Change{ID: "first", Configuration: r.configuration})
	if err != nil {
		return err
	}
	for !r.ready(bounded, head.Version) {
		select {
		case <-bounded.Done():
			return fmt.Errorf("the entry instances are not ready after %v", readyLimit)
		case <-time.After(pollPause):
		}
	}
	return nil
}

// ready reports whether every entry instance has the version in force and can reach every stage.
func (r *running) ready(ctx context.Context, version uint64) bool {
	for _, e := range r.entries {
		if e.Version() < version || !e.Ready() {
			return false
		}
		client := operator.NewClient("http://"+e.OperatorAddress().String(), r.scene.keyPrefix+"operator")
		pipelines, err := client.Pipelines(ctx)
		if err != nil || len(pipelines) == 0 || !pipelines[0].Complete {
			return false
		}
	}
	return true
}

func (r *running) close() {
	for _, e := range r.entries {
		e.Kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, s := range r.services {
		s.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}
