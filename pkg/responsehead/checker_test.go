package responsehead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/responsehead"
	"github.com/cuminroute/cuminroute/pkg/standin/brokenresponse"
)

// check passes a response to a new checker in pieces.
func check(response string, piece int) error {
	var c responsehead.Checker
	c.Begin()
	for b := []byte(response); len(b) > 0; b = b[min(piece, len(b)):] {
		if _, err := c.Check(b[:min(piece, len(b))]); err != nil {
			return err
		}
	}
	return nil
}

// TestValidHead guards against refusing a response that is sound, and against checking a body.
func TestValidHead(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\x00\x01"},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer: a\r\nTransfer-Encodings: b\r\n\r\n"},
		{"no reason", "HTTP/1.1 204\r\n\r\n"},
		{"empty reason", "HTTP/1.1 500 \r\n\r\n"},
		{"reason with any characters", "HTTP/1.1 404 N\xf6 \t way\r\n\r\n"},
		{"unknown status", "HTTP/1.1 599 Own\r\n\r\n"},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n\x00"},
		{"line feeds only", "HTTP/1.1 200 OK\nX-Own: a\n\nbody\x00"},
		{"values", "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Tab: a\tb\r\nX-Byte: \xff: c\r\n!#$%&'*+-.^_`|~09azAZ: d\r\n\r\n"},
		{"a part of a head", "HTTP/1.1 200 OK\r\nX-Ow"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for piece := 1; piece <= len(test.response); piece++ {
				qt.Assert(t, check(test.response, piece), qt.IsNil)
			}
		})
	}
}

// TestInvalidStatus guards against a status that no response can have.
func TestInvalidStatus(t *testing.T) {
	testInvalid(t, brokenresponse.InvalidStatuses("X-A: b\r\n", "body"))
}

// TestInvalidFields guards against a field name, a field value or a line that no head can have.
func TestInvalidFields(t *testing.T) {
	testInvalid(t, brokenresponse.InvalidFields("X-A: b\r\n", "body"))
}

func testInvalid(t *testing.T, responses []brokenresponse.Response) {
	for _, response := range responses {
		for piece := 1; piece <= len(response.Bytes); piece++ {
			err := check(response.Bytes, piece)
			qt.Assert(t, errorx.IsOfType(err, responsehead.Invalid), qt.IsTrue, qt.Commentf("%s: %v", response.Name, err))
		}
	}
}

// TestNextHead guards against a head that is not checked after another one, or whose status is taken for that of the one before.
func TestNextHead(t *testing.T) {
	var c responsehead.Checker
	for _, response := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 No\r\n\r\n"} {
		c.Begin()
		_, err := c.Check([]byte(response))
		qt.Assert(t, err, qt.IsNil)
	}
	c.Begin()
	valid, err := c.Check([]byte("HTTP/1.1 000 Trouble\r\n\r\n"))
	qt.Assert(t, errorx.IsOfType(err, responsehead.Invalid), qt.IsTrue)
	qt.Assert(t, valid, qt.Equals, len("HTTP/1.1 00"))
}

// FuzzChecker guards against a head that passes the check and that net/http parses as something else, and against a result that
// depends on how the bytes arrive.
func FuzzChecker(f *testing.F) {
	for _, response := range append(brokenresponse.InvalidStatuses("X-A: b\r\n", "body"), brokenresponse.InvalidFields("X-A: b\r\n", "body")...) {
		f.Add(response.Bytes)
	}
	f.Add("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\nbody")
	f.Fuzz(func(t *testing.T, response string) {
		err := check(response, max(len(response), 1))
		qt.Assert(t, check(response, 1) == nil, qt.Equals, err == nil)
		if err != nil {
			return
		}
		reader := bufio.NewReader(strings.NewReader(response))
		parsed, err := http.ReadResponse(reader, nil)
		for err == nil && parsed.StatusCode < http.StatusOK {
			parsed, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return
		}
		qt.Assert(t, responsehead.CheckParsed(parsed.StatusCode, parsed.Header), qt.IsNil)
	})
}

// TestCheckParsed guards against a response on a TLS connection whose status or field names are not valid.
func TestCheckParsed(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		header http.Header
		valid  bool
	}{
		{"whole", http.StatusOK, http.Header{"X-Own": {"a"}}, true},
		{"status 000", 0, nil, false},
		{"status 101", http.StatusSwitchingProtocols, nil, false},
		{"status 600", 600, nil, false},
		{"blank in a name", http.StatusOK, http.Header{"Content-Length ": {"4"}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, responsehead.CheckParsed(test.status, test.header) == nil, qt.Equals, test.valid)
		})
	}
}
