package gateway

import (
	"net/netip"
	"time"
)

// Settings are the start-up settings of an instance.
type Settings struct {
	Instance         string
	DataCentre       string
	ClientAddress    netip.AddrPort   // ClientAddress is where clients send requests.
	ReadinessAddress netip.AddrPort   // ReadinessAddress serves the load balancer's readiness probes.
	PeerAddress      netip.AddrPort   // PeerAddress is where other instances reach this one.
	OperatorAddress  netip.AddrPort   // OperatorAddress serves the metrics and the state of the process.
	Seeds            []netip.AddrPort // Seeds are the peer addresses through which the instance joins the others.
	IsSeed           bool             // IsSeed is set if this instance is a seed of the others.
	StoreAddress     netip.AddrPort
	MemoryLimit      int64         // MemoryLimit is the limit of the process in bytes.
	DescriptorLimit  int           // DescriptorLimit is the number of descriptors that the process may have open; 0 means that it is unknown.
	GracePeriod      time.Duration // GracePeriod is the time between the signal to stop and the kill.
	// MaxConfigurationAge bounds the time since the configuration was last confirmed as the newest, beyond which
	// requests with an API key are refused; 0 means no bound.
	MaxConfigurationAge time.Duration
	RetryBudget         RetryBudget
}

// RetryBudget bounds the retries of all instances together, for each service.
type RetryBudget struct {
	Ratio      float64       // Ratio is the number of retries for each request.
	MinRetries float64       // MinRetries is the number of retries in each window in addition to Ratio.
	Window     time.Duration // Window is the time over which requests and retries are counted.
}
