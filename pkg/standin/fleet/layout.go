package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/layer"
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
	MaxBatch = 8
	// slowdown makes the workers slow enough that they limit the throughput and not the
	// processors of the machine that runs them all: 40 workers bear about 1,500 tokens/s.
	slowdown = 16
	// OperatorKey is the key of the only operator.
	OperatorKey = "operator-key"
)

// group is a layer range and the number of workers of each accelerator kind that hold it.
type group struct {
	layers layer.Range
	counts [4]int // counts are in the order of engine.Accelerators, fastest first.
}

// groups hold 10 workers of each kind. Each range bears about 6 times the rate of the fastest
// kind for one layer, so that no range limits the fleet much more than the others.
var groups = []group{
	{layer.Range{First: 0, End: 8}, [4]int{6, 0, 0, 0}},
	{layer.Range{First: 8, End: 14}, [4]int{4, 1, 0, 0}},
	{layer.Range{First: 14, End: 18}, [4]int{0, 6, 0, 0}},
	{layer.Range{First: 18, End: 20}, [4]int{0, 3, 0, 0}},
	{layer.Range{First: 20, End: 22}, [4]int{0, 0, 6, 0}},
	{layer.Range{First: 22, End: 24}, [4]int{0, 0, 4, 10}},
}

// Worker is the place of a model worker in the fleet.
type Worker struct {
	Name        string
	DataCentre  string
	Accelerator engine.Accelerator
	Layers      layer.Range
	Link        engine.Link
}

// Workers returns the default fleet of 40 workers. The seed draws their links.
func Workers(seed uint64) []Worker {
	r := rand.New(rand.NewPCG(seed, 1))
	var workers []Worker
	for _, g := range groups {
		for kind, count := range g.counts {
			for range count {
				n := len(workers)
				workers = append(workers, Worker{
					Name: fmt.Sprintf("w%02d", n), DataCentre: DataCentre(n), Layers: g.layers,
					Accelerator: engine.Accelerators[kind].Slower(slowdown), Link: drawLink(r),
				})
			}
		}
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

// Bound returns the tokens/s that the workers could bear if the layers were spread evenly over
// them: the sum of their layer rates over the number of layers.
func Bound(workers []Worker) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += w.Accelerator.LayerRate(MaxBatch)
	}
	return sum / Layers
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

// CallerKey returns the key of the n-th workspace.
func CallerKey(n int) string {
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
			Keys:      []configuration.Key{{Name: "caller", Hash: configuration.HashKey(CallerKey(n))}},
			Branches:  []configuration.Branch{{Name: "shop"}},
			Pipelines: []configuration.Pipeline{{Name: Pipeline, Model: Model}},
		})
	}
	return c
}
