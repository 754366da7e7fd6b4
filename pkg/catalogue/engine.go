package catalogue

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Engine describes the model of a service and the cost of running the model on the service's targets.
//
// Each target holds some layers of the model. A replica is a set of targets that hold every layer once. A step runs a
// batch of sequences through layers and yields one output token of each sequence. A KV cell is the KV cache of one token
// in one layer.
type Engine struct {
	Model      string
	Layers     int
	LayerBytes int64
	// KVBytesPerToken is the size of one token's KV cache over all layers.
	KVBytesPerToken int64
	// KVCapacity is the intended number of tokens in the KV cache of one replica.
	KVCapacity int
	MaxBatch   int // MaxBatch is the maximum batch size of a target.
	// BaseStepTime is the time of a step through all layers, not counting its sequences.
	BaseStepTime time.Duration
	// StepTimePerSequence is added to a step for each sequence in the batch.
	StepTimePerSequence time.Duration
	// StepTimePerKToken is added to a step for each 1,000 tokens of context in the batch.
	StepTimePerKToken time.Duration
	// PrefillRate is the number of prompt tokens per second through all layers.
	PrefillRate float64
	// ActivationBytes is the size of the activations that one target sends to the next for each token.
	ActivationBytes int64
	// LinkBandwidth is the bandwidth of the link between two data centres in bytes per second, shared by all requests.
	LinkBandwidth float64
	// LoadTime is how long a target takes to load all layers.
	LoadTime            time.Duration
	ReportLag           time.Duration // ReportLag is the age of the load that a target's report shows.
	Accelerators        map[string]Accelerator
	Delays              map[[2]string]time.Duration // Delays holds the one-way delays between pairs of data centres.
	TypicalPromptTokens int                         // TypicalPromptTokens is the mean number of prompt tokens.
	TypicalOutputTokens int                         // TypicalOutputTokens is the mean number of output tokens.
}

// Accelerator describes a kind of accelerator hardware.
type Accelerator struct {
	MemoryBytes int64
	// StepFactor multiplies the time of a step, and PrefillFactor the time of a prefill.
	StepFactor    float64
	PrefillFactor float64
}

// Delay returns the one-way delay between two data centres, which is the same in both directions.
func (e *Engine) Delay(from, to string) time.Duration {
	if d, ok := e.Delays[[2]string{from, to}]; ok {
		return d
	}
	return e.Delays[[2]string{to, from}]
}

// TransferTime returns how long the activations of that many tokens occupy the link between two data centres.
func (e *Engine) TransferTime(tokens int) time.Duration {
	if e.LinkBandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(e.ActivationBytes) / e.LinkBandwidth * float64(time.Second))
}

// KVCells returns the number of KV cells (tokens times layers) for which a target that holds that many layers has memory
// left.
func (e *Engine) KVCells(accelerator string, layers int) int64 {
	free := e.Accelerators[accelerator].MemoryBytes - int64(layers)*e.LayerBytes
	if e.KVBytesPerToken <= 0 || e.Layers <= 0 {
		return 0
	}
	return max(free, 0) * int64(e.Layers) / e.KVBytesPerToken
}

// MaxLayers returns the number of layers that fit into the accelerator's memory, without any KV cache.
func (e *Engine) MaxLayers(accelerator string) int {
	if e.LayerBytes <= 0 {
		return 0
	}
	return min(e.Layers, int(e.Accelerators[accelerator].MemoryBytes/e.LayerBytes))
}

// StepTime returns the time of a step through the layers on the accelerator, without the time that each sequence adds.
func (e *Engine) StepTime(accelerator string, layers layer.Range) time.Duration {
	fraction := float64(layers.Len()) / float64(max(e.Layers, 1))
	return time.Duration(float64(e.BaseStepTime) * e.Accelerators[accelerator].StepFactor * fraction)
}

// PrefillTime returns the time to prefill a prompt of that many tokens through the layers.
func (e *Engine) PrefillTime(accelerator string, layers layer.Range, tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	fraction := float64(layers.Len()) / float64(max(e.Layers, 1))
	return time.Duration(float64(tokens) / e.PrefillRate * e.Accelerators[accelerator].PrefillFactor * fraction * float64(time.Second))
}
