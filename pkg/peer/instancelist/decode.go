package instancelist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// errNoArray reports a response that is not an array.
var errNoArray = errors.New("the list is not a JSON array")

// decode decodes a list entry by entry. It leaves out entries that no instance can have, so that one of them does not hide
// the others, and returns an error for each.
func decode(body []byte) (list []Instance, skipped []error, err error) {
	elements, err := splitArray(body)
	if err != nil {
		return nil, nil, err
	}
	list = make([]Instance, 0, len(elements))
	for n, element := range elements {
		var i Instance
		err := json.Unmarshal(element, &i)
		switch {
		case err != nil:
			err = fmt.Errorf("entry %d cannot be decoded: %w", n, err)
		case i.Name == "":
			err = fmt.Errorf("entry %d has no name", n)
		case i.Address.Port() == 0 || i.Address.Addr().IsUnspecified() || i.Address.Addr().IsMulticast():
			err = fmt.Errorf("entry %d (%q) has an address that no instance can listen on (%s)", n, i.Name, i.Address)
		default:
			list = append(list, i)
			continue
		}
		skipped = append(skipped, err)
	}
	return list, skipped, nil
}

// splitArray returns the elements of a JSON array. Other than package json, it has no limit on how deep an element is nested:
// beyond that limit, the whole array would be refused. The elements themselves are not checked.
func splitArray(body []byte) ([][]byte, error) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, errNoArray
	}
	var elements [][]byte
	depth, inString, start := 0, false, 1
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			elements = append(elements, body[start:i])
			start = i + 1
		}
		if depth == 0 && i < len(body)-1 {
			return nil, errNoArray
		}
	}
	if depth != 0 || inString {
		return nil, errNoArray
	}
	if last := body[start : len(body)-1]; len(elements) > 0 || len(bytes.TrimSpace(last)) > 0 {
		elements = append(elements, last)
	}
	return elements, nil
}
