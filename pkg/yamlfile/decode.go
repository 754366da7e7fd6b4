package yamlfile

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// decode sets value from node and adds a finding for every problem in node and below it. A null leaves value
// unchanged.
func (d *decoder) decode(node ast.Node, value reflect.Value, path string) {
	d.positions.record(path, node)
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	if d.rejectUnsupported(node, path) {
		return
	}
	switch {
	case value.Type() == durationType:
		d.decodeDuration(node, value, path)
	case value.Kind() == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		d.decode(node, value.Elem(), path)
	case value.Kind() == reflect.Struct:
		d.decodeStruct(node, value, path)
	case value.Kind() == reflect.Slice:
		d.decodeList(node, value, path)
	default:
		d.decodeScalar(node, value, path)
	}
}

// rejectUnsupported adds a finding if node is an anchor, alias or tag, and reports whether it is one.
// Without aliases, a small file cannot expand into a large value, and every value has exactly one position.
func (d *decoder) rejectUnsupported(node ast.Node, path string) bool {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.add(node, path, "Anchors, aliases and tags are not accepted", "the value itself")
		return true
	}
	return false
}

func (d *decoder) decodeStruct(node ast.Node, value reflect.Value, path string) {
	entries, ok := entriesOf(node)
	if !ok {
		d.add(node, path, "A group of fields is expected", strings.Join(fieldNames(value.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		d.decodeField(entry, value, path, seen)
	}
}

func (d *decoder) decodeField(entry *ast.MappingValueNode, value reflect.Value, path string, seen map[string]bool) {
	name := sourceText(entry.Key)
	index, known := fieldIndex(value.Type(), name)
	fieldPath := path + "." + name
	if !known {
		d.add(entry.Key, fieldPath, "The field is not known", strings.Join(fieldNames(value.Type()), ", "))
		return
	}
	if seen[name] {
		d.add(entry.Key, fieldPath, "The field is written twice", "each field once")
		return
	}
	seen[name] = true
	d.decode(entry.Value, value.Field(index), fieldPath)
	// A mapping or list gets the position of its key, since its first entry may be lines below the key.
	if _, scalar := entry.Value.(ast.ScalarNode); !scalar {
		d.positions.record(fieldPath, entry.Key)
	}
}

func (d *decoder) decodeList(node ast.Node, value reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(node, path, "A list is expected", "a list, each entry on its own line after a dash")
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values)))
	for i, element := range sequence.Values {
		d.decode(element, value.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeDuration(node ast.Node, value reflect.Value, path string) {
	parsed, err := time.ParseDuration(sourceText(node))
	if _, isString := node.(*ast.StringNode); !isString || err != nil {
		d.add(node, path, "A duration with its unit is expected", "a duration such as 500ms, 30s or 2m")
		return
	}
	value.SetInt(int64(parsed))
}

func (d *decoder) decodeScalar(node ast.Node, value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.String:
		d.decodeString(node, value, path)
	case reflect.Bool:
		d.decodeBool(node, value, path)
	case reflect.Int, reflect.Uint64:
		d.decodeInteger(node, value, path)
	default:
		panic("yamlfile: unsupported type " + value.Type().String())
	}
}

func (d *decoder) decodeString(node ast.Node, value reflect.Value, path string) {
	switch n := node.(type) {
	case *ast.StringNode:
		value.SetString(n.Value)
	case *ast.LiteralNode:
		value.SetString(n.Value.Value)
	default:
		d.add(node, path, "A text is expected", "a text; numbers, true and false need quotes")
	}
}

func (d *decoder) decodeBool(node ast.Node, value reflect.Value, path string) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.add(node, path, "A yes or no is expected", "true or false")
		return
	}
	value.SetBool(n.Value)
}

func (d *decoder) decodeInteger(node ast.Node, value reflect.Value, path string) {
	n, ok := node.(*ast.IntegerNode)
	if ok && setInteger(value, n.Value) {
		return
	}
	d.add(node, path, "A whole number is expected", "a whole number such as 1")
}

// setInteger sets value to number and reports whether number is in the range of value's type.
func setInteger(value reflect.Value, number any) bool {
	switch n := number.(type) {
	case uint64:
		if value.Kind() == reflect.Uint64 {
			value.SetUint(n)
			return true
		}
		if n > math.MaxInt64 {
			return false
		}
		value.SetInt(int64(n))
		return true
	case int64:
		if value.Kind() == reflect.Uint64 {
			return false
		}
		value.SetInt(n)
		return true
	}
	return false
}
