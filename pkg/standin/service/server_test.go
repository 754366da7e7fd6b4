package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func order(s *Server, key string) (Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Addr().String()+"/reorder", strings.NewReader("kit 4"))
	if err != nil {
		return Response{}, err
	}
	request.Header.Set(KeyHeader, key)
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	var r Response
	return r, json.NewDecoder(response.Body).Decode(&r)
}

// Guards against counters that miss an execution whose response was lost.
func TestFaultsAndCounters(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		ran    int
		fails  bool
	}{
		{"none", Faults{}, 1, false},
		{"crash before", Faults{CrashBefore: true}, 0, true},
		{"crash after", Faults{CrashAfter: true}, 1, true},
		{"response lost", Faults{LoseAnswers: 1}, 1, true},
		{"frozen", Faults{Freeze: true}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := New("orders")
			c.Assert(err, qt.IsNil)
			defer s.Close()
			s.SetFaults(tt.faults)
			response, err := order(s, "k1")
			c.Assert(err != nil, qt.Equals, tt.fails)
			c.Assert(s.Executed()["k1"], qt.Equals, tt.ran)
			if !tt.fails {
				c.Assert(response, qt.DeepEquals, Response{Service: "orders", Path: "/reorder", Key: "k1", Content: "kit 4", Number: 1})
			}
		})
	}
}

// Guards against a restart that resets the execution counters.
func TestRestartKeepsCounters(t *testing.T) {
	c := qt.New(t)
	s, err := New("orders")
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = order(s, "k1")
	c.Assert(err, qt.IsNil)
	s.Kill()
	c.Assert(s.Restart(), qt.IsNil)
	_, err = order(s, "k1")
	c.Assert(err, qt.IsNil)
	c.Assert(s.Executed()["k1"], qt.Equals, 2)
}
