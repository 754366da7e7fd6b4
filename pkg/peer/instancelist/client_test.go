package instancelist_test

import (
	"net/http"
	"net/http/httptest"
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
