// Package yamlfile reads YAML strictly into a struct and keeps the place of every value.
//
// Every fault of the structure (unknown fields, wrong types, malformed durations) becomes a
// finding with file, line and column, and all of them are reported together. Checks that run
// later on the decoded struct name values by their path; Places turns a path back into a place.
//
// Usage:
//
//	var answers Answers
//	places, findings := yamlfile.Decode("answers.yaml", content, &answers)
//	places.AddChecked(&findings, check(answers))
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

// MaxBytes is the largest file that is read. A configuration of 3,800 workspaces of 2 KB each
// takes 7.6 MB; the limit leaves four times that.
const MaxBytes = 32 << 20

// Decode reads content into the struct that into points to. File is the name to report. The list
// holds every fault of the structure. Values with a fault keep their zero value.
func Decode(file string, content []byte, into any) (places *Positions, findings finding.List) {
	places = newPlaces(file)
	d := &decoder{places: places}
	body := d.parse(content)
	if body != nil {
		d.decode(body, reflect.ValueOf(into).Elem(), "$")
	}
	return places, d.findings
}

type decoder struct {
	places   *Positions
	findings finding.List
}

func (d *decoder) parse(content []byte) (body ast.Node) {
	if len(content) > MaxBytes {
		d.whole(fmt.Sprintf("%d bytes", len(content)), "The file is too large", fmt.Sprintf("at most %d bytes", MaxBytes))
		return nil
	}
	if excess, line := nesting(content); excess {
		d.syntax(line, 1, "", fmt.Sprintf("The file nests deeper than %d levels", maxNesting))
		return nil
	}
	// The parser panics on some malformed inputs; these are syntax faults like any other.
	defer func() {
		if r := recover(); r != nil {
			d.whole("", fmt.Sprintf("The file is not valid YAML: %v", r), "YAML 1.2")
			body = nil
		}
	}()
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		d.parseError(err)
		return nil
	}
	return d.onlyDocument(file)
}

func (d *decoder) onlyDocument(file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		d.whole("", "The file is empty", "one YAML document")
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
		d.syntax(position.Line, position.Column, syntax.Token.Value, "The file is not valid YAML: "+syntax.Message)
		return
	}
	d.whole("", "The file is not valid YAML: "+err.Error(), "YAML 1.2")
}

func (d *decoder) syntax(line, column int, value, rule string) {
	d.findings.Add(finding.Finding{
		File: d.places.file, Line: line, Column: column, Value: shorten(value), Rule: rule, Accepted: "YAML 1.2",
	})
}

// whole reports a fault of the file as a whole.
func (d *decoder) whole(value, rule, accepted string) {
	d.findings.Add(finding.Finding{File: d.places.file, Line: 1, Column: 1, Value: value, Rule: rule, Accepted: accepted})
}

func (d *decoder) add(node ast.Node, path, rule, accepted string) {
	line, column := start(node)
	d.findings.Add(finding.Finding{
		File: d.places.file, Line: line, Column: column, Path: path,
		Value: shorten(text(node)), Rule: rule, Accepted: accepted,
	})
}
