// Package api holds the messages of the operator API, shared by its server and its client.
//
// All messages are JSON with names in Pascal case. Durations inside a configuration are whole
// nanoseconds, as encoding/json writes a time.Duration; document contents are base64.
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

// Prefix is the path prefix of every operator request.
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

// Head identifies the newest accepted version.
type Head struct {
	Version uint64    `json:"Version"` // Version is 0 before the first change.
	ID      string    `json:"ID,omitempty"`
	By      string    `json:"By,omitempty"`
	At      time.Time `json:"At,omitzero"`
}

// Document is one part of the configuration: HeadOffice or Workspace/<name>.
type Document struct {
	Name    string `json:"Name"`
	Content []byte `json:"Content,omitempty"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// Change is a request to replace documents or, if Configuration is set, the whole configuration.
// It is also an entry of the history.
type Change struct {
	Version       uint64                       `json:"Version,omitempty"` // Version is set in the history.
	Expected      uint64                       `json:"Expected"`          // Expected is the version the change was made from.
	ID            string                       `json:"ID"`                // ID is unique; a change sent twice under one ID is applied once.
	By            string                       `json:"By"`                // By is filled by the server from the operator's key.
	At            time.Time                    `json:"At,omitzero"`
	Documents     []Document                   `json:"Documents,omitempty"`
	Configuration *configuration.Configuration `json:"Configuration,omitempty"`
}

// Rollback is a request to make the content of an earlier version the newest version.
type Rollback struct {
	To       uint64 `json:"To"`
	Expected uint64 `json:"Expected"`
	ID       string `json:"ID"`
	By       string `json:"By"`
}

// Current is the newest accepted configuration.
type Current struct {
	Head          Head                        `json:"Head"`
	Configuration configuration.Configuration `json:"Configuration"`
}

// History lists changes, the newest first.
type History struct {
	Changes []Change `json:"Changes"`
}

// Instance is one entry instance as the answering instance sees it.
type Instance struct {
	Name       string `json:"Name"`
	DataCentre string `json:"DataCentre"`
	State      string `json:"State"`
	Version    uint64 `json:"Version"` // Version is the configuration in force there.
	Live       bool   `json:"Live"`    // Live instances serve callers; others are suspected, leaving or gone.
}

// Instances lists the entry instances.
type Instances struct {
	Instances []Instance `json:"Instances"`
}

// State is the state dump of the answering instance.
type State struct {
	Instance   string          `json:"Instance"`
	Version    uint64          `json:"Version"`
	Ready      bool            `json:"Ready"`
	Streams    int             `json:"Streams"` // Streams is the number of running answers.
	Queued     int             `json:"Queued"`  // Queued is the number of requests that wait for admission.
	Targets    []target.Target `json:"Targets"`
	Quarantine []Quarantined   `json:"Quarantined"`
	Details    map[string]any  `json:"Details,omitempty"` // Details holds what further components report, by component.
}

// States lists the state dumps of the live instances that answered.
type States struct {
	States []State `json:"States"`
}

// Quarantined is a request fingerprint that is refused.
type Quarantined struct {
	Fingerprint string    `json:"Fingerprint"`
	Until       time.Time `json:"Until"`
}

// Drain takes one target out of the choice for new work.
type Drain struct {
	Target string    `json:"Target"`
	By     string    `json:"By,omitempty"`
	At     time.Time `json:"At,omitzero"`
	Reason string    `json:"Reason,omitempty"`
}

// Drains lists the drains in force.
type Drains struct {
	Drains []Drain `json:"Drains"`
}

// Pipeline is the state of one pipeline of one workspace.
type Pipeline struct {
	Workspace string                 `json:"Workspace"`
	Name      string                 `json:"Name"`
	Model     string                 `json:"Model"`
	Priority  configuration.Priority `json:"Priority,omitempty"`
	Complete  bool                   `json:"Complete"` // Complete reports whether accepting targets cover every layer.
	Targets   int                    `json:"Targets"`  // Targets is the number of accepting targets that hold layers of the model.
}

// Pipelines lists the pipelines of all workspaces.
type Pipelines struct {
	Pipelines []Pipeline `json:"Pipelines"`
}

// Assignment is the layer range that one target holds or is to hold.
type Assignment struct {
	Target string `json:"Target"`
	Model  string `json:"Model"`
	First  int    `json:"First"`
	End    int    `json:"End"`
}

// Plan is the desired placement and the throughput bound that follows from it.
type Plan struct {
	Bound       float64      `json:"Bound"` // Bound is in tokens per second.
	LimitedBy   string       `json:"LimitedBy"`
	Assignments []Assignment `json:"Assignments"`
}
