package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/peer/weightstore"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

func start(t *testing.T) *platform.Server {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	return s
}

var insert = table.Transaction{
	Conditions: []table.Condition{{Key: "a/1"}},
	Writes:     []table.Write{{Key: "a/1", Value: []byte("x")}, {Key: "a/../2?%", Value: []byte("y")}},
}

// TestTable guards against partially applied transactions and keys that are changed by URL escaping.
func TestTable(t *testing.T) {
	s, ctx := start(t), context.Background()
	c := table.New(s.URL())
	defer c.Close()
	res, err := c.Commit(ctx, insert)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res, qt.DeepEquals, table.Result{Committed: true, Revision: 1})
	again := insert
	again.Writes = []table.Write{{Key: "a/3"}}
	res, err = c.Commit(ctx, again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Failed, qt.DeepEquals, []table.Row{{Key: "a/1", Value: []byte("x"), Revision: 1}})
	_, err = c.Get(ctx, "a/3")
	qt.Assert(t, err, qt.ErrorIs, table.ErrNotFound)
	row, err := c.Get(ctx, "a/../2?%")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(row.Value), qt.Equals, "y")
	rows, err := c.Scan(ctx, "a/", "a/../2?%", 5)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 1)
	qt.Assert(t, rows[0].Key, qt.Equals, "a/1")
}

// TestCommitErrors guards against an error that states that nothing was written although it may have been.
func TestCommitErrors(t *testing.T) {
	tests := []struct {
		name    string
		fault   platform.Fault
		close   bool
		want    error
		written bool
	}{
		{name: "refused", fault: platform.Fault{Outage: platform.Refused}, want: table.ErrUnavailable},
		{name: "over the rate", fault: platform.Fault{PerSecond: 1e-9}, want: table.ErrUnavailable},
		{name: "silent", fault: platform.Fault{Outage: platform.Silent}, want: table.ErrUnknown},
		{name: "lost response", fault: platform.Fault{LoseAnswers: 1}, want: table.ErrUnknown, written: true},
		{name: "late response", fault: platform.Fault{Latency: 200 * time.Millisecond}, want: table.ErrUnknown, written: true},
		{name: "closed", close: true, want: table.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t)
			c := table.New(s.URL(), table.WithTimeout(100*time.Millisecond))
			defer c.Close()
			s.SetFaults(platform.Faults{Table: test.fault})
			if test.fault.PerSecond > 0 {
				_, _ = c.Get(context.Background(), "uses the only token of the rate limiter")
			}
			if test.close {
				s.Close()
			}
			_, err := c.Commit(context.Background(), insert)
			qt.Assert(t, err, qt.ErrorIs, test.want)
			if test.close {
				return
			}
			time.Sleep(2 * test.fault.Latency)
			s.SetFaults(platform.Faults{})
			_, err = c.Get(context.Background(), "a/1")
			qt.Assert(t, err == nil, qt.Equals, test.written)
		})
	}
}

// TestStores guards against clients that treat an outage as a valid response.
func TestStores(t *testing.T) {
	s, ctx := start(t), context.Background()
	objects, list, weights := objectstore.New(s.URL()), instancelist.New(s.URL()), weightstore.New(s.URL())
	defer objects.Close()
	defer list.Close()
	defer weights.Close()

	qt.Assert(t, objects.Create(ctx, "a b/c", []byte("1")), qt.IsNil)
	qt.Assert(t, objects.Create(ctx, "a b/c", []byte("2")), qt.ErrorIs, objectstore.ErrExists)
	content, err := objects.Get(ctx, "a b/c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Equals, "1")
	qt.Assert(t, objects.Delete(ctx, "a b/c"), qt.IsNil)
	_, err = objects.Get(ctx, "a b/c")
	qt.Assert(t, err, qt.ErrorIs, objectstore.ErrNotFound)

	s.SetInstances([]instancelist.Instance{{Name: "e1", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: instancelist.Leaving}})
	got, err := list.List(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got[0].State, qt.Equals, instancelist.Leaving)
	var layer bytes.Buffer
	n, err := weights.Fetch(ctx, "m", "v1", 3, &layer)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(layer.Len()))

	put(t, s, `{"List":{"Lag":3600000000000},"Objects":{"Outage":"Refused"},"Weights":{"PerSecond":1e-9}}`, http.StatusOK)
	put(t, s, `{"List":{"Outage":"Sometimes"}}`, http.StatusBadRequest)
	got, err = list.List(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 0)
	_, err = objects.Get(ctx, "a b/c")
	qt.Assert(t, err, qt.ErrorIs, objectstore.ErrUnavailable)
	_, _ = weights.Fetch(ctx, "m", "v1", 3, &layer)
	_, err = weights.Fetch(ctx, "m", "v1", 3, &layer)
	var limited *weightstore.RateLimited
	qt.Assert(t, errors.As(err, &limited), qt.IsTrue)
}

func put(t *testing.T, s *platform.Server, faults string, status int) {
	req, err := http.NewRequest(http.MethodPut, s.URL()+"/faults", strings.NewReader(faults))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, status)
}
