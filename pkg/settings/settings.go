// Package settings holds what an instance must know before it can read anything else: who it
// is, where it listens, and where the platform's services are.
//
// Settings come from a YAML file; flags and environment variables (prefix CUMINROUTED_)
// override single values. All findings are reported together.
//
// Usage:
//
//	s, err := settings.Load(os.Args[1:])
//	var invalid *finding.Error
//	if errors.As(err, &invalid) { ... }
package settings

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// DefaultStopNotice is how long a stopping instance answers as not ready before it refuses
// requests. The platform's balancer polls readiness at least once in this time.
const DefaultStopNotice = time.Second

// Settings are the checked settings of one instance.
type Settings struct {
	Instance    string // Instance is the unique name of the process.
	DataCentre  string
	Fleet       string // Fleet names the deployment; instances of another fleet are not talked to.
	Listen      Listen
	Certificate Certificate
	Platform    Platform
	Seeds       []netip.AddrPort    // Seeds are peers to join where the instance list is not available.
	Operators   []configuration.Key // Operators may call the operator API before a configuration names others.
	StopNotice  time.Duration
	LogLevel    string
	Routing     string // Routing is the policy by which targets are chosen.
}

// Listen holds the addresses that the instance listens at. Port 0 takes any free port.
type Listen struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort // Peers is one port number for TCP and UDP.
}

// Certificate names the files of the certificate that both HTTP listeners present. Without it they speak plain HTTP.
type Certificate struct {
	File    string
	KeyFile string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table        string
	ObjectStore  string
	InstanceList string
	WeightStore  string
}
