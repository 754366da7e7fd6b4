package gateway

import (
	"net/netip"
	"time"
)

// Settings are what an instance is told at its start.
type Settings struct {
	Instance         string
	DataCentre       string
	ClientAddress    netip.AddrPort // Callers is where requests come in.
	ReadinessAddress netip.AddrPort // Ready is where the load balancer asks for readiness.
	PeerAddress      netip.AddrPort // Peers is where other instances reach this one.
	OperatorAddress  netip.AddrPort // Operators is where metrics and the state of the process are shown.
	Seeds            []netip.AddrPort
	StoreAddress     netip.AddrPort
	MemoryLimit      int64         // Memory is the limit of the process in bytes.
	GracePeriod      time.Duration // Grace is the time between the order to stop and the kill.
	// MaxConfigurationAge is how old the proof of the configuration may be for requests with a key; 0 means any age.
	MaxConfigurationAge time.Duration
	RetryBudget         RetryBudget
}

// RetryBudget bounds the repeated sendings of all instances together, for each service.
type RetryBudget struct {
	Ratio      float64       // Ratio is the repeated sendings for each request.
	MinRetries float64       // Slack is the number of further ones in each window.
	Window     time.Duration // Window is the time over which they are counted.
}
