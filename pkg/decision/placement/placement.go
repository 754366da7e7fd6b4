package placement

import "github.com/cuminroute/cuminroute/pkg/layer"

// Target is one accelerator host that can hold a range of layers.
type Target struct {
	Name        string
	Accelerator string
	DataCentre  string
	Memory      int64   // Memory is the number of bytes for weights.
	Rate        float64 // Rate is the compute rate in cost units/s.
	Link        float64 // Link is the link speed in bytes/s, each way; 0 means that it does not limit.
}

// Model is a model to be placed.
type Model struct {
	Name            string
	Layers          int
	LayerBytes      int64   // LayerBytes is the memory of one layer.
	LayerCost       float64 // LayerCost is the compute cost of one layer for one token.
	ActivationBytes int64   // ActivationBytes is the size of the activations of one token between stages.
	TokenFraction   float64 // Share is the part of all tokens that this model is to generate; 0 counts as 1.
}

// Assignment says which layers a worker holds.
type Assignment struct {
	Target string
	Model  string
	Layers layer.Range
}

// Plan is an assignment of layers to workers and the throughput it allows.
type Plan struct {
	Assignments []Assignment
	Throughput  float64 // Throughput is what the plan allows, in tokens/s.
	Bound       float64 // Bound is what no schedule on these workers can exceed, in tokens/s.
	LimitedBy   string  // LimitedBy names what sets Bound.
}
