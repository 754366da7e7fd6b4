package yamlfile

import (
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// Position is the position of a value in a file.
type Position struct {
	File   string `json:"File,omitempty"`
	Line   int    `json:"Line,omitempty"`
	Column int    `json:"Column,omitempty"`
}

// Positions maps the path of every value of one file, such as $.Workspaces[0].Name, to its position.
// A nil *Positions has no positions.
type Positions struct {
	file   string
	byPath map[string]Position
}

func newPositions(file string) *Positions {
	return &Positions{file: file, byPath: map[string]Position{}}
}

func (p *Positions) record(path string, node ast.Node) {
	line, column := start(node)
	p.byPath[path] = Position{File: p.file, Line: line, Column: column}
}

// At returns the position of the value at path. A value that is absent from the file has the position
// of the innermost enclosing value that is present.
func (p *Positions) At(path string) Position {
	if p == nil {
		return Position{}
	}
	for path != "" {
		if position, ok := p.byPath[path]; ok {
			return position
		}
		path = parentPath(path)
	}
	return Position{File: p.file}
}

// Locate returns f with the position of its path.
func (p *Positions) Locate(f finding.Finding) finding.Finding {
	position := p.At(f.Path)
	f.File, f.Line, f.Column = position.File, position.Line, position.Column
	return f
}

// AddUnreported adds the findings of a check after decoding, with their positions. It adds none if no value was
// decoded. A finding at or below a value
// that the decoder has rejected is left out, since it would report the same problem again.
func (p *Positions) AddUnreported(findings *finding.List, checked []finding.Finding) {
	if len(p.byPath) == 0 {
		return
	}
	rejected := map[string]bool{}
	for _, f := range findings.All() {
		rejected[f.Path] = true
	}
	for _, f := range checked {
		if !isRejected(rejected, f.Path) {
			findings.Add(p.Locate(f))
		}
	}
}

// isRejected reports whether path or a path that encloses it is rejected.
func isRejected(rejected map[string]bool, path string) bool {
	for ; path != ""; path = parentPath(path) {
		if rejected[path] {
			return true
		}
	}
	return false
}

// parentPath returns the path of the enclosing value, and "" for the path of the root.
func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
}

// start returns the line and column at which node begins. The token of a mapping is its first colon,
// so the position of the first key is used instead.
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
