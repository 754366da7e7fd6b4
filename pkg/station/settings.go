package station

import (
	"net/netip"
	"time"
)

// Settings are what an instance is told at its start.
type Settings struct {
	Instance   string
	DataCentre string
	Callers    netip.AddrPort // Callers is where requests come in.
	Ready      netip.AddrPort // Ready is where the load balancer asks for readiness.
	Peers      netip.AddrPort // Peers is where other instances reach this one.
	Operators  netip.AddrPort // Operators is where metrics and the state of the process are shown.
	Seeds      []netip.AddrPort
	Store      netip.AddrPort
	Memory     int64         // Memory is the limit of the process in bytes.
	Grace      time.Duration // Grace is the time between the order to stop and the kill.
	// ProofLife is how old the proof of the configuration may be for requests with a key; 0 means any age.
	ProofLife time.Duration
	Retries   Retries
}

// Retries bounds the repeated sendings of all instances together, for each service.
type Retries struct {
	Ratio  float64       // Ratio is the repeated sendings for each request.
	Slack  float64       // Slack is the number of further ones in each window.
	Window time.Duration // Window is the time over which they are counted.
}
