package yamlfile

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxNesting bounds the recursion of the parser. The deepest configuration nests 8 levels.
const maxNesting = 100

// maxValueRunes keeps the value in a finding on one line.
const maxValueRunes = 80

// entriesOf returns the entries of a mapping, and false for any other node.
func entriesOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// sourceText returns the source sourceText of a scalar, and a short description of any other node.
func sourceText(node ast.Node) string {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a group of fields"
	case *ast.SequenceNode:
		return "a list"
	}
	if node == nil || node.GetToken() == nil {
		return ""
	}
	return node.GetToken().Value
}

func shorten(value string) string {
	runes := []rune(value)
	if len(runes) <= maxValueRunes {
		return value
	}
	return string(runes[:maxValueRunes]) + "…"
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if n := fieldName(t.Field(i)); n != "" && n == name {
			return i, true
		}
	}
	return 0, false
}

// fieldName returns the YAML name of a field, and "" for a field that is not decoded.
func fieldName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// nestingExceeded reports whether content may nest deeper than maxNesting, and the first line where this is so.
// Indentation and open brackets each add levels. Brackets inside strings are counted as well. Such
// brackets are rarely left open, so counting them does not reject valid files in practice.
func nestingExceeded(content []byte) (excess bool, line int) {
	line = 1
	brackets, indent, leading := 0, 0, true
	for _, c := range content {
		switch {
		case c == '\n':
			line, indent, leading = line+1, 0, true
			continue
		case leading && (c == ' ' || c == '-' || c == '?' || c == ':'):
			indent++
		default:
			leading = false
		}
		switch c {
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(brackets-1, 0)
		}
		if brackets+indent/2 > maxNesting {
			return true, line
		}
	}
	return false, line
}
