package catalogue

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Engine describes the model of a service and how its targets run it.
type Engine struct {
	Model      string
	Layers     int
	LayerBytes int64
	// KVBytesPerToken is the KV cache of one token over all layers.
	KVBytesPerToken int64
	// KVCapacity is the number of tokens that the requests of one whole replica are meant to hold.
	KVCapacity int
	MaxBatch   int // Slots is the batch size of a target.
	// BaseStepTime is the time of a pass over all layers, without its sequences.
	BaseStepTime time.Duration
	// StepTimePerSequence is added to a pass for each sequence in the batch.
	StepTimePerSequence time.Duration
	// StepTimePerKToken is added to a pass for each 1,000 tokens of context in the batch.
	StepTimePerKToken time.Duration
	// PrefillRate is the prompt tokens read in a second over all layers.
	PrefillRate float64
	// ActivationBytes is what one token carries from one target to the next.
	ActivationBytes int64
	// LinkBandwidth is the bytes per second of the pipe between two data centres, which all requests share.
	LinkBandwidth float64
	// LoadTime is how long a target takes to load all layers.
	LoadTime            time.Duration
	ReportLag           time.Duration // ReportLag is the age of a target's report.
	Accelerators        map[string]Accelerator
	Delays              map[[2]string]time.Duration
	TypicalPromptTokens int // UsualPrompt is the mean number of prompt tokens.
	TypicalOutputTokens int // UsualAnswer is the mean number of answer tokens.
}

// Accelerator is a kind of hardware.
type Accelerator struct {
	MemoryBytes int64
	// StepFactor multiplies the time of a step, ReadFactor the time to read a prompt.
	StepFactor    float64
	PrefillFactor float64
}

// Delay is the one-way delay between two data centres.
func (e *Engine) Delay(from, to string) time.Duration {
	if d, ok := e.Delays[[2]string{from, to}]; ok {
		return d
	}
	return e.Delays[[2]string{to, from}]
}

// TransferTime is how long the pipe between two data centres is taken by the activations of the tokens.
func (e *Engine) TransferTime(tokens int) time.Duration {
	if e.LinkBandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(e.ActivationBytes) / e.LinkBandwidth * float64(time.Second))
}

// KVCells is the memory left for requests on a target that holds the layers, in tokens times layers.
func (e *Engine) KVCells(accelerator string, layers int) int64 {
	free := e.Accelerators[accelerator].MemoryBytes - int64(layers)*e.LayerBytes
	if e.KVBytesPerToken <= 0 || e.Layers <= 0 {
		return 0
	}
	return max(free, 0) * int64(e.Layers) / e.KVBytesPerToken
}

// MaxLayers is the number of layers that the accelerator's memory holds.
func (e *Engine) MaxLayers(accelerator string) int {
	if e.LayerBytes <= 0 {
		return 0
	}
	return min(e.Layers, int(e.Accelerators[accelerator].MemoryBytes/e.LayerBytes))
}

// StepTime is the time of a pass of one sequence over the layers.
func (e *Engine) StepTime(accelerator string, layers layer.Range) time.Duration {
	share := float64(layers.Len()) / float64(max(e.Layers, 1))
	return time.Duration(float64(e.BaseStepTime) * e.Accelerators[accelerator].StepFactor * share)
}

// PrefillTime is the time to read a prompt through the layers.
func (e *Engine) PrefillTime(accelerator string, layers layer.Range, tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	share := float64(layers.Len()) / float64(max(e.Layers, 1))
	return time.Duration(float64(tokens) / e.PrefillRate * e.Accelerators[accelerator].PrefillFactor * share * float64(time.Second))
}
