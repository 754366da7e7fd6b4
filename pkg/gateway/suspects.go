package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/connection"
	"github.com/cuminroute/cuminroute/pkg/decision/monitor"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// controlDialTimeout bounds the connection to another instance with which a silent target is compared.
const controlDialTimeout = 400 * time.Millisecond

// sendDead informs all instances that a target is dead. ended means that its host refuses connections.
func (p *peers) sendDead(t target.Target, ended bool) {
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Lost: []string{t.Name}, LostEnded: ended})
}

// sendAlive informs all instances that a target that this instance reported dead responds again.
func (p *peers) sendAlive(t target.Target) {
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Regained: []string{t.Name}})
}

// requestProbes asks the monitors of suspected targets to probe them, with one message to each monitor. It returns the
// targets that this instance monitors itself.
func (p *peers) requestProbes(suspects []target.Target, round int, conclusive bool) (own []target.Target) {
	members := addressesOf(p.node.Members())
	requests := make(map[netip.AddrPort][]string)
	for _, t := range suspects {
		monitors := monitor.Assign(t.Name, round, members)
		if len(monitors) == 0 || slices.Contains(monitors, p.node.Address()) {
			own = append(own, t)
		}
		for _, m := range monitors {
			if m != p.node.Address() {
				requests[m] = append(requests[m], t.Name)
			}
		}
	}
	for m, names := range requests {
		p.send([]netip.AddrPort{m}, &instancepb.StatusUpdate{Suspects: names, Conclusive: conclusive})
	}
	return own
}

// connectToAny opens a connection to a random other instance and closes it. It succeeds if there is no other instance.
func (p *peers) connectToAny(ctx context.Context) error {
	others := p.others()
	if len(others) == 0 {
		return nil
	}
	dialer := connection.NewDialer(controlDialTimeout, controlDialTimeout)
	c, err := dialer.DialContext(ctx, "tcp", others[rand.IntN(len(others))].Address.String())
	if err != nil {
		return err
	}
	return c.Close()
}

// receiveSuspects probes the targets that another instance suspects. It probes in the background, since the verdict may
// take time and is sent to other instances.
func (p *peers) receiveSuspects(u *instancepb.StatusUpdate) {
	for _, name := range u.GetSuspects() {
		if t, ok := p.gateway.cache.target(name); ok {
			go p.gateway.server.ExamineTarget(t, u.GetConclusive())
		}
	}
}

// receiveVerdicts handles the targets that another instance has found dead, or alive again.
func (p *peers) receiveVerdicts(u *instancepb.StatusUpdate) {
	for _, name := range u.GetLost() {
		if t, ok := p.gateway.cache.target(name); ok {
			go p.gateway.server.TargetDead(t, u.GetLostEnded()) // TargetDead may send status updates, which wait for the node.
		}
	}
	for _, name := range u.GetRegained() {
		p.gateway.server.TargetAlive(name)
	}
}
