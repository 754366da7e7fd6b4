package gateway

import (
	"context"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReloadSignalDuringStart guards against a signal to read the settings again that is lost, since it arrives during the start.
func TestReloadSignalDuringStart(t *testing.T) {
	hangup := make(chan os.Signal, 1)
	hangup <- syscall.SIGHUP
	reloaded := make(chan struct{}, 1)
	store := newFilledStore()
	p := fakePlatform(store, &fakeTargetControl{store: store})
	p.Reload = func() (Settings, error) {
		notify(reloaded)
		return Settings{}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, err := New(ctx, Settings{
		Instance: "i1", DataCentre: "dc", MemoryLimit: 1 << 30, GracePeriod: 1, ClientAddress: loopback, ReadinessAddress: loopback,
		OperatorAddress: loopback, PeerAddress: loopback,
	}, p, WithLogOutput(discard{}), WithReloadSignal(hangup))
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	eventually(t, "the settings are read again", func() bool { return len(reloaded) == 1 })
}
