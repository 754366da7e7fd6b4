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
	// fleetName keeps the instances of one deployment together.
	fleetName = "platform"
	// bulletinInterval is how often an instance tells others of its load.
	bulletinInterval = 300 * time.Millisecond
	// bulletinReach bounds the instances that are told of the load each time. Among more, each hears a sample.
	bulletinReach = 24
	// maxLoads bounds the targets in one bulletin, so that it fits a datagram.
	maxLoads = 48
	// maxNews is the number of entries of the list in one bulletin.
	maxNews = 2
	// maxNewsBytes bounds an entry that is told in a bulletin. Longer ones are read from the store.
	maxNewsBytes = 450
	// readerLife is how long an instance counts as a reader of the list after it last told of it.
	readerLife = 650 * time.Millisecond
	// fetchTimeout bounds the reading of the configuration from another instance.
	fetchTimeout = time.Second
	// forgetInterval is how often what was measured of targets that left is dropped.
	forgetInterval = time.Minute
	// digestPatience is how long the list may differ from a reader's before it is read again.
	digestPatience = 900 * time.Millisecond
)

// peers is the exchange with the other instances.
type peers struct {
	station *Gateway
	node    *instance.Node

	mu       sync.Mutex
	heard    time.Time       // heard is when a reader last told of the list.
	differs  time.Time       // differs is since when the list differs from the reader's; zero if it does not.
	newest   uint64          // newest is the highest revision of the configuration heard of.
	lease    time.Time       // lease is when the holder of the lease last told of it.
	leaseRow *instancepb.Row // leaseRow is what it told.
	holder   netip.AddrPort  // holder told of it.
	wake     chan struct{}
}

func newPeers(s *Gateway) *peers {
	return &peers{station: s, wake: make(chan struct{}, 1)}
}

// start joins the other instances.
func (p *peers) start(ctx context.Context) error {
	settings := p.station.settings
	node, err := instance.New(ctx, instance.Config{
		Fleet: fleetName, Name: settings.Instance, DataCentre: settings.DataCentre, Address: settings.PeerAddress, Seeds: settings.Seeds,
	}, instance.WithStatusHandler(p.receive), instance.WithSnapshotProvider(p.snapshot), instance.WithoutConfigSync(), instance.WithLogger(p.station.logger),
		instance.WithMetrics(p.station.registry))
	if err != nil {
		return errListen.Wrap(err, "the address for other instances cannot be used")
	}
	p.node = node
	node.OnItem(func(i membership.Item) {
		if q, ok := i.(membership.Quarantine); ok {
			p.station.ledger.AddRemote(q, time.Now())
		}
	})
	p.station.knowledge.news = p.tellNews
	return nil
}

// run tells of the load until the context ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(bulletinInterval)
	defer ticker.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-forget.C:
			p.station.forget()
		case <-ticker.C:
			p.tellLoad()
		}
	}
}

// others returns the live instances but this one.
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

// tellLoad tells others of the load of this instance's requests, and of what it knows.
func (p *peers) tellLoad() {
	members := p.others()
	others := addressesOf(members)
	p.station.meter.SetInstanceCount(len(others) + 1)
	p.station.shareBudget(len(others) + 1)
	b := p.bulletin()
	if len(others) > bulletinReach {
		p.tellDependants(members)
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		others = others[:bulletinReach]
	}
	b.HasLoads = true
	for name, load := range p.station.meter.LocalLoads() {
		if len(b.GetLoads()) == maxLoads {
			break
		}
		b.Loads = append(b.Loads, &instancepb.TargetLoad{Target: targetstats.TargetHash(name), Cells: load.KVCells, Streams: uint32(load.Streams)})
	}
	p.send(others, b)
}

// tellDependants tells those that wait for news of this instance, in a large fleet in which each hears only some of the
// others. A reader passes the row of the lease on to its data centre only, so that readers do not echo it.
func (p *peers) tellDependants(members []membership.Member) {
	b := p.bulletin()
	if b.GetLease() == nil && p.leaseHeard(time.Now()) {
		b.Lease = p.passOnLease()
	}
	p.send(p.dependants(members), b)
}

// dependants returns the instances that wait for news of this one: those of its data centre for a reader's, and the
// readers for the row of the lease, which they pass on.
func (p *peers) dependants(members []membership.Member) []netip.AddrPort {
	var to []netip.AddrPort
	if p.station.polled(time.Now()) && p.reads() {
		for _, m := range members {
			if m.DataCentre == p.station.settings.DataCentre {
				to = append(to, m.Address)
			}
		}
	}
	if _, holds := p.station.leader.row(); holds {
		to = slices.AppendSeq(to, maps.Values(lowest(members)))
	}
	return to
}

// bulletin returns what every bulletin says.
func (p *peers) bulletin() *instancepb.StatusUpdate {
	_, revision := p.station.knowledge.version()
	b := &instancepb.StatusUpdate{Revision: revision}
	if p.station.polled(time.Now()) {
		b.Digest = p.station.knowledge.digest.Load()
	}
	if row, ok := p.station.leader.row(); ok {
		b.Lease = &instancepb.Row{Name: row.Name, Value: row.Value, Revision: row.Revision}
	}
	return b
}

func (p *peers) send(to []netip.AddrPort, b *instancepb.StatusUpdate) {
	if len(to) == 0 {
		return
	}
	if err := p.node.SendStatus(to, b); err != nil {
		p.station.logger.Error().Err(err).Msg("bulletin could not be sent")
	}
}

// tellItems tells all instances of suspects and verdicts.
func (p *peers) tellItems(items []membership.Item) {
	if err := p.node.Broadcast(items); err != nil {
		p.station.logger.Warn().Err(err).Msg("verdict could not be told")
	}
}

// tellLost tells all instances that a target is dead.
func (p *peers) tellLost(t target.Target) {
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Lost: []string{t.Name}})
}

// tellNews tells others of entries that changed, if this one reads the list from the store.
func (p *peers) tellNews(rows []Row) {
	if !p.station.polled(time.Now()) {
		return
	}
	others := addressesOf(newsReach(p.others(), p.station.settings.DataCentre))
	for some := range slices.Chunk(rows, maxNews) {
		b := &instancepb.StatusUpdate{}
		for _, r := range some {
			if len(r.Value) <= maxNewsBytes {
				b.Targets = append(b.Targets, &instancepb.Row{Name: r.Name, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
			}
		}
		p.send(others, b)
	}
}

// newsReach returns the instances that a reader tells of changed entries. In a large fleet these are the ones of its data
// centre, since the others have readers of their own; otherwise each would hear everything once from each data centre.
func newsReach(others []membership.Member, dataCentre string) []membership.Member {
	if len(others) <= bulletinReach {
		return others
	}
	return slices.DeleteFunc(others, func(m membership.Member) bool { return m.DataCentre != dataCentre })
}

// tellPlaced tells all instances that a target has loaded its layers.
func (p *peers) tellPlaced(name string, layers layer.Range) {
	placed := &instancepb.TargetLayers{Target: name, First: uint32(layers.First), End: uint32(layers.End)}
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Placed: []*instancepb.TargetLayers{placed}})
}

// tellRevision tells all instances of a new configuration.
func (p *peers) tellRevision() {
	p.send(addressesOf(p.others()), p.bulletin())
}

// reads reports whether this instance reads the list of targets and the configuration for its data centre: it has the
// lowest address there.
func (p *peers) reads() bool {
	reader, ok := p.reader(p.station.settings.DataCentre)
	return !ok || reader == p.node.Address()
}

func (p *peers) reader(dataCentre string) (netip.AddrPort, bool) {
	reader, ok := lowest(p.node.Members())[dataCentre]
	return reader, ok
}

// lowest returns the lowest address of each data centre.
func lowest(members []membership.Member) map[string]netip.AddrPort {
	found := make(map[string]netip.AddrPort)
	for _, m := range members {
		if l, ok := found[m.DataCentre]; !ok || m.Address.Compare(l) < 0 {
			found[m.DataCentre] = m.Address
		}
	}
	return found
}

// tellAlone tells all instances that this reader has lost the store.
func (p *peers) tellAlone() {
	if p.reads() {
		p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Alone: true})
	}
}

// notify wakes the reader of a channel, if it is not awake already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
