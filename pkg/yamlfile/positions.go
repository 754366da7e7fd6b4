package yamlfile

import (
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// Position is where a value is written.
type Position struct {
	File   string `json:"File,omitempty"`
	Line   int    `json:"Line,omitempty"`
	Column int    `json:"Column,omitempty"`
}

// Positions holds the place of every value of one file by its path, such as $.Workspaces[0].Name.
// A nil *Positions knows no place.
type Positions struct {
	file string
	at   map[string]Position
}

func newPlaces(file string) *Positions {
	return &Positions{file: file, at: map[string]Position{}}
}

func (p *Positions) record(path string, node ast.Node) {
	line, column := start(node)
	p.at[path] = Position{File: p.file, Line: line, Column: column}
}

// At returns the place of the value at path. A value that is not written has the place of the
// closest value around it that is.
func (p *Positions) At(path string) Position {
	if p == nil {
		return Position{}
	}
	for path != "" {
		if place, ok := p.at[path]; ok {
			return place
		}
		path = parent(path)
	}
	return Position{File: p.file}
}

// Locate returns f with the place of its path.
func (p *Positions) Locate(f finding.Finding) finding.Finding {
	place := p.At(f.Path)
	f.File, f.Line, f.Column = place.File, place.Line, place.Column
	return f
}

// AddUnreported adds the findings of a later check with their places. A finding at or below a value
// that the decoder has already refused is left out: it would report the same fault again.
func (p *Positions) AddUnreported(findings *finding.List, checked []finding.Finding) {
	if len(p.at) == 0 {
		return
	}
	refused := map[string]bool{}
	for _, f := range findings.All() {
		refused[f.Path] = true
	}
	for _, f := range checked {
		if !refusedAbove(refused, f.Path) {
			findings.Add(p.Locate(f))
		}
	}
}

func refusedAbove(refused map[string]bool, path string) bool {
	for ; path != ""; path = parent(path) {
		if refused[path] {
			return true
		}
	}
	return false
}

func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
}

// start returns the line and column at which node begins. The token of a mapping is its first
// colon, so the first key is taken instead.
func start(node ast.Node) (line, column int) {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return start(n.Values[0])
		}
	case *ast.MappingValueNode:
		return start(n.Key)
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1, 1
	}
	position := node.GetToken().Position
	return position.Line, position.Column
}
