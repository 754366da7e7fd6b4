// Package target describes the model workers and plain services that requests are routed to.
//
// Usage:
//
//	t := target.Target{Name: "w1", Kind: target.Engine, Model: "darning", Layers: layer.Range{First: 0, End: 16}}
//	if t.AcceptsRequests() { ... }
package target

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// Kind distinguishes model engines from plain services.
type Kind string

const (
	// Engine is a model engine that holds a range of layers.
	Engine Kind = "Engine"
	// Service is a plain service, such as orders or stock.
	Service Kind = "Service"
)

// State is the state of a target as the platform or the target itself reports it.
type State string

const (
	// Live targets accept new work.
	Live State = "Live"
	// Leaving targets finish what they run and accept no new work.
	Leaving State = "Leaving"
)

// Target is what an instance knows of one target.
type Target struct {
	Name        string         `json:"Name"`
	Kind        Kind           `json:"Kind"`
	Address     netip.AddrPort `json:"Address"`
	DataCentre  string         `json:"DataCentre"`
	State       State          `json:"State"`
	Accelerator string         `json:"Accelerator,omitempty"` // Accelerator is the hardware kind of an engine.
	Model       string         `json:"Model,omitempty"`       // Model is the model that an engine holds.
	ModelLayers int            `json:"ModelLayers,omitempty"` // ModelLayers is the layer count of the whole model.
	Layers      layer.Range    `json:"Layers,omitzero"`       // Layers is the range that an engine holds.
	Service     string         `json:"Service,omitempty"`     // Service is the name of the service that the target belongs to.
	Slots       int            `json:"Slots,omitempty"`       // Slots is the number of requests that the target runs at once.
	Assignments uint64         `json:"Orders,omitempty"`      // Orders counts the orders that the target has accepted since its start.
	StartTime   time.Time      `json:"Started,omitzero"`      // Started is when the target's process started.
}

// AcceptsRequests reports whether the target may be given new work.
func (t Target) AcceptsRequests() bool {
	return t.State == Live
}
