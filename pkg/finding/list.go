// Package finding collects the problems of an input, each with its location, so that
// all problems are reported together.
//
// Usage:
//
//	var findings finding.List
//	findings.Add(finding.Finding{File: "c.yaml", Line: 3, Column: 9, Value: "-1s",
//		Rule: "Timeout must be positive", Accepted: "a duration such as 30s"})
//	return findings.Err()
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem of an input. File, Line, Column and Path locate it; each may be empty.
type Finding struct {
	File     string `json:"File,omitempty"`
	Line     int    `json:"Line,omitempty"`
	Column   int    `json:"Column,omitempty"`
	Path     string `json:"Path,omitempty"` // Path is the YAML path of the value, such as $.Workspaces[0].Name.
	Value    string `json:"Value"`
	Rule     string `json:"Rule"`     // Rule is the rule that the value violates.
	Accepted string `json:"Accepted"` // Accepted describes the values that are accepted.
}

// String returns the finding on one line, which starts with the finding's location.
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		location += " " + f.Path
	}
	return fmt.Sprintf("%s: %s (value %q, accepted: %s)", strings.TrimSpace(location), f.Rule, f.Value, f.Accepted)
}

// List is a collection of findings. The zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends f.
func (l *List) Add(f Finding) {
	l.findings = append(l.findings, f)
}

// All returns the findings in the order in which they were added.
func (l *List) All() []Finding {
	return l.findings
}

// Len returns the number of findings.
func (l *List) Len() int {
	return len(l.findings)
}

// Err returns nil for an empty list, otherwise an *Error with all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.findings}
}

// Error is an error that consists of one or more findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
