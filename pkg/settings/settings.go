// Package settings loads the start-up settings of an instance: its name, the addresses that it
// listens on, and the base URLs of the platform's services.
//
// Settings come from a YAML file; flags and environment variables (prefix CUMINROUTED_)
// override single values. Each problem is a finding with the path of the setting and, with a file,
// its position. All findings are reported together.
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

// DefaultStopNotice is how long a stopping instance reports that it is not ready before it refuses
// requests. The platform's load balancer polls readiness at least once in this time.
const DefaultStopNotice = time.Second

// Settings are the checked settings of one instance.
type Settings struct {
	Instance    string // Instance is the unique name of the instance.
	DataCentre  string
	Fleet       string // Fleet names the deployment; messages of instances of another fleet are ignored.
	Listen      Listen
	Certificate Certificate
	Platform    Platform
	Seeds       []netip.AddrPort    // Seeds are peers to join if the instance list is not available.
	Operators   []configuration.Key // Operators may call the operator API, also before there is a configuration.
	StopNotice  time.Duration       // StopNotice is how long a stopping instance is not ready before it refuses requests.
	LogLevel    string
	Routing     string // Routing is the policy by which targets are chosen.
}

// Listen holds the addresses that the instance listens on. Port 0 selects any free port.
type Listen struct {
	Callers   netip.AddrPort // Callers is the address for clients.
	Operators netip.AddrPort
	Peers     netip.AddrPort // Peers is one port number for TCP and UDP.
}

// Certificate names the PEM files of the certificate and private key of both HTTP listeners. Without a
// certificate, both listeners serve plain HTTP.
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
