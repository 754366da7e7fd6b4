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
	// Model is the model that the engines hold.
	Model = "darning"
	// Layers is the number of the model's layers.
	Layers = 24
	// Pipeline is the pipeline name that clients request.
	Pipeline = "stitch-guide"
	// Service is the name of the order and stock service.
	Service = "shop"
	// MaxBatch is the maximum number of steps in one iteration of an engine.
	MaxBatch = 4
	// slowdown makes the engines the bottleneck of the throughput instead of the processors of the
	// host that runs them all: 40 engines reach about 1,300 tokens/s.
	slowdown = 16
	// OperatorKey is the key of the only operator.
	OperatorKey = "operator-key"
)

const (
	// enginesPerKind is the number of engines of each accelerator kind.
	enginesPerKind = 10
	// activationBytes is the size of the activation of one position that stand-in engines exchange.
	activationBytes = 8
)

// memoryLayers is the number of layers that fit in the memory of each accelerator kind. No engine can hold the
// complete model.
var memoryLayers = [...]int64{12, 12, 6, 3}

// EngineSpec describes a model engine of the fleet.
type EngineSpec struct {
	Name        string
	DataCentre  string
	Accelerator engine.Accelerator
	Layers      layer.Range
	Link        engine.Link
}

// DefaultEngines returns the 40 engines of the default fleet, with layers placed by the planner, and the
// planner's upper bound of the throughput in tokens/s. The seed determines the links.
func DefaultEngines(seed uint64) ([]EngineSpec, float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var specs []EngineSpec
	var targets []placement.Target
	for n := range enginesPerKind * len(engine.Accelerators) {
		kind := engine.Accelerators[n/enginesPerKind].SlowedBy(slowdown)
		w := EngineSpec{Name: fmt.Sprintf("w%02d", n), DataCentre: DataCentre(n), Accelerator: kind, Link: drawLink(r)}
		specs = append(specs, w)
		targets = append(targets, placement.Target{
			Name: w.Name, Accelerator: kind.Name, DataCentre: w.DataCentre, Memory: memoryLayers[n/enginesPerKind],
			Rate: kind.LayerRate(MaxBatch), Link: float64(w.Link.BytesPerSecond),
		})
	}
	model := placement.Model{Name: Model, Layers: Layers, LayerBytes: 1, LayerCost: 1, ActivationBytes: activationBytes}
	plan := placement.New().Plan(targets, []placement.Model{model})
	for _, a := range plan.Assignments {
		i := slices.IndexFunc(specs, func(w EngineSpec) bool { return w.Name == a.Target })
		specs[i].Layers = a.Layers
	}
	return specs, plan.Bound
}

// FullModelEngines returns fast engines that each hold every layer, so that the time of a request
// is mostly the overhead of reaching them.
func FullModelEngines() []EngineSpec {
	var specs []EngineSpec
	for n := range 4 {
		specs = append(specs, EngineSpec{
			Name: fmt.Sprintf("w%02d", n), DataCentre: DataCentre(n),
			Accelerator: engine.Accelerators[0], Layers: layer.Range{End: Layers},
		})
	}
	return specs
}

// drawLink returns a random link. Bandwidth and latency vary by a factor of up to 100.
func drawLink(r *rand.Rand) engine.Link {
	spread := math.Pow(100, r.Float64())
	return engine.Link{Latency: time.Duration(spread * float64(40*time.Microsecond)), BytesPerSecond: int(100e6 / spread)}
}

// DataCentre returns the data centre of the n-th instance or target of a kind.
func DataCentre(n int) string {
	return fmt.Sprintf("dc%d", n%3+1)
}

// Workspaces is the number of workspaces. The first three have larger shares of the load.
const Workspaces = 10

// shares are the workspaces' shares of the load, in per cent.
var shares = [Workspaces]int{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}

// DrawWorkspace returns a random workspace number, weighted by the workspaces' shares.
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

// ClientKey returns the API key of the n-th workspace.
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

// EnginePrompt returns the prompt that engines receive for a chat request of one user message.
func EnginePrompt(content string) string {
	return caller.Prompt([]caller.Message{{Role: "user", Text: content}})
}
