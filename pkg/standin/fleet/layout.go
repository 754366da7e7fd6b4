package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
)

const (
	// Model is the model that the workers hold.
	Model = "darning"
	// Layers is the number of its layers.
	Layers = 24
	// Pipeline is the name under which callers ask for the model.
	Pipeline = "stitch-guide"
	// Service is the name of the order-and-stock service.
	Service = "shop"
	// MaxBatch is the number of steps in one iteration of a worker.
	MaxBatch = 4
	// slowdown makes the workers slow enough that they limit the throughput and not the
	// processors of the machine that runs them all: 40 workers bear about 1,300 tokens/s.
	slowdown = 16
	// OperatorKey is the key of the only operator.
	OperatorKey = "operator-key"
)

const (
	// perKind is the number of workers of each accelerator kind.
	perKind = 10
	// activationBytes is the size of the activations of one position between stand-in engines.
	activationBytes = 8
)

// memoryLayers is the number of layers that fit in a worker of each kind. No machine holds the model.
var memoryLayers = [...]int64{12, 12, 6, 3}

// EngineSpec is the place of a model worker in the fleet.
type EngineSpec struct {
	Name        string
	DataCentre  string
	Accelerator engine.Accelerator
	Layers      layer.Range
	Link        engine.Link
}

// DefaultEngines returns the default fleet of 40 workers, placed by the planner, and the planner's
// bound in tokens/s. The seed draws their links.
func DefaultEngines(seed uint64) ([]EngineSpec, float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var workers []EngineSpec
	var hosts []placement.Target
	for n := range perKind * len(engine.Accelerators) {
		kind := engine.Accelerators[n/perKind].SlowedBy(slowdown)
		w := EngineSpec{Name: fmt.Sprintf("w%02d", n), DataCentre: DataCentre(n), Accelerator: kind, Link: drawLink(r)}
		workers = append(workers, w)
		hosts = append(hosts, placement.Target{
			Name: w.Name, Accelerator: kind.Name, DataCentre: w.DataCentre, Memory: memoryLayers[n/perKind],
			Rate: kind.LayerRate(MaxBatch), Link: float64(w.Link.BytesPerSecond),
		})
	}
	model := placement.Model{Name: Model, Layers: Layers, LayerBytes: 1, LayerCost: 1, ActivationBytes: activationBytes}
	plan := placement.New().Plan(hosts, []placement.Model{model})
	for _, a := range plan.Assignments {
		i := slices.IndexFunc(workers, func(w EngineSpec) bool { return w.Name == a.Target })
		workers[i].Layers = a.Layers
	}
	return workers, plan.Bound
}

// FullModelEngines returns fast workers that each hold every layer, so that the time of a request
// is mostly that of the way to them.
func FullModelEngines() []EngineSpec {
	var workers []EngineSpec
	for n := range 4 {
		workers = append(workers, EngineSpec{
			Name: fmt.Sprintf("w%02d", n), DataCentre: DataCentre(n),
			Accelerator: engine.Accelerators[0], Layers: layer.Range{End: Layers},
		})
	}
	return workers
}

// drawLink spreads bandwidth and latency a hundredfold.
func drawLink(r *rand.Rand) engine.Link {
	spread := math.Pow(100, r.Float64())
	return engine.Link{Latency: time.Duration(spread * float64(40*time.Microsecond)), BytesPerSecond: int(100e6 / spread)}
}

// DataCentre returns the data centre of the n-th machine of a kind.
func DataCentre(n int) string {
	return fmt.Sprintf("dc%d", n%3+1)
}

// Workspaces is the number of workspaces, of which the first three are large.
const Workspaces = 10

// shares are the parts of the load that the workspaces send, in per cent.
var shares = [Workspaces]int{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}

// DrawWorkspace returns a workspace number with the probability of its share.
func DrawWorkspace(r *rand.Rand) int {
	at := r.IntN(100)
	for n, share := range shares {
		if at < share {
			return n
		}
		at -= share
	}
	return 0
}

// ClientKey returns the key of the n-th workspace.
func ClientKey(n int) string {
	return fmt.Sprintf("caller-key-%d", n)
}

// Configuration returns the configuration of the fleet.
func Configuration() *configuration.Configuration {
	timeout := 20 * time.Second
	c := &configuration.Configuration{HeadOffice: configuration.HeadOffice{
		Fleet: "Proving fleet", TimeZone: "Europe/Ljubljana",
		Operators: []configuration.Key{{Name: "operator", Hash: configuration.HashKey(OperatorKey)}},
		Rules:     configuration.Overrides{Timeout: &timeout},
		Models:    []configuration.Model{{Name: Model, Version: "1", Layers: Layers}},
		Services: []configuration.Service{{Name: Service, Requests: []configuration.RequestKind{
			{Name: "Reorder", Method: "POST", Path: "/reorder", Timeout: 3 * time.Second},
			{Name: "Stock", Method: "GET", Path: "/stock/*", Idempotent: true, Timeout: 3 * time.Second},
		}}},
	}}
	for n, share := range shares {
		c.Workspaces = append(c.Workspaces, configuration.Workspace{
			Name: fmt.Sprintf("workspace-%d", n), Weight: share, Services: []string{Service},
			Keys:      []configuration.Key{{Name: "caller", Hash: configuration.HashKey(ClientKey(n))}},
			Branches:  []configuration.Branch{{Name: "shop"}},
			Pipelines: []configuration.Pipeline{{Name: Pipeline, Model: Model}},
		})
	}
	return c
}

// EnginePrompt returns what engines get for a question of one message.
func EnginePrompt(question string) string {
	return caller.Prompt([]caller.Message{{Role: "user", Text: question}})
}
