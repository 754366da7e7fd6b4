// Package questionnaire turns the answers of a team into a configuration.
//
// A team fills in the form (Form) or answers on a terminal (Ask). Parse reads the answers and
// reports every finding with its place in the answers. Generate makes the configuration; it makes
// keys for everyone whose answers hold no key hash and returns them once.
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

// Size is the size of a workspace, from which its weight follows.
type Size string

const (
	// Small is a workspace of one or a few branches.
	Small Size = "Small"
	// Medium is a workspace between the two.
	Medium Size = "Medium"
	// Large is one of the few workspaces that send most requests.
	Large Size = "Large"
)

// weights are shares under contention. A large workspace gets eight times the share of a small one,
// although it may send a hundred times as much, so that it cannot crowd out small ones.
var weights = map[Size]int{Small: 1, Medium: 3, Large: 8}

// NoKey as a key hash means that the holder gets no key.
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
	KeyHash string `yaml:"KeyHash,omitempty"` // KeyHash is empty to have a key made.
}

// Service is a service beside the models, such as orders or stock.
type Service struct {
	Name     string        `yaml:"Name"`
	Requests []RequestKind `yaml:"Requests"`
}

// RequestKind is a kind of request to a service.
type RequestKind struct {
	Name      string        `yaml:"Name"`
	Method    string        `yaml:"Method"`
	Path      string        `yaml:"Path"`
	MayRepeat bool          `yaml:"MayRepeat"` // MayRepeat is false for a request whose second execution does harm.
	PhoneOnly bool          `yaml:"PhoneOnly,omitempty"`
	Timeout   time.Duration `yaml:"Timeout,omitempty"`
}

// Workspace is one customer with its branches.
type Workspace struct {
	Name        string                  `yaml:"Name"`
	Size        Size                    `yaml:"Size"`
	KeyHash     string                  `yaml:"KeyHash,omitempty"` // KeyHash is empty to have a key made, and NoKey for none.
	Differences configuration.Overrides `yaml:"Differences,omitempty"`
	Branches    []Branch                `yaml:"Branches"`
	Pipelines   *[]string               `yaml:"Pipelines,omitempty"` // Pipelines is absent for all.
	Services    *[]string               `yaml:"Services,omitempty"`  // Services is absent for all.
}

// Branch is a shop or a kiln crew.
type Branch struct {
	Name        string                  `yaml:"Name"`
	KeyHash     string                  `yaml:"KeyHash,omitempty"` // KeyHash is empty to have a key made, and NoKey for none.
	Differences configuration.Overrides `yaml:"Differences,omitempty"`
}
