// Package inprocess starts daemons inside the process, on loopback, for a stand-in fleet.
//
// Usage:
//
//	f, err := fleet.New(ctx, fleet.Options{Instances: 3, Start: inprocess.Start})
package inprocess

import (
	"context"
	"io"
	"net/netip"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/settings"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// Instance adapts a daemon to fleet.Instance.
type Instance struct {
	*daemon.Daemon
}

// ClientAddress implements fleet.Instance.
func (i Instance) ClientAddress() netip.AddrPort { return i.Addresses().ClientAddress }

// OperatorAddress implements fleet.Instance.
func (i Instance) OperatorAddress() netip.AddrPort { return i.Addresses().OperatorAddress }

// PeerAddress implements fleet.Instance.
func (i Instance) PeerAddress() netip.AddrPort { return i.Addresses().PeerAddress }

// Start starts a daemon on free loopback ports and discards its log. It is a fleet.StartInstance.
func Start(ctx context.Context, s fleet.InstanceSpec) (fleet.Instance, error) {
	return StartLogging(io.Discard)(ctx, s)
}

// StartLogging returns a fleet.StartInstance whose daemons log to w.
func StartLogging(w io.Writer) fleet.StartInstance {
	return StartWith(func(fleet.InstanceSpec) []daemon.Option { return []daemon.Option{daemon.WithLogOutput(w)} })
}

// StartWith returns a fleet.StartInstance. It calls options for the daemon options of each instance.
func StartWith(options func(s fleet.InstanceSpec) []daemon.Option) fleet.StartInstance {
	return func(ctx context.Context, s fleet.InstanceSpec) (fleet.Instance, error) {
		d, err := daemon.New(ctx, settingsOf(s), options(s)...)
		if err != nil {
			return nil, err
		}
		return Instance{d}, nil
	}
}

func settingsOf(s fleet.InstanceSpec) settings.Settings {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return settings.Settings{
		Instance: s.Name, DataCentre: s.DataCentre, Fleet: "standin",
		Listen:     settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback},
		Platform:   settings.Platform{Table: s.Platform, ObjectStore: s.Platform, InstanceList: s.Platform, WeightStore: s.Platform},
		Seeds:      s.Seeds,
		Operators:  []configuration.Key{{Name: "operator", Hash: configuration.HashKey(fleet.OperatorKey)}},
		StopNotice: settings.DefaultStopNotice, LogLevel: "info", Routing: s.Routing,
	}
}
