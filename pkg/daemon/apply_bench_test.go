package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/decision/targetregistry"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// newConfiguration returns a configuration with the given number of workspaces, each of about 2 KB.
func newConfiguration(workspaces int) *configuration.Configuration {
	c := &configuration.Configuration{HeadOffice: configuration.HeadOffice{
		Fleet: "sized", TimeZone: "UTC", Models: []configuration.Model{{Name: "m", Version: "1", Layers: 32}},
		Operators: []configuration.Key{{Name: "o", Hash: configuration.HashKey("o")}},
	}}
	for n := range workspaces {
		w := configuration.Workspace{
			Name: fmt.Sprintf("workspace-%d", n), Weight: 1, Keys: []configuration.Key{{Name: "k", Hash: configuration.HashKey(fmt.Sprint(n))}},
			Pipelines: []configuration.Pipeline{{Name: "p", Model: "m"}},
		}
		for b := range 10 {
			key := configuration.Key{Name: "k", Hash: configuration.HashKey(fmt.Sprint(n, "/", b))}
			w.Branches = append(w.Branches, configuration.Branch{Name: fmt.Sprintf("branch-%d", b), Keys: []configuration.Key{key}})
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// BenchmarkApply measures the time to apply a change of one workspace, and the heap size of the active
// configuration.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 500, 1500, 3800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			before := heapBytes()
			v := newActiveConfiguration(nil)
			documents := configlog.Split(newConfiguration(n))
			content, err := json.Marshal(snapshotContent{Documents: documents})
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, v.ApplySnapshot(context.Background(), instance.ConfigSnapshot{Version: 1, Content: content}), qt.IsNil)
			changed := documents[len(documents)-1]
			documents, content = nil, nil
			size := heapBytes() - before
			version := uint64(1)
			for b.Loop() {
				version++
				change, err := json.Marshal(configlog.Change{Version: version, Documents: []configlog.Document{changed}})
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, v.Apply(context.Background(), instance.ConfigChange{Version: version, Content: change}), qt.IsNil)
			}
			b.ReportMetric(float64(size)/1e6, "MB")
			runtime.KeepAlive(v)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTargets measures the time to apply a change of the target list: the update of the target
// registry and of the picker's snapshot. It also measures their heap size.
func BenchmarkTargets(b *testing.B) {
	for _, n := range []int{40, 400, 2000, 7000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			before := heapBytes()
			r, picker := targetregistry.New(), route.NewPicker()
			var listed []target.Target
			for i := range n {
				first := i % 4 * 8
				listed = append(listed, target.Target{
					Name: fmt.Sprintf("w%d", i), Kind: target.Engine, State: target.Live, Model: fmt.Sprintf("m%d", i%18),
					ModelLayers: 32, Layers: layer.Range{First: first, End: first + 8},
				})
			}
			r.UpdateListed(listed, time.Now())
			picker.SetTargets(r.Targets())
			size := heapBytes() - before
			for b.Loop() {
				r.UpdateListed(listed, time.Now())
				picker.SetTargets(r.Targets())
			}
			b.ReportMetric(float64(size)/1e6, "MB")
			runtime.KeepAlive(picker)
		})
	}
}
