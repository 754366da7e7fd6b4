// Package branch explains the effective values of one branch and which rule sets each of them.
//
// Usage:
//
//	c, positions, err := configuration.Load("configuration.yaml")
//	b, err := branch.New(c, "krpanka-centre", "market-hall")
//	for _, v := range b.Explain(positions, time.Now()) {
//		fmt.Println(v)
//	}
package branch

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

var namespace = errorx.NewNamespace("branch").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNotFound means that the configuration does not have the workspace or branch.
var ErrNotFound = namespace.NewType("not_found")

// Source is the kind of rule that sets a value.
type Source string

// Sources, from the least to the most specific.
const (
	Default      Source = "Default"      // Default is the value if no rule sets one.
	HeadOffice   Source = "HeadOffice"   // HeadOffice rules apply to every branch.
	Workspace    Source = "Workspace"    // Workspace rules apply to the branches of one workspace.
	BranchRules  Source = "Branch"       // BranchRules apply to the branch itself.
	Pipeline     Source = "Pipeline"     // Pipeline values apply to one pipeline, whatever the branch.
	RequestKind  Source = "RequestKind"  // RequestKind values apply to one kind of service request.
	OpeningHours Source = "OpeningHours" // OpeningHours reduce the priority of a closed branch to Batch.
)

// Value is one effective value.
type Value struct {
	Name   string            `json:"Name"`
	Value  string            `json:"Value"`
	Source Source            `json:"Source"`
	Place  yamlfile.Position `json:"Place,omitzero"` // Place is the position of the rule; it is zero for a default.
}

// String returns the value on one line.
func (v Value) String() string {
	if v.Place.Line == 0 {
		return fmt.Sprintf("%s = %s (%s)", v.Name, v.Value, v.Source)
	}
	return fmt.Sprintf("%s = %s (%s, %s:%d:%d)", v.Name, v.Value, v.Source, v.Place.File, v.Place.Line, v.Place.Column)
}

// Branch is one branch of a workspace with the rules of every level that apply to it.
type Branch struct {
	configuration *configuration.Configuration
	workspace     configuration.Workspace
	workspacePath string
	name          string
	levels        []level
}

// level holds the rules of one level and their path in the configuration.
type level struct {
	source Source
	path   string
	rules  configuration.Overrides
}

// New returns a branch of a workspace. An empty name stands for clients with a key of the whole workspace, to
// which no branch rules apply.
func New(c *configuration.Configuration, workspace, name string) (*Branch, error) {
	for i, w := range c.Workspaces {
		if w.Name == workspace {
			return newInWorkspace(c, i, name)
		}
	}
	return nil, ErrNotFound.New("there is no workspace %q", workspace)
}

func newInWorkspace(c *configuration.Configuration, i int, name string) (*Branch, error) {
	w := c.Workspaces[i]
	b := &Branch{configuration: c, workspace: w, workspacePath: fmt.Sprintf("$.Workspaces[%d]", i), name: name}
	b.levels = []level{
		{HeadOffice, "$.HeadOffice.Rules", c.HeadOffice.Rules},
		{Workspace, b.workspacePath + ".Rules", w.Rules},
	}
	if name == "" {
		return b, nil
	}
	for j, branch := range w.Branches {
		if branch.Name == name {
			path := fmt.Sprintf("%s.Branches[%d].Rules", b.workspacePath, j)
			b.levels = append(b.levels, level{BranchRules, path, branch.Rules})
			return b, nil
		}
	}
	return nil, ErrNotFound.New("the workspace %q has no branch %q", w.Name, name)
}

// Explain returns each effective value at the given time: the rules, then the pipelines, then the kinds of
// service requests. If positions is nil, the values have no positions.
func (b *Branch) Explain(positions *yamlfile.Positions, at time.Time) []Value {
	e := &explainer{
		branch: b, positions: positions,
		rules:   b.configuration.EffectiveRules(b.workspace.Name, b.name, at),
		weekday: b.configuration.LocalTime(at).Weekday().String(),
	}
	e.explainRules()
	e.explainPipelines()
	e.explainRequests()
	return e.values
}
