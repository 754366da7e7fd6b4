// Package api defines the messages of the operator API, which its server and its client share.
//
// All messages are JSON objects with field names in Pascal case. Durations in a configuration are
// integers in nanoseconds, as encoding/json encodes a time.Duration. Document contents are base64.
//
// Usage:
//
//	change := api.Change{Expected: 12, ID: id, By: "mara", Configuration: c}
//	body, err := json.Marshal(change)
//	request, err := http.NewRequest(http.MethodPut, base+api.ConfigurationPath, bytes.NewReader(body))
package api

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Prefix is the path prefix of all operator requests.
const Prefix = "/operator/v1/"

// Paths of the operator API.
const (
	ConfigurationPath = Prefix + "Configuration"
	HistoryPath       = Prefix + "History"
	RollbackPath      = Prefix + "Rollback"
	StatePath         = Prefix + "State"
	StatesPath        = Prefix + "States"
	DrainPath         = Prefix + "Drain"
	PipelinesPath     = Prefix + "Pipelines"
	PlanPath          = Prefix + "Plan"
	InstancesPath     = Prefix + "Instances"
)

// Head identifies the newest accepted version of the configuration and the change that created it.
type Head struct {
	Version uint64    `json:"Version"` // Version is 0 before the first change.
	ID      string    `json:"ID,omitempty"`
	By      string    `json:"By,omitempty"`
	At      time.Time `json:"At,omitzero"`
}

// Document is a document of the configuration, named HeadOffice or Workspace/<name>.
type Document struct {
	Name    string `json:"Name"`
	Content []byte `json:"Content,omitempty"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// Change is a request to replace documents or, if Configuration is set, the full configuration.
// An entry of the history is also a Change.
type Change struct {
	Version       uint64                       `json:"Version,omitempty"` // Version is set only in the history.
	Expected      uint64                       `json:"Expected"`          // Expected is the version that the change is based on.
	ID            string                       `json:"ID"`                // ID is unique. A change that is sent twice under one ID is applied once.
	By            string                       `json:"By"`                // By is set by the server from the operator's key.
	At            time.Time                    `json:"At,omitzero"`
	Documents     []Document                   `json:"Documents,omitempty"`
	Configuration *configuration.Configuration `json:"Configuration,omitempty"`
}

// Rollback is a request to create a new version with the content of an earlier one.
type Rollback struct {
	To       uint64 `json:"To"`       // To is the earlier version.
	Expected uint64 `json:"Expected"` // Expected, ID and By are as in Change.
	ID       string `json:"ID"`
	By       string `json:"By"`
}

// Current is the newest accepted configuration.
type Current struct {
	Head          Head                        `json:"Head"`
	Configuration configuration.Configuration `json:"Configuration"`
}

// History lists changes, newest first.
type History struct {
	Changes []Change `json:"Changes"`
}

// Instance is the state of one instance, as last received by the instance that handles the request.
type Instance struct {
	Name       string `json:"Name"`
	DataCentre string `json:"DataCentre"`
	State      string `json:"State"`
	Version    uint64 `json:"Version"` // Version is the version of the instance's active configuration.
	Live       bool   `json:"Live"`    // Live instances serve clients. The others are suspected, leaving, dead or have left.
}

// Instances lists the instances.
type Instances struct {
	Instances []Instance `json:"Instances"`
}

// State is the state dump of the instance that handles the request.
type State struct {
	Instance   string          `json:"Instance"`
	Version    uint64          `json:"Version"`
	Ready      bool            `json:"Ready"`
	Streams    int             `json:"Streams"` // Streams is the number of running streams.
	Queued     int             `json:"Queued"`  // Queued is the number of requests waiting for admission.
	Targets    []target.Target `json:"Targets"`
	Quarantine []Quarantined   `json:"Quarantined"`
	Details    map[string]any  `json:"Details,omitempty"` // Details holds the state of other components by component name.
}

// States lists the state dumps of the live instances that responded.
type States struct {
	States []State `json:"States"`
}

// Quarantined is the fingerprint of requests that are refused.
type Quarantined struct {
	Fingerprint string    `json:"Fingerprint"`
	Until       time.Time `json:"Until"`
}

// Drain is the drain of a target, which then gets no new requests.
type Drain struct {
	Target string    `json:"Target"`
	By     string    `json:"By,omitempty"`
	At     time.Time `json:"At,omitzero"`
	Reason string    `json:"Reason,omitempty"`
}

// Drains lists the active drains.
type Drains struct {
	Drains []Drain `json:"Drains"`
}

// Pipeline is the state of one pipeline of one workspace.
type Pipeline struct {
	Workspace string                 `json:"Workspace"`
	Name      string                 `json:"Name"`
	Model     string                 `json:"Model"`
	Priority  configuration.Priority `json:"Priority,omitempty"`
	Complete  bool                   `json:"Complete"` // Complete reports whether the targets that accept requests cover all layers.
	Targets   int                    `json:"Targets"`  // Targets is the number of targets that accept requests and hold layers of the model.
}

// Pipelines lists the pipelines of all workspaces.
type Pipelines struct {
	Pipelines []Pipeline `json:"Pipelines"`
}

// Assignment is the layer range that a target holds or is to hold.
type Assignment struct {
	Target string `json:"Target"`
	Model  string `json:"Model"`
	First  int    `json:"First"`
	End    int    `json:"End"` // End is the layer after the last one of the range.
}

// Plan is the desired placement, that is the layers that each target is to hold, and an upper bound on the throughput
// with that placement.
type Plan struct {
	Bound       float64      `json:"Bound"` // Bound is in tokens per second.
	LimitedBy   string       `json:"LimitedBy"`
	Assignments []Assignment `json:"Assignments"`
}
