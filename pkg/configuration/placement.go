package configuration

import (
	"cmp"
	"fmt"
)

const (
	// DefaultLayerBytes is the size of one layer of a model with 32 layers and 8 billion parameters of
	// 2 bytes each.
	DefaultLayerBytes = 512 << 20
	// DefaultActivationBytes is 8,192 values of 2 bytes.
	DefaultActivationBytes = 16 << 10
	// DefaultLoadRate is the throughput of the weight store in bytes/s for all engines together.
	DefaultLoadRate = 1_000_000_000
)

// Limits of the values for the placement.
const (
	maxBytes = 1 << 50           // maxBytes is 1 PiB, far above the memory of a host, and catches a wrong unit.
	maxRate  = 1_000_000_000_000 // maxRate limits LoadRate, Rate and Link.
	maxCost  = 1_000_000         // maxCost limits LayerCost and Share.
)

// Placement says whether and how the layers of models are assigned to engines.
type Placement struct {
	Managed  bool `json:"Managed,omitempty" yaml:"Managed,omitempty"`   // Managed means that layers are assigned to engines; otherwise engines keep the layers that they report.
	LoadRate int  `json:"LoadRate,omitempty" yaml:"LoadRate,omitempty"` // LoadRate is the throughput of the weight store in bytes/s; 0 means DefaultLoadRate.
}

// Rate returns the throughput of the weight store in bytes/s: LoadRate, or DefaultLoadRate if LoadRate is 0.
func (p Placement) Rate() int {
	return cmp.Or(p.LoadRate, DefaultLoadRate)
}

// Accelerator is a kind of accelerator, under the name that engines report.
type Accelerator struct {
	Name        string `json:"Name" yaml:"Name"`
	MemoryBytes int    `json:"MemoryBytes" yaml:"MemoryBytes"`       // MemoryBytes is the memory for weights on one target.
	Rate        int    `json:"Rate" yaml:"Rate"`                     // Rate is in layer-steps/s: layers of cost 1 for one token each.
	Link        int    `json:"Link,omitempty" yaml:"Link,omitempty"` // Link is the link bandwidth in bytes/s in each direction; 0 means no limit.
}

// WithDefaults returns m with defaults in place of zero in the fields for the placement.
func (m Model) WithDefaults() Model {
	m.LayerBytes = cmp.Or(m.LayerBytes, DefaultLayerBytes)
	m.LayerCost = cmp.Or(m.LayerCost, 1)
	m.ActivationBytes = cmp.Or(m.ActivationBytes, DefaultActivationBytes)
	m.Share = cmp.Or(m.Share, 1)
	return m
}

func (ch *checker) placement(h HeadOffice) {
	ch.between("$.HeadOffice.Placement.LoadRate", h.Placement.LoadRate, 0, maxRate, "LoadRate is out of range")
	if h.Placement.Managed && len(h.Accelerators) == 0 {
		ch.add("$.HeadOffice.Placement.Managed", "true", "A managed placement needs the accelerators", "false, or one accelerator or more in $.HeadOffice.Accelerators")
	}
	seen := map[string]bool{}
	for i, a := range h.Accelerators {
		path := fmt.Sprintf("$.HeadOffice.Accelerators[%d]", i)
		ch.name(path+".Name", a.Name)
		ch.unique(path+".Name", a.Name, "accelerator", seen)
		ch.between(path+".MemoryBytes", a.MemoryBytes, 1, maxBytes, "MemoryBytes is out of range")
		ch.between(path+".Rate", a.Rate, 1, maxRate, "Rate is out of range")
		ch.between(path+".Link", a.Link, 0, maxRate, "Link is out of range")
	}
}

func (ch *checker) modelPlacement(path string, m Model) {
	ch.between(path+".LayerBytes", m.LayerBytes, 0, maxBytes, "LayerBytes is out of range")
	ch.between(path+".LayerCost", m.LayerCost, 0, maxCost, "LayerCost is out of range")
	ch.between(path+".ActivationBytes", m.ActivationBytes, 0, maxBytes, "ActivationBytes is out of range")
	ch.between(path+".Share", m.Share, 0, maxCost, "Share is out of range")
}
