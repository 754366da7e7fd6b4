package fleet

import (
	"context"
	"io"
	"net/netip"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/settings"
)

// process is an entry instance inside this process.
type process struct{ *daemon.Daemon }

func (p process) Callers() netip.AddrPort   { return p.Addresses().Callers }
func (p process) Operators() netip.AddrPort { return p.Addresses().Operators }
func (p process) Gossip() netip.AddrPort    { return p.Addresses().Peers }

// Daemons returns a way to start entry instances inside this process, whose logs go to w.
func Daemons(w io.Writer) StartEntry {
	return func(ctx context.Context, s Spec) (Entry, error) {
		free := netip.MustParseAddrPort("127.0.0.1:0")
		d, err := daemon.New(ctx, settings.Settings{
			Instance: s.Name, DataCentre: s.DataCentre, Seeds: s.Seeds, Routing: s.Routing,
			Listen:     settings.Listen{Callers: free, Operators: free, Peers: free},
			Platform:   settings.Platform{Table: s.Platform, ObjectStore: s.Platform, InstanceList: s.Platform, WeightStore: s.Platform},
			Operators:  []configuration.Key{{Name: "operator", Hash: configuration.HashKey(OperatorKey)}},
			StopNotice: settings.DefaultStopNotice, LogLevel: "warn",
		}, daemon.WithLogOutput(w))
		if err != nil {
			return nil, err
		}
		return process{d}, nil
	}
}
