// Package target describes the back ends that requests are routed to: model engines and other services.
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

// Kind distinguishes model engines from other services.
type Kind string

const (
	// Engine is a model engine that holds a range of layers.
	Engine Kind = "Engine"
	// Service is a service other than a model, such as orders or stock.
	Service Kind = "Service"
)

// State is the state of a target as reported by the platform or the target itself.
type State string

const (
	// Live targets accept new requests.
	Live State = "Live"
	// Leaving targets finish their running requests and accept no new ones.
	Leaving State = "Leaving"
)

// Target describes one back end, as listed by the platform and updated from the target's own reports.
type Target struct {
	Name        string         `json:"Name"`
	Kind        Kind           `json:"Kind"`
	Address     netip.AddrPort `json:"Address"`
	DataCentre  string         `json:"DataCentre"`
	State       State          `json:"State"`
	Accelerator string         `json:"Accelerator,omitempty"` // Accelerator is the accelerator type of an engine.
	Model       string         `json:"Model,omitempty"`       // Model is the model that an engine serves.
	ModelLayers int            `json:"ModelLayers,omitempty"` // ModelLayers is the number of layers of the complete model.
	Layers      layer.Range    `json:"Layers,omitzero"`       // Layers is the range of layers that an engine holds.
	Service     string         `json:"Service,omitempty"`     // Service is the name of the service that the target belongs to.
	Slots       int            `json:"Slots,omitempty"`       // Slots is the number of requests that the target runs concurrently.
	Assignments uint64         `json:"Orders,omitempty"`      // Assignments counts the layer assignments that the engine accepted since StartTime.
	StartTime   time.Time      `json:"Started,omitzero"`      // StartTime is when the target's process started.
}

// AcceptsRequests reports whether the target accepts new requests.
func (t Target) AcceptsRequests() bool {
	return t.State == Live
}
