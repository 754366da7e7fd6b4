// Package questionnaire generates a configuration from the answers of a team.
//
// A team fills in the form (Template) or answers on a terminal (Ask). Parse reads the answers and
// reports every finding with its position in the answers. Generate makes the configuration.
//
// A holder is an operator, a workspace or a branch that has an API key. Generate creates a key for each
// holder without a key hash in the answers or in a previous configuration, and returns the new keys. They
// are not stored: the configuration has only their hashes.
//
// Usage:
//
//	answers, _, err := questionnaire.Load("answers.yaml")
//	generated, err := questionnaire.Generate(answers)
//	os.WriteFile("configuration.yaml", generated.Content, 0o644)
package questionnaire

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// Size is the size of a workspace, which determines its weight.
type Size string

const (
	// Small is a workspace of one or a few branches.
	Small Size = "Small"
	// Medium is a workspace between Small and Large.
	Medium Size = "Medium"
	// Large is one of the few workspaces that send most of the requests.
	Large Size = "Large"
)

// weights are the relative shares of capacity under contention. A large workspace gets only eight times
// the share of a small one, although it may send a hundred times as many requests, so that it cannot
// starve small ones.
var weights = map[Size]int{Small: 1, Medium: 3, Large: 8}

// NoKey is the key hash of a holder that gets no key.
const NoKey = "None"

// Answers are the answers of one team about its whole fleet.
type Answers struct {
	Fleet      string                   `yaml:"Fleet"`
	TimeZone   string                   `yaml:"TimeZone"`
	Operators  []Operator               `yaml:"Operators"`
	Rules      configuration.Overrides  `yaml:"Rules"`
	Models     []configuration.Model    `yaml:"Models"`
	Services   []Service                `yaml:"Services"`
	Pipelines  []configuration.Pipeline `yaml:"Pipelines"`
	Workspaces []Workspace              `yaml:"Workspaces"`

	Accelerators []configuration.Accelerator `yaml:"Accelerators,omitempty"`
	Placement    configuration.Placement     `yaml:"Placement,omitempty"`
}

// Operator is a person or a script that may change the configuration.
type Operator struct {
	Name    string `yaml:"Name"`
	KeyHash string `yaml:"KeyHash,omitempty"` // KeyHash is empty to generate a key.
}

// Service is an HTTP service, as opposed to the engines that run the models, such as orders or stock.
type Service struct {
	Name     string        `yaml:"Name"`
	Requests []RequestKind `yaml:"Requests"`
}

// RequestKind is a kind of service request.
type RequestKind struct {
	Name      string        `yaml:"Name"`
	Method    string        `yaml:"Method"`
	Path      string        `yaml:"Path"`
	MayRepeat bool          `yaml:"MayRepeat"`           // MayRepeat is false for a request that does harm if it is executed twice.
	PhoneOnly bool          `yaml:"PhoneOnly,omitempty"` // PhoneOnly marks a kind that only branches with phone orders may request.
	Timeout   time.Duration `yaml:"Timeout,omitempty"`
}

// Workspace is one tenant with its branches.
type Workspace struct {
	Name        string                  `yaml:"Name"`
	Size        Size                    `yaml:"Size"`
	KeyHash     string                  `yaml:"KeyHash,omitempty"` // KeyHash is empty to generate a key, and NoKey for none.
	Differences configuration.Overrides `yaml:"Differences,omitempty"`
	Branches    []Branch                `yaml:"Branches"`
	Pipelines   *[]string               `yaml:"Pipelines,omitempty"` // Pipelines is nil for all pipelines.
	Services    *[]string               `yaml:"Services,omitempty"`  // Services is nil for all services.
}

// Branch is a shop or a kiln crew.
type Branch struct {
	Name        string                  `yaml:"Name"`
	KeyHash     string                  `yaml:"KeyHash,omitempty"` // KeyHash is empty to generate a key, and NoKey for none.
	Differences configuration.Overrides `yaml:"Differences,omitempty"`
}
