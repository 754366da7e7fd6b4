package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestServingBeforeConfiguration guards against targets that cannot be chosen when the first configuration
// becomes active, because their model was not configured when they reported.
func TestServingBeforeConfiguration(t *testing.T) {
	c := &control{d: &Daemon{configuration: newActiveConfiguration(nil)}, engines: map[string]*engineView{"w1": {}}}
	c.engines["w1"].reported.Version = "1"
	w := target.Target{Name: "w1", State: target.Live, Model: "darning", ModelLayers: 8, Layers: layer.Range{End: 8}}
	qt.Assert(t, c.selectServingVersions([]target.Target{w})[0].AcceptsRequests(), qt.IsTrue)
}
