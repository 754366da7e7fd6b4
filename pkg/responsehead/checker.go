// Package responsehead checks the heads of HTTP/1 responses byte by byte, before they are parsed.
//
// The parser of net/http accepts heads that are not valid: a status from 000 to 099 or above 599, a field name with a blank before the
// colon, a line that begins with a blank and continues the field before it, a control character in a value, and a Transfer-Encoding in
// HTTP/1.0. A field that the parser does not recognise, such as "Content-Length : 5", does not frame the body, so that the body that a
// caller gets is not the one that was sent. A Checker reports such a head as invalid.
//
// A Checker does no I/O. It is not safe for concurrent use.
//
// Usage:
//
//	var c responsehead.Checker
//	c.Begin()
//	n, err := c.Check(received) // The first n bytes are valid so far.
package responsehead

import (
	"fmt"

	"github.com/joomcode/errorx"
)

// Invalid is the type of errors for bytes that cannot be part of a response head.
var Invalid = errorx.NewNamespace("responsehead").ApplyModifiers(errorx.TypeModifierOmitStackTrace).NewType("invalid")

// part is the part of a head that the next byte belongs to.
type part string

const (
	partNone       part = "" // partNone means that no head is expected.
	partVersion    part = "version"
	partStatus     part = "status code"
	partReason     part = "reason phrase"
	partFieldStart part = "start of a field"
	partName       part = "field name"
	partValue      part = "field value"
	partLineEnd    part = "end of a line" // partLineEnd is the line feed after a carriage return.
	partHeadEnd    part = "end of the head"
)

const (
	versionPrefix    = "HTTP/1."
	transferEncoding = "transfer-encoding"
	statusDigits     = 3
	// switchingProtocols ends HTTP on a connection. It is valid only for a request that asked for it, and none does.
	switchingProtocols = 101
	// Statuses from minInterim to below minFinal are those of interim responses, after which another head follows.
	minInterim = 100
	minFinal   = 200
	maxFinal   = 599
)

// Checker checks the head of one final response at a time, and the interim responses before it.
type Checker struct {
	part    part
	count   int // count is the number of bytes of the version, the status code or the field name so far.
	status  int
	http10  bool
	matches int // matches is the number of bytes of the field name that match transferEncoding from the start.
}

// Begin expects a head with the next byte.
func (c *Checker) Begin() { *c = Checker{part: partVersion} }

// Check checks further bytes, up to the end of the head; what follows belongs to the body and is not checked. If the error is not nil,
// it has the type Invalid, and valid is the number of bytes before the first one that cannot be part of a head.
func (c *Checker) Check(b []byte) (valid int, err error) {
	for i, char := range b {
		if c.part == partNone {
			break
		}
		if err := c.next(char); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

// next checks one byte.
func (c *Checker) next(char byte) error {
	switch c.part {
	case partVersion:
		return c.version(char)
	case partStatus:
		return c.statusCode(char)
	case partReason, partValue:
		return c.text(char)
	case partFieldStart:
		return c.fieldStart(char)
	case partName:
		return c.name(char)
	default:
		return c.lineFeed(char)
	}
}

// version checks the protocol version and the blank after it.
func (c *Checker) version(char byte) error {
	n := c.count
	c.count++
	switch {
	case n < len(versionPrefix) && char == versionPrefix[n]:
		return nil
	case n == len(versionPrefix) && isDigit(char):
		c.http10 = char == '0'
		return nil
	case n == len(versionPrefix)+1 && char == ' ':
		c.part, c.count, c.status = partStatus, 0, 0
		return nil
	}
	return Invalid.New("the response does not begin with an HTTP/1 version")
}

// statusCode checks the digits of the status code, and the blank or line end after them.
func (c *Checker) statusCode(char byte) error {
	if c.count < statusDigits {
		if !isDigit(char) {
			return Invalid.New("the status code is not a number of %d digits", statusDigits)
		}
		c.count++
		c.status = 10*c.status + int(char-'0')
		if c.count == statusDigits {
			return checkStatus(c.status)
		}
		return nil
	}
	c.part = partReason
	if char == ' ' || char == '\r' || char == '\n' {
		return c.text(char)
	}
	return Invalid.New("the status code has more than %d characters", statusDigits)
}

// checkStatus returns an error for a status that no response to a request of this program can have.
func checkStatus(status int) error {
	if status < minInterim || status > maxFinal {
		return Invalid.New("the status code %03d is not between %d and %d", status, minInterim, maxFinal)
	}
	if status == switchingProtocols {
		return Invalid.New("the status code %d was not asked for", status)
	}
	return nil
}

// text checks a byte of the reason phrase or of a field value, or the end of its line.
func (c *Checker) text(char byte) error {
	switch {
	case char == '\n':
		c.part = partFieldStart
	case char == '\r':
		c.part = partLineEnd
	case isControl(char):
		return Invalid.New("the %s has the control character 0x%02x", c.part, char)
	}
	return nil
}

// fieldStart checks the first byte of a field, or of the empty line that ends the head.
func (c *Checker) fieldStart(char byte) error {
	switch char {
	case '\n':
		c.end()
		return nil
	case '\r':
		c.part = partHeadEnd
		return nil
	}
	c.part, c.count, c.matches = partName, 0, 0
	return c.name(char)
}

// name checks a byte of a field name, or the colon after it.
func (c *Checker) name(char byte) error {
	switch {
	case char == ':' && c.count > 0:
		if c.http10 && c.count == len(transferEncoding) && c.matches == c.count {
			return Invalid.New("the response of HTTP/1.0 has a Transfer-Encoding")
		}
		c.part = partValue
		return nil
	case !isToken(char):
		return Invalid.New("a field name has %s", describe(char))
	}
	if c.matches == c.count && c.count < len(transferEncoding) && lower(char) == transferEncoding[c.count] {
		c.matches++
	}
	c.count++
	return nil
}

// lineFeed checks the line feed after a carriage return.
func (c *Checker) lineFeed(char byte) error {
	if char != '\n' {
		return Invalid.New("a carriage return is not followed by a line feed")
	}
	if c.part == partHeadEnd {
		c.end()
	} else {
		c.part = partFieldStart
	}
	return nil
}

// end ends a head. After that of an interim response, another one is expected.
func (c *Checker) end() {
	if c.status < minFinal {
		c.Begin()
	} else {
		c.part = partNone
	}
}

// describe names a byte that a field name must not have.
func describe(char byte) string {
	switch {
	case char == ' ' || char == '\t':
		return "a blank"
	case char == '\r' || char == '\n':
		return "no colon after it"
	case isControl(char):
		return fmt.Sprintf("the control character 0x%02x", char)
	default:
		return fmt.Sprintf("the character %q", char)
	}
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// isControl reports whether a byte is a control character other than a tab.
func isControl(char byte) bool { return char < ' ' && char != '\t' || char == 0x7f }

// isToken reports whether a field name may have the byte.
func isToken(char byte) bool {
	switch char {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return isDigit(char) || lower(char) >= 'a' && lower(char) <= 'z'
}

func lower(char byte) byte {
	if char >= 'A' && char <= 'Z' {
		return char + 'a' - 'A'
	}
	return char
}
