package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// freePort returns a loopback address that is free for TCP and UDP.
func freePort(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// filled is a store with a configuration and four engines that each hold two of four layers at most.
func filled() *fakeStore {
	s := newFakeStore()
	s.put("configuration", "config", "1")
	for i := range 4 {
		s.put("targets", fmt.Sprint("w", i), encode(target.Target{
			Kind: target.Engine, Service: "model", State: target.Live, Accelerator: "k", DataCentre: "dc",
			Address: netip.MustParseAddrPort(fmt.Sprint("10.0.0.1:", 80+i)),
		}))
	}
	return s
}

// covered reports whether the instance knows a holder of each layer.
func covered(s *Gateway) bool {
	view := s.knowledge.Snapshot()
	if view == nil {
		return false
	}
	var held [4]bool
	for _, t := range view.Targets["model"].Targets() {
		for l := t.Layers.First; l < t.Layers.End; l++ {
			held[l] = true
		}
	}
	return held == [4]bool{true, true, true, true}
}

// TestStart guards against an instance that does not get from an empty fleet to all layers held.
func TestStart(t *testing.T) {
	store := filled()
	orders := &fakeOrders{store: store}
	s := start(t, "i1", store, orders)
	eventually(t, "readiness", s.Ready)
	eventually(t, "all layers", func() bool { return covered(s) })
	for _, o := range orders.given() {
		qt.Assert(t, o.Layers.Len() <= 2, qt.IsTrue, qt.Commentf("%v exceeds the memory", o))
		qt.Assert(t, o.FencingToken > 0, qt.IsTrue)
	}
}

// TestPeers guards against instances that do not hear of a change of the configuration or the list from each other, and
// against two holders of the lease.
func TestPeers(t *testing.T) {
	store := filled()
	orders := &fakeOrders{store: store}
	first := start(t, "i1", store, orders)
	second := start(t, "i2", store, orders, first)
	third := start(t, "i3", store, orders, first)
	all := []*Gateway{first, second, third}
	for _, s := range all {
		eventually(t, "all instances", func() bool { return len(s.peers.node.Members()) == 3 })
		eventually(t, "all layers", func() bool { return covered(s) })
	}
	store.put("configuration", "config", "2")
	store.put("targets", "w9", encode(target.Target{Service: "desk", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.9:1")}))
	changed := time.Now()
	for _, s := range all {
		eventually(t, "the new configuration", func() bool { v, _ := s.knowledge.version(); return v == 2 })
		eventually(t, "the new target", func() bool { return has(s.knowledge, "w9") })
	}
	qt.Assert(t, time.Since(changed) < 2*time.Second, qt.IsTrue)
	holders := 0
	for _, s := range all {
		if s.leader.holds() {
			holders++
		}
	}
	qt.Assert(t, holders, qt.Equals, 1)
}

// TestProofFromPeers guards against a stale instance that the store refuses while others can prove the configuration.
func TestProofFromPeers(t *testing.T) {
	store, refusing := filled(), filled()
	orders := &fakeOrders{store: store}
	first := start(t, "i1", store, orders)
	second := start(t, "i2", refusing, orders, first)
	eventually(t, "both instances", func() bool { return len(second.peers.node.Members()) == 2 && second.Ready() })
	refusing.setDown(true)
	store.put("configuration", "config", "2")
	eventually(t, "the configuration of the other instance", func() bool { v, _ := second.knowledge.version(); return v == 2 })
	time.Sleep(6 * time.Second) // Longer than a proof lasts.
	qt.Assert(t, second.Ready(), qt.IsTrue)
}

// TestLostSwap guards against orders without the lease, or none at all, after the answer to its write was lost.
func TestLostSwap(t *testing.T) {
	store := filled()
	store.loseSwap = true
	orders := &fakeOrders{store: store}
	s := start(t, "i1", store, orders)
	eventually(t, "all layers", func() bool { return covered(s) })
	qt.Assert(t, s.leader.holds(), qt.IsTrue)
}

// TestDeadTarget guards against layers that stay without a holder while the list still names a dead one.
func TestDeadTarget(t *testing.T) {
	store := filled()
	orders := &fakeOrders{store: store}
	s := start(t, "i1", store, orders)
	eventually(t, "all layers", func() bool { return covered(s) })
	var lost target.Target
	for _, w := range s.knowledge.Snapshot().Targets["model"].Targets() {
		if w.Layers == (layer.Range{First: 0, End: 2}) {
			s.meter.MarkDead(w.Name, time.Now().Add(time.Minute))
			lost = *w
		}
	}
	eventually(t, "another holder", func() bool {
		for _, w := range s.knowledge.Snapshot().Targets["model"].Targets() {
			if w.Name != lost.Name && w.Layers.First == 0 && w.Layers.Valid() && !s.meter.IsDead(w.Name, time.Now()) {
				return true
			}
		}
		return false
	})
}

// TestForget guards against dropping what is known of a target in the list, or keeping that of one that left it.
func TestForget(t *testing.T) {
	s := start(t, "i1", filled(), &fakeOrders{store: newFakeStore()})
	s.meter.MarkDead("left", time.Now().Add(time.Minute))
	eventually(t, "the list", func() bool { return len(s.knowledge.all()) == 4 })
	s.meter.MarkDead("w0", time.Now().Add(time.Minute))
	s.forget()
	qt.Assert(t, s.meter.IsDead("w0", time.Now()), qt.IsTrue)
	qt.Assert(t, s.meter.IsDead("left", time.Now()), qt.IsFalse)
}

// TestState guards against a dump that leaves out what decides, or shows keys.
func TestState(t *testing.T) {
	store := filled()
	s := start(t, "i1", store, &fakeOrders{store: store})
	eventually(t, "all layers", func() bool { return covered(s) })
	response, err := http.Get("http://" + s.operatorsAt.Addr().String() + "/state")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var state State
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&state), qt.IsNil)
	qt.Assert(t, state.Instance, qt.Equals, "i1")
	qt.Assert(t, state.Ready, qt.IsTrue)
	qt.Assert(t, state.HoldsLease, qt.IsTrue)
	qt.Assert(t, state.Version, qt.Equals, uint64(1))
	qt.Assert(t, state.Targets, qt.HasLen, 4)
}

// TestReaderLost guards against instances that wait for a reader which has lost the store, while the store serves them.
func TestReaderLost(t *testing.T) {
	stores := []*fakeStore{filled(), filled()}
	first := start(t, "i1", stores[0], &fakeOrders{store: stores[0]})
	second := start(t, "i2", stores[1], &fakeOrders{store: stores[1]}, first)
	stations := []*Gateway{first, second}
	for _, s := range stations {
		eventually(t, "both instances", func() bool { return len(s.peers.node.Members()) == 2 && s.Ready() })
	}
	reader := 0
	if second.peers.reads() {
		reader = 1
	}
	other := 1 - reader
	eventually(t, "the reader's news", func() bool { return stations[other].peers.readers(time.Now()) })
	stores[reader].setDown(true)
	stores[other].put("configuration", "config", "2")
	changed := time.Now()
	eventually(t, "the new configuration", func() bool { v, _ := stations[other].knowledge.version(); return v == 2 })
	qt.Assert(t, time.Since(changed) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(changed)))
}

// TestReaderProof guards against a reader whose own proof grows too old while it waits for a change.
func TestReaderProof(t *testing.T) {
	store := filled()
	s := start(t, "i1", store, &fakeOrders{store: store})
	eventually(t, "readiness", s.Ready)
	for end := time.Now().Add(2*configurationWait + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		age, _ := s.knowledge.age()
		qt.Assert(t, age < s.settings.MaxConfigurationAge*7/10, qt.IsTrue, qt.Commentf("the proof is %s old", age))
	}
}

// TestStop guards against a planned stop that cuts off a request, refuses a connection before the load balancer has
// noticed, keeps connections open, or takes longer than the time to stop.
func TestStop(t *testing.T) {
	store := filled()
	p := fakePlatform(store, &fakeOrders{store: store})
	p.NewHandler = func(_ *proxy.Server, _ func() catalogue.Limits, enter func() (func(), bool)) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			end, closing := enter()
			defer end()
			if closing {
				w.Header().Set("Connection", "close")
			}
			if r.URL.Path == "/slow" {
				time.Sleep(4 * time.Second)
			}
		})
	}
	settings := Settings{
		Instance: "i1", DataCentre: "dc", MemoryLimit: 1 << 30, GracePeriod: 8 * time.Second, MaxConfigurationAge: 5 * time.Second,
		ClientAddress: loopback, ReadinessAddress: loopback, OperatorAddress: loopback, PeerAddress: freePort(t),
	}
	s, err := New(context.Background(), settings, p, WithLogOutput(discard{}))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "readiness", s.Ready)
	url := "http://" + s.callersAt.Addr().String()
	slow := make(chan error, 1)
	go func() {
		response, err := http.Get(url + "/slow")
		if err == nil {
			_ = response.Body.Close()
		}
		slow <- err
	}()
	eventually(t, "the slow request", func() bool { return s.running.Load() == 1 })
	stopped := time.Now()
	go func() { _ = s.app.Stop() }()
	eventually(t, "the stop", s.stopping.Load)
	qt.Assert(t, s.Ready(), qt.IsFalse)
	time.Sleep(2 * time.Second) // Two questions of the load balancer.
	response, err := http.Get(url + "/")
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.Close, qt.IsTrue)
	qt.Assert(t, <-slow, qt.IsNil)
	qt.Assert(t, s.Wait(), qt.IsNil)
	qt.Assert(t, time.Since(stopped) < settings.GracePeriod, qt.IsTrue)
}

// TestFenced guards against giving orders again under a fencing number that a target has refused.
func TestFenced(t *testing.T) {
	store := filled()
	orders := &fakeOrders{store: store, err: ErrFenced}
	s := start(t, "i1", store, orders)
	eventually(t, "the first orders", func() bool { return len(orders.given()) > 0 })
	time.Sleep(time.Second)
	first := len(orders.given())
	time.Sleep(2 * time.Second)
	qt.Assert(t, len(orders.given()), qt.Equals, first)
	qt.Assert(t, s.leader.holds(), qt.IsTrue)
}
