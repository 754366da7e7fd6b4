package engine

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Accelerator is a kind of hardware. For each layer, one iteration takes PerLayer plus
// PerPosition for each position in the batch.
type Accelerator struct {
	Name        string
	PerLayer    time.Duration
	PerPosition time.Duration
}

// Accelerators are the four kinds of the default fleet. The fastest is 8 times as fast as the slowest.
var Accelerators = []Accelerator{
	{Name: "A8", PerLayer: 25 * time.Microsecond, PerPosition: 30 * time.Microsecond},
	{Name: "A4", PerLayer: 50 * time.Microsecond, PerPosition: 60 * time.Microsecond},
	{Name: "A2", PerLayer: 100 * time.Microsecond, PerPosition: 120 * time.Microsecond},
	{Name: "A1", PerLayer: 200 * time.Microsecond, PerPosition: 240 * time.Microsecond},
}

// SlowedBy returns the accelerator with all times multiplied by factor.
func (a Accelerator) SlowedBy(factor int) Accelerator {
	a.PerLayer *= time.Duration(factor)
	a.PerPosition *= time.Duration(factor)
	return a
}

// LayerRate returns how many layers of one position the accelerator runs per second with full batches.
func (a Accelerator) LayerRate(batch int) float64 {
	return float64(batch) / (a.PerLayer + time.Duration(batch)*a.PerPosition).Seconds()
}

// AcceleratorByName returns the accelerator with that name, or the fastest if there is none.
func AcceleratorByName(name string) Accelerator {
	for _, a := range Accelerators {
		if a.Name == name {
			return a
		}
	}
	return Accelerators[0]
}

const (
	defaultMaxBatch = 32
	// defaultMaxQueue is the number of queued steps at which the engine refuses further ones as overloaded.
	defaultMaxQueue = 1024
	// defaultMaxGenerations is the number of generations whose KV cache fits in memory.
	defaultMaxGenerations = 4096
	// defaultMaxPrefixes is the number of prompt prefixes that fit in the prefix cache.
	defaultMaxPrefixes = 512
	// defaultReportLag is the age of the load in a report.
	defaultReportLag = 2 * time.Second
	defaultEventLag  = time.Second
	// defaultEventLossInterval means that one in this many cache events is lost.
	defaultEventLossInterval = 16
)

type options struct {
	name              string
	address           netip.AddrPort
	model             string
	version           string
	modelLayers       int
	layers            layer.Range
	accelerator       Accelerator
	maxBatch          int
	maxQueue          int
	maxGenerations    int
	maxPrefixes       int
	reportLag         time.Duration
	eventLag          time.Duration
	eventLossInterval uint64
	loadTime          time.Duration
	checksFence       bool
	recording         bool
}

func defaults() options {
	return options{
		address: netip.MustParseAddrPort("127.0.0.1:0"), name: "engine", model: "darning", version: "1", modelLayers: 8,
		layers: layer.Range{First: 0, End: 8}, accelerator: Accelerators[0], maxBatch: defaultMaxBatch,
		maxQueue: defaultMaxQueue, maxGenerations: defaultMaxGenerations, maxPrefixes: defaultMaxPrefixes,
		reportLag: defaultReportLag, eventLag: defaultEventLag, eventLossInterval: defaultEventLossInterval,
		checksFence: true, recording: true,
	}
}

// Option sets a property of a stand-in engine.
type Option func(*options)

// WithName sets the engine's name in reports and executions.
func WithName(name string) Option { return func(o *options) { o.name = name } }

// WithAddress sets the loopback address to listen on. The default is a free port.
func WithAddress(a netip.AddrPort) Option {
	return func(o *options) { o.address = a }
}

// WithModel sets the model, its number of layers and the range that the engine holds.
func WithModel(model string, modelLayers int, held layer.Range) Option {
	return func(o *options) { o.model, o.modelLayers, o.layers = model, modelLayers, held }
}

// WithAccelerator sets the hardware kind, and with it the time of an iteration.
func WithAccelerator(a Accelerator) Option { return func(o *options) { o.accelerator = a } }

// WithMaxBatch sets the maximum number of steps in one iteration.
func WithMaxBatch(n int) Option { return func(o *options) { o.maxBatch = n } }

// WithReportLag sets the age of the load in reports.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.reportLag = d } }

// WithEvents sets the delay of cache events, and that one in lossInterval is lost. 0 loses none.
func WithEvents(lag time.Duration, lossInterval uint64) Option {
	return func(o *options) { o.eventLag, o.eventLossInterval = lag, lossInterval }
}

// WithLoadTime sets the time to load one layer of an assignment.
func WithLoadTime(perLayer time.Duration) Option { return func(o *options) { o.loadTime = perLayer } }

// WithFenceCheck sets whether assignments with an old fencing token are refused.
func WithFenceCheck(checks bool) Option { return func(o *options) { o.checksFence = checks } }

// WithRecording sets whether steps are recorded for Executions. The default is true.
func WithRecording(on bool) Option { return func(o *options) { o.recording = on } }
