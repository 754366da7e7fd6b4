package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// fleetName is the membership group of the instances of one deployment.
	fleetName = "platform"
	// statusInterval is how often an instance sends its load to others.
	statusInterval = 300 * time.Millisecond
	// statusFanout bounds the number of instances that get each update of the load. In a larger fleet, a random sample
	// gets it.
	statusFanout = 24
	// maxLoads bounds the targets in one status update, so that it fits a datagram.
	maxLoads = 48
	// maxUpdateRows is the number of changed entries of the target list in one status update.
	maxUpdateRows = 2
	// maxUpdateRowBytes bounds the size of an entry in a status update. Longer ones are read from the store.
	maxUpdateRowBytes = 450
	// watcherTTL is how long an instance counts as a watcher of the target list after its last digest of it.
	watcherTTL = 650 * time.Millisecond
	// fetchTimeout bounds the fetching of the configuration from another instance.
	fetchTimeout = time.Second
	// pruneInterval is how often the statistics of targets that are no longer listed are dropped.
	pruneInterval = time.Minute
	// maxDivergence is how long the target list may differ from a watcher's before it is read from the store.
	maxDivergence = 900 * time.Millisecond
)

// peers exchanges status updates and the configuration with the other instances.
type peers struct {
	gateway *Gateway
	node    *instance.Node

	mu             sync.Mutex
	watcherSeenAt  time.Time       // watcherSeenAt is when a watcher's digest was last received.
	divergedSince  time.Time       // divergedSince is since when the target list differs from the watcher's, or zero.
	newestRevision uint64          // newestRevision is the highest revision of the configuration received.
	leaseSeenAt    time.Time       // leaseSeenAt is when the row of the lease was last received.
	leaseRow       *instancepb.Row // leaseRow is that row.
	newestFrom     netip.AddrPort  // newestFrom is the instance that sent newestRevision.
	wake           chan struct{}
}

func newPeers(g *Gateway) *peers {
	return &peers{gateway: g, wake: make(chan struct{}, 1)}
}

// start joins the other instances.
func (p *peers) start(ctx context.Context) error {
	settings := p.gateway.settings
	node, err := instance.New(ctx, instance.Config{
		Fleet: fleetName, Name: settings.Instance, DataCentre: settings.DataCentre, Address: settings.PeerAddress, Seeds: settings.Seeds,
	}, instance.WithStatusHandler(p.receive), instance.WithSnapshotProvider(p.snapshot), instance.WithoutConfigSync(), instance.WithLogger(p.gateway.logger),
		instance.WithMetrics(p.gateway.registry))
	if err != nil {
		return errListen.Wrap(err, "cannot listen on the peer address")
	}
	p.node = node
	node.OnItem(func(i membership.Item) {
		if q, ok := i.(membership.Quarantine); ok {
			p.gateway.crashTracker.AddRemote(q, time.Now())
		}
	})
	p.gateway.cache.onUpdate = p.sendTargets
	return nil
}

// run sends status updates until the context ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-prune.C:
			p.gateway.pruneTargets()
		case <-ticker.C:
			p.sendStatus()
		}
	}
}

// others returns the live instances except this one.
func (p *peers) others() []membership.Member {
	self := p.node.Address()
	members := p.node.Members()
	others := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.Address != self {
			others = append(others, m)
		}
	}
	return others
}

func addressesOf(members []membership.Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, len(members))
	for i, m := range members {
		addresses[i] = m.Address
	}
	return addresses
}

// sendStatus sends the load of this instance's requests to others, with the rest of its status.
func (p *peers) sendStatus() {
	members := p.others()
	others := addressesOf(members)
	p.gateway.targetStats.SetInstanceCount(len(others) + 1)
	p.gateway.setRetryRate(len(others) + 1)
	u := p.status()
	if len(others) > statusFanout {
		p.sendToDependants(members)
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		others = others[:statusFanout]
	}
	u.HasLoads = true
	for name, load := range p.gateway.targetStats.LocalLoads() {
		if len(u.GetLoads()) == maxLoads {
			break
		}
		u.Loads = append(u.Loads, &instancepb.TargetLoad{Target: targetstats.TargetHash(name), Cells: load.KVCells, Streams: uint32(load.Streams)})
	}
	p.send(others, u)
}

// sendToDependants sends the status to the instances that depend on it, in a large fleet in which each receives only
// some of the others' updates. A watcher relays the row of the lease to its data centre only, so that watchers do not
// echo it.
func (p *peers) sendToDependants(members []membership.Member) {
	u := p.status()
	if u.GetLease() == nil && p.leaseSeen(time.Now()) {
		u.Lease = p.relayedLease()
	}
	p.send(p.dependants(members), u)
}

// dependants returns the instances that depend on the status of this one: those of its data centre if it is a watcher,
// and the watchers, which relay the row of the lease, if it holds the lease.
func (p *peers) dependants(members []membership.Member) []netip.AddrPort {
	var to []netip.AddrPort
	if p.gateway.polledTargets(time.Now()) && p.isWatcher() {
		for _, m := range members {
			if m.DataCentre == p.gateway.settings.DataCentre {
				to = append(to, m.Address)
			}
		}
	}
	if _, holds := p.gateway.leader.row(); holds {
		to = slices.AppendSeq(to, maps.Values(watchers(members)))
	}
	return to
}

// status returns the fields that every status update has.
func (p *peers) status() *instancepb.StatusUpdate {
	_, revision := p.gateway.cache.version()
	u := &instancepb.StatusUpdate{Revision: revision}
	if p.gateway.polledTargets(time.Now()) {
		u.Digest = p.gateway.cache.digest.Load()
	}
	if row, ok := p.gateway.leader.row(); ok {
		u.Lease = &instancepb.Row{Name: row.Name, Value: row.Value, Revision: row.Revision}
	}
	return u
}

func (p *peers) send(to []netip.AddrPort, u *instancepb.StatusUpdate) {
	if len(to) == 0 {
		return
	}
	if err := p.node.SendStatus(to, u); err != nil {
		p.gateway.logger.Error().Err(err).Msg("failed to send a status update")
	}
}

// broadcastItems sends suspects and verdicts to all instances.
func (p *peers) broadcastItems(items []membership.Item) {
	if err := p.node.Broadcast(items); err != nil {
		p.gateway.logger.Warn().Err(err).Msg("failed to broadcast suspects and verdicts")
	}
}

// sendDead informs all instances that a target is dead.
func (p *peers) sendDead(t target.Target) {
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Lost: []string{t.Name}})
}

// sendTargets sends changed entries to others, if this instance reads the target list from the store.
func (p *peers) sendTargets(rows []Row) {
	if !p.gateway.polledTargets(time.Now()) {
		return
	}
	others := addressesOf(updateRecipients(p.others(), p.gateway.settings.DataCentre))
	for some := range slices.Chunk(rows, maxUpdateRows) {
		u := &instancepb.StatusUpdate{}
		for _, r := range some {
			if len(r.Value) <= maxUpdateRowBytes {
				u.Targets = append(u.Targets, &instancepb.Row{Name: r.Name, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
			}
		}
		p.send(others, u)
	}
}

// updateRecipients returns the instances to which a watcher sends changed entries. In a large fleet these are the ones of
// its data centre, since the others have watchers of their own; otherwise each instance would receive every change once
// from each data centre.
func updateRecipients(others []membership.Member, dataCentre string) []membership.Member {
	if len(others) <= statusFanout {
		return others
	}
	return slices.DeleteFunc(others, func(m membership.Member) bool { return m.DataCentre != dataCentre })
}

// sendLayers informs all instances of the layers that a target holds, ahead of its entry.
func (p *peers) sendLayers(name string, layers layer.Range) {
	placed := &instancepb.TargetLayers{Target: name, First: uint32(layers.First), End: uint32(layers.End)}
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Placed: []*instancepb.TargetLayers{placed}})
}

// sendRevision informs all instances of a new configuration.
func (p *peers) sendRevision() {
	p.send(addressesOf(p.others()), p.status())
}

// isWatcher reports whether this instance watches the target list and the configuration for its data centre: it has the
// lowest address there.
func (p *peers) isWatcher() bool {
	watcher, ok := p.watcher(p.gateway.settings.DataCentre)
	return !ok || watcher == p.node.Address()
}

func (p *peers) watcher(dataCentre string) (netip.AddrPort, bool) {
	watcher, ok := watchers(p.node.Members())[dataCentre]
	return watcher, ok
}

// watchers returns the lowest address of each data centre, which is that of its watcher.
func watchers(members []membership.Member) map[string]netip.AddrPort {
	found := make(map[string]netip.AddrPort)
	for _, m := range members {
		if l, ok := found[m.DataCentre]; !ok || m.Address.Compare(l) < 0 {
			found[m.DataCentre] = m.Address
		}
	}
	return found
}

// sendDisconnected informs all instances that this watcher is disconnected from the store.
func (p *peers) sendDisconnected() {
	if p.isWatcher() {
		p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Alone: true})
	}
}

// notify wakes the reader of a channel, unless a wake-up is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
