package instancelist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
)

// TestUnchangedList guards against a transfer of a list that has not changed, against a change that is missed, and
// against a returned list that shares memory with the cached one.
func TestUnchangedList(t *testing.T) {
	body, tag, sent := `[{"Name":"w1","Address":"127.0.0.1:1"}]`, `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := instancelist.New(server.URL)
	defer client.Close()
	read := func() []instancelist.Instance {
		list, err := client.List(t.Context())
		qt.Assert(t, err, qt.IsNil)
		return list
	}
	read()[0].Name = "edited"
	qt.Assert(t, read()[0].Name, qt.Equals, "w1")
	qt.Assert(t, sent, qt.Equals, 1)
	body, tag = `[]`, `"2"`
	qt.Assert(t, read(), qt.HasLen, 0)
	qt.Assert(t, sent, qt.Equals, 2)
	tag = ""
	read()
	read()
	qt.Assert(t, sent, qt.Equals, 4) // Without an ETag the service sends the list each time.
}

// TestOddEntry guards against an entry that hides all others: deeply nested, with a number too large, or with a port out of
// range.
func TestOddEntry(t *testing.T) {
	const sound = `{"Name":"w1","Role":"Engine","Address":"127.0.0.1:7501","DataCentre":"dc1","State":"Live"}`
	for _, test := range []struct{ about, odd string }{
		{"deeply nested", `{"Name":"odd","Address":"127.0.0.1:1","X":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`},
		{"an array", strings.Repeat("[", 20000) + strings.Repeat("]", 20000)},
		{"a port out of range", `{"Name":"odd","Address":"127.0.0.1:70000"}`},
		{"port 0", `{"Name":"odd","Address":"127.0.0.1:0"}`},
		{"no host", `{"Name":"odd","Address":"0.0.0.0:80"}`},
		{"no address", `{"Name":"odd"}`},
		{"no name", `{"Address":"127.0.0.1:1"}`},
		{"a number", `1e400`},
		{"a number for a name", `{"Name":1e400,"Address":"127.0.0.1:1"}`},
		{"brackets in a text", `{"Name":"odd]}\\\"],","Address":"here"}`},
		{"null", "null"},
		{"nothing", ""},
	} {
		t.Run(test.about, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "[%s, %s]\n", test.odd, sound)
			}))
			defer server.Close()
			var skipped []error
			client := instancelist.New(server.URL, instancelist.WithSkipHandler(func(errs []error) { skipped = errs }))
			defer client.Close()
			list, err := client.List(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, list, qt.HasLen, 1)
			qt.Assert(t, list[0].Name, qt.Equals, "w1")
			qt.Assert(t, skipped, qt.HasLen, 1)
		})
	}
}

// TestBrokenList guards against a response that is cut off or no list, which must not be taken for a list without entries.
func TestBrokenList(t *testing.T) {
	for _, body := range []string{"", "{}", "[", `[{"Name":"a"}`, `[{"Name":"a"]`, `[]]`, `["a]`, "null", "[1] [2]"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		client := instancelist.New(server.URL)
		_, err := client.List(t.Context())
		qt.Check(t, err, qt.ErrorIs, instancelist.ErrUnavailable, qt.Commentf("%q", body))
		client.Close()
		server.Close()
	}
}
