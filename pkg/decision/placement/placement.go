package placement

import "github.com/cuminroute/cuminroute/pkg/layer"

// Target is an accelerator host that can hold one range of layers.
type Target struct {
	Name        string
	Accelerator string
	DataCentre  string
	Memory      int64   // Memory is the memory for weights in bytes.
	Rate        float64 // Rate is the compute rate in cost units/s.
	Link        float64 // Link is the link bandwidth in bytes/s in each direction; 0 means unlimited.
}

// Model is a model to be placed.
type Model struct {
	Name            string
	Layers          int
	LayerBytes      int64   // LayerBytes is the weight size of one layer.
	LayerCost       float64 // LayerCost is the compute cost of one layer for one token.
	ActivationBytes int64   // ActivationBytes is the size of one token's activations that are sent between stages.
	TokenFraction   float64 // TokenFraction is the model's weight in the total of generated tokens; 0 counts as 1.
}

// Assignment maps a target to the layers that it holds.
type Assignment struct {
	Target string
	Model  string
	Layers layer.Range
}

// Plan is a set of assignments and the throughput that they allow.
type Plan struct {
	Assignments []Assignment
	Throughput  float64 // Throughput is the plan's throughput in tokens/s.
	Bound       float64 // Bound is the upper bound for any placement on these targets, in tokens/s.
	LimitedBy   string  // LimitedBy is the resource that sets Bound.
}
