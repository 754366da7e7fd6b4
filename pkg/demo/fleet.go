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
	instanceCount = 3
	// slowdown makes a response last about a second, so that a stage can be killed in the middle of it.
	slowdown = 16
	// readyTimeout is the time in which the instances must become ready.
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// serviceRoles holds the role of each of the three targets of the order and stock services.
var serviceRoles = []string{"orders", "orders", "stock"}

// runningFleet is a fleet of instances and stand-ins that runs in this process.
type runningFleet struct {
	scenario      scenario
	configuration *configuration.Configuration
	platform      *platform.Server
	engines       []*engine.Server
	services      []*service.Server
	instances     []fleet.Instance
	instanceList  []instancelist.Instance
}

func start(ctx context.Context, s scenario) (*runningFleet, error) {
	r := &runningFleet{scenario: s}
	if err := r.generateConfiguration(); err != nil {
		return nil, err
	}
	err := r.startTargets()
	for i := 0; err == nil && i < instanceCount; i++ {
		err = r.startInstance(ctx, i)
	}
	if err == nil {
		err = r.applyConfiguration(ctx)
	}
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// generateConfiguration generates the configuration from the answers to the questionnaire.
func (r *runningFleet) generateConfiguration() error {
	content, err := examples.Answers.ReadFile(r.scenario.answers)
	if err != nil {
		return err
	}
	answers, _, err := questionnaire.Parse(r.scenario.answers, content)
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

// startTargets starts the platform, one engine of each accelerator kind for each stage, and the services.
func (r *runningFleet) startTargets() error {
	var err error
	if r.platform, err = platform.New(); err != nil {
		return err
	}
	model := r.configuration.HeadOffice.Models[0]
	for n, layers := range r.scenario.stages {
		for _, kind := range engine.Accelerators {
			name := fmt.Sprintf("stage%d-%s", n+1, kind.Name)
			e, err := engine.New(engine.WithName(name), engine.WithModel(model.Name, model.Layers, layers),
				engine.WithAccelerator(kind.SlowedBy(slowdown)))
			if err != nil {
				return err
			}
			r.engines = append(r.engines, e)
			r.addToInstanceList(name, "Engine", e.Addr(), len(r.engines))
		}
	}
	for n, role := range serviceRoles {
		s, err := service.New(role)
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
		r.addToInstanceList(fmt.Sprintf("%s-%d", role, n), role, s.Addr(), n)
	}
	return nil
}

func (r *runningFleet) addToInstanceList(name, role string, address netip.AddrPort, n int) {
	r.instanceList = append(r.instanceList, instancelist.Instance{
		Name: name, Role: role, Address: address, DataCentre: fleet.DataCentre(n), State: instancelist.Live,
	})
	r.platform.SetInstances(r.instanceList)
}

func (r *runningFleet) startInstance(ctx context.Context, n int) error {
	name := fmt.Sprintf("entry-%d", n+1)
	instance, err := inprocess.Start(ctx, fleet.InstanceSpec{Name: name, DataCentre: fleet.DataCentre(n), Platform: r.platform.URL()})
	if err != nil {
		return err
	}
	r.instances = append(r.instances, instance)
	r.addToInstanceList(name, "Entry", instance.PeerAddress(), n)
	return nil
}

// operatorClient returns a client with the operator key of the settings, which is valid before the first
// configuration and submits it.
func (r *runningFleet) operatorClient() *operator.Client {
	return operator.NewClient("http://"+r.instances[0].OperatorAddress().String(), fleet.OperatorKey)
}

// applyConfiguration applies the generated configuration and waits until it is active on every instance.
func (r *runningFleet) applyConfiguration(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	head, err := r.operatorClient().Apply(timeoutCtx, api.Change{ID: "first", Configuration: r.configuration})
	if err != nil {
		return err
	}
	for !r.ready(timeoutCtx, head.Version) {
		select {
		case <-timeoutCtx.Done():
			return fmt.Errorf("the instances are not ready after %v", readyTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// ready reports whether on every instance the version is active and the first pipeline is complete, which
// means that the instance reaches targets for all layers.
func (r *runningFleet) ready(ctx context.Context, version uint64) bool {
	for _, instance := range r.instances {
		if instance.Version() < version || !instance.Ready() {
			return false
		}
		client := operator.NewClient("http://"+instance.OperatorAddress().String(), r.scenario.keyPrefix+"operator")
		pipelines, err := client.Pipelines(ctx)
		if err != nil || len(pipelines) == 0 || !pipelines[0].Complete {
			return false
		}
	}
	return true
}

func (r *runningFleet) close() {
	for _, instance := range r.instances {
		instance.Kill()
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
