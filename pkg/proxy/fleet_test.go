package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/monitor"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	fleetInstances = 60
	fleetStreams   = 5 // fleetStreams is the number of streams of each instance.
	fleetHang      = 2 * time.Second
)

// fleet is a number of instances before the same targets. From a moment on, one target accepts connections but produces
// no events.
type fleet struct {
	servers   []*proxy.Server
	addresses []netip.AddrPort
	hanging   string

	mu     sync.Mutex
	probes map[string]int // probes counts the probes of each target while the target hangs.
}

// newFleet returns instances that ask the monitors of a target to probe it.
func newFleet(t *testing.T) *fleet {
	f := &fleet{hanging: "m1", probes: make(map[string]int)}
	for i := range fleetInstances {
		f.addresses = append(f.addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7340))
	}
	for i := range fleetInstances {
		h := newHarness(t, proxy.WithProbeDelegate(func(suspects []target.Target, round int, conclusive bool) []target.Target {
			return f.requestProbes(i, suspects, round, conclusive)
		}))
		h.upstream.open, h.upstream.probe = f.open, f.probe
		f.servers = append(f.servers, h.server)
	}
	return f
}

func (f *fleet) requestProbes(from int, suspects []target.Target, round int, conclusive bool) (own []target.Target) {
	for _, t := range suspects {
		for _, m := range monitor.Assign(t.Name, round, f.addresses) {
			if to := slices.Index(f.addresses, m); to == from {
				own = append(own, t)
			} else {
				go f.servers[to].ExamineTarget(t, conclusive)
			}
		}
	}
	return own
}

// open returns a stream with an event each 20 ms, which hangs for fleetHang if it passes through the hanging target.
func (f *fleet) open(ctx context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
	go func() {
		for i := 1; i <= 10; i++ {
			_, _ = io.WriteString(writer, events(i, i))
			time.Sleep(20 * time.Millisecond)
			if i == 5 && a.Path.Contains(f.hanging) {
				time.Sleep(fleetHang)
			}
		}
		_ = writer.Close()
	}()
	return streamingResponse(reader), nil
}

func (f *fleet) probe(_ context.Context, t target.Target) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes[t.Name]++
	return nil
}

// TestProbesOfAFleet guards against probes that grow with the number of instances: a target that hangs stalls streams of
// all instances, which then suspect the same targets. The connections must not slow the targets that work.
func TestProbesOfAFleet(t *testing.T) {
	const maxRate = 60 // A target accepts a connection within a millisecond, so that this takes 6% of its time.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var group sync.WaitGroup
		for i, server := range f.servers {
			for j := range fleetStreams {
				group.Go(func() {
					request := &proxy.Request{
						ID: fmt.Sprintf("%d-%d", i, j), Method: "POST", URI: "/plan/1", Path: "/plan/1", Host: host, Key: "key", ReceivedAt: time.Now(),
						Tokens: proxy.TokenCounts{Prompt: 10, Output: 10},
					}
					_ = server.Serve(context.Background(), request, httptest.NewRecorder())
				})
			}
		}
		group.Wait()
		time.Sleep(fleetHang) // The streams of the fake targets end after those of the clients.
		qt.Assert(t, f.probes[f.hanging] > 0, qt.IsTrue)
		for name, n := range f.probes {
			rate := float64(n) / fleetHang.Seconds()
			qt.Check(t, rate <= maxRate, qt.IsTrue, qt.Commentf("%s is probed %.0f times a second", name, rate))
		}
	})
}
