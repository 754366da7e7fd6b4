// Package yamlfile decodes YAML strictly into a struct and records the position of every value.
//
// Every structural problem (unknown fields, wrong types, malformed durations) becomes a finding with
// file, line and column, and all of them are reported together. Validation of the decoded struct
// identifies values by path; Positions maps a path to its position in the file.
//
// Usage:
//
//	var answers Answers
//	positions, findings := yamlfile.Decode("answers.yaml", content, &answers)
//	positions.AddUnreported(&findings, check(answers))
//	return findings.Err()
package yamlfile

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// MaxBytes is the maximum size of a file. A configuration of 3,800 workspaces of 2 KB each takes
// 7.6 MB; the limit is four times that.
const MaxBytes = 32 << 20

// Decode decodes content into the struct that into points to, and returns a finding for every structural
// problem. file is the file name in findings and positions. Fields with invalid values keep their zero value.
func Decode(file string, content []byte, into any) (positions *Positions, findings finding.List) {
	positions = newPositions(file)
	d := &decoder{positions: positions}
	body := d.parse(content)
	if body != nil {
		d.decode(body, reflect.ValueOf(into).Elem(), "$")
	}
	return positions, d.findings
}

// decoder decodes one file and collects the positions and findings.
type decoder struct {
	positions *Positions
	findings  finding.List
}

// parse returns the body of the YAML document, or nil after it has added a finding.
func (d *decoder) parse(content []byte) (body ast.Node) {
	if len(content) > MaxBytes {
		d.addForFile(fmt.Sprintf("%d bytes", len(content)), "The file is too large", fmt.Sprintf("at most %d bytes", MaxBytes))
		return nil
	}
	if excess, line := nestingExceeded(content); excess {
		d.addSyntaxError(line, 1, "", fmt.Sprintf("The file nests deeper than %d levels", maxNesting))
		return nil
	}
	// The parser panics on some malformed inputs; the findings report such panics as invalid YAML.
	defer func() {
		if r := recover(); r != nil {
			d.addForFile("", fmt.Sprintf("The file is not valid YAML: %v", r), "YAML 1.2")
			body = nil
		}
	}()
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		d.parseError(err)
		return nil
	}
	return d.singleDocument(file)
}

// singleDocument returns the body of the only document that has one. It adds a finding and returns nil if none
// or several have a body.
func (d *decoder) singleDocument(file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		d.addForFile("", "The file is empty", "one YAML document")
		return nil
	case 1:
		return bodies[0]
	default:
		d.add(bodies[1], "$", "The file holds more than one YAML document", "one YAML document")
		return nil
	}
}

func (d *decoder) parseError(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		position := syntax.Token.Position
		d.addSyntaxError(position.Line, position.Column, syntax.Token.Value, "The file is not valid YAML: "+syntax.Message)
		return
	}
	d.addForFile("", "The file is not valid YAML: "+err.Error(), "YAML 1.2")
}

func (d *decoder) addSyntaxError(line, column int, value, rule string) {
	d.findings.Add(finding.Finding{
		File: d.positions.file, Line: line, Column: column, Value: shorten(value), Rule: rule, Accepted: "YAML 1.2",
	})
}

// addForFile adds a finding about the whole file at its first line.
func (d *decoder) addForFile(value, rule, accepted string) {
	d.findings.Add(finding.Finding{File: d.positions.file, Line: 1, Column: 1, Value: value, Rule: rule, Accepted: accepted})
}

// add adds a finding about node.
func (d *decoder) add(node ast.Node, path, rule, accepted string) {
	line, column := start(node)
	d.findings.Add(finding.Finding{
		File: d.positions.file, Line: line, Column: column, Path: path,
		Value: shorten(sourceText(node)), Rule: rule, Accepted: accepted,
	})
}
