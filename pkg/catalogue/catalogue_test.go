package catalogue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

func newCatalogue(t *testing.T) *catalogue.Catalogue {
	routes := []catalogue.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, WeightedServices: []catalogue.WeightedService{{Service: "s"}}},
		{Name: "kits", Host: "a.example", Prefix: "/kits/", Timeout: time.Second, WeightedServices: []catalogue.WeightedService{{Service: "s"}}},
	}
	c, err := catalogue.New(3, catalogue.Limits{}, routes, []catalogue.Service{{Name: "s"}},
		[]catalogue.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}})
	qt.New(t).Assert(err, qt.IsNil)
	return c
}

// TestMatchRoute guards against matching a route with a shorter prefix or of another host.
func TestMatchRoute(t *testing.T) {
	c := newCatalogue(t)
	for _, test := range []struct {
		about, host, path, want string
	}{
		{"longest prefix", "a.example", "/kits/7", "kits"},
		{"prefix ends with a slash", "a.example", "/kits", "all"},
		{"another host", "b.example", "/kits/7", ""},
	} {
		t.Run(test.about, func(t *testing.T) {
			r, ok := c.MatchRoute(test.host, test.path)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			if ok {
				qt.Assert(t, r.Name, qt.Equals, test.want)
			}
		})
	}
}

// TestNewFindings guards against accepting routes without a known service, and against reporting only the first finding.
func TestNewFindings(t *testing.T) {
	routes := []catalogue.Route{
		{Name: "r1", Host: "h", Prefix: "/", WeightedServices: []catalogue.WeightedService{{Service: "missing"}}},
		{Name: "r2", Host: "h", Prefix: "/x/", Timeout: time.Second},
	}
	_, err := catalogue.New(1, catalogue.Limits{}, routes, nil, nil)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*Routes.r1.Shares.*Routes.r1.Timeout.*Routes.r2.Shares.*`)
}

// TestWorkspaceForKey guards against a workspace that is found only by its first key, and against accepting an empty key.
func TestWorkspaceForKey(t *testing.T) {
	c := newCatalogue(t)
	w, ok := c.WorkspaceForKey("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, w.Name, qt.Equals, "w")
	_, ok = c.WorkspaceForKey("")
	qt.Assert(t, ok, qt.IsFalse)
}

// TestPickService guards against a split that does not follow the weights.
func TestPickService(t *testing.T) {
	r := catalogue.Route{WeightedServices: []catalogue.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := make(map[string]int)
	for i := range uint64(1000) {
		count[r.PickService(i)]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}

// TestRetryable guards against retrying a request that may run only once.
func TestRetryable(t *testing.T) {
	for _, test := range []struct {
		route catalogue.Route
		want  bool
	}{
		{catalogue.Route{Kind: catalogue.Idempotent}, true},
		{catalogue.Route{Kind: catalogue.NonIdempotent}, false},
		{catalogue.Route{Kind: catalogue.NonIdempotent, Resumable: true}, false},
		{catalogue.Route{Kind: catalogue.Streaming}, false},
		{catalogue.Route{Kind: catalogue.Streaming, Resumable: true}, true},
	} {
		qt.Assert(t, test.route.Retryable(), qt.Equals, test.want, qt.Commentf("%+v", test.route))
	}
}

// TestKVCells guards against counting memory for KV cells or layers that a target does not have.
func TestKVCells(t *testing.T) {
	e := catalogue.Engine{
		Layers: 80, LayerBytes: 1750e6, KVBytesPerToken: 426000,
		Accelerators: map[string]catalogue.Accelerator{"l4": {MemoryBytes: 21600e6, StepFactor: 16}},
		BaseStepTime: 850 * time.Microsecond,
	}
	qt.Assert(t, e.MaxLayers("l4"), qt.Equals, 12)
	qt.Assert(t, e.KVCells("l4", 13), qt.Equals, int64(0))
	// (21,600 - 9 * 1,750) MB divided by 5,325 bytes per token and layer.
	qt.Assert(t, e.KVCells("l4", 9), qt.Equals, int64(1098591))
	qt.Assert(t, e.StepTime("l4", layer.Range{First: 10, End: 50}), qt.Equals, 6800*time.Microsecond)
}
