package requestbody_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
)

const limit = 1 << 20

// newRequest returns a request with a body, whose declared length is -1 if it is unknown.
func newRequest(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return r
}

// TestRead guards against bodies that are changed, that exceed the limit, or that are counted longer than their request.
func TestRead(t *testing.T) {
	for _, test := range []struct {
		about    string
		size     int
		declared bool
		tooLarge bool
	}{
		{"no body", 0, true, false},
		{"one byte", 1, true, false},
		{"a body of one buffer", 4096, true, false},
		{"a body of one buffer in chunks", 4096, false, false},
		{"the largest body", limit, true, false},
		{"the largest body in chunks", limit, false, false},
		{"a larger body", limit + 1, true, true},
		{"a larger body in chunks", limit + 1, false, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			budget := bytebudget.New(4 * limit)
			sent := bytes.Repeat([]byte("0123456789abcdef"), test.size/16+1)[:test.size]
			length := int64(-1)
			if test.declared {
				length = int64(test.size)
			}
			body, err := requestbody.New(budget).Read(httptest.NewRecorder(), newRequest(bytes.NewReader(sent), length), limit, time.Time{})
			if test.tooLarge {
				var large *http.MaxBytesError
				qt.Assert(t, errors.As(err, &large), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Equal(body.Bytes, sent), qt.IsTrue)
				qt.Assert(t, budget.Usage().Used >= int64(test.size), qt.IsTrue)
			}
			body.Release()
			qt.Assert(t, budget.Usage().Used, qt.Equals, int64(0))
			qt.Assert(t, budget.Usage().Incomplete, qt.Equals, 0)
		})
	}
}

// TestDeclaredLengthTakesNoRoom guards against a client that takes up the budget by declaring a large body.
func TestDeclaredLengthTakesNoRoom(t *testing.T) {
	budget := bytebudget.New(4 * limit)
	sender, w := io.Pipe()
	read := make(chan error, 1)
	go func() {
		_, err := requestbody.New(budget).Read(httptest.NewRecorder(), newRequest(sender, limit), limit, time.Time{})
		read <- err
	}()
	_, _ = io.WriteString(w, "only this")
	qt.Check(t, budget.Usage().Used < 64<<10, qt.IsTrue)
	_ = w.CloseWithError(io.ErrUnexpectedEOF)
	qt.Check(t, <-read, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestNoRoom guards against reading a body for which the budget has no room.
func TestNoRoom(t *testing.T) {
	budget := bytebudget.New(limit / 2)
	_, err := requestbody.New(budget).Read(httptest.NewRecorder(), newRequest(strings.NewReader(strings.Repeat("b", limit)), limit), limit, time.Time{})
	qt.Check(t, err, qt.Equals, requestbody.ErrNoRoom)
	qt.Check(t, budget.Usage().Used, qt.Equals, int64(0))
}

// FuzzChunkedBody guards against chunked bodies that make the reader hold more than the budget allows, or that crash it.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{"0\r\n\r\n", "1\r\nb\r\n0\r\n\r\n", "5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n", "ffffffffffffffff\r\n", "-1\r\n", "1\r\nbb"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		const bodyLimit, budgetLimit = 8 << 10, 64 << 10
		budget := bytebudget.New(budgetLimit)
		server := httptest.NewRecorder()
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(raw))))
		if err != nil {
			return
		}
		body, err := requestbody.New(budget).Read(server, r, bodyLimit, time.Time{})
		if err == nil && len(body.Bytes) > bodyLimit {
			t.Fatalf("a body of %d bytes was read", len(body.Bytes))
		}
		if used := budget.Usage().Used; used > 2*bodyLimit {
			t.Fatalf("%d bytes are held for a body of at most %d", used, bodyLimit)
		}
		body.Release()
		if used := budget.Usage().Used; used != 0 {
			t.Fatalf("%d bytes are held after the end", used)
		}
	})
}
