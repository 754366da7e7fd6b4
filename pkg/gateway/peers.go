package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/decision/freshness"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/watcher"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/relaypeers"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

const (
	// fleetName is the membership group of the instances of one deployment.
	fleetName = "platform"
	// statusInterval is how often an instance sends a status update with the load of its requests.
	statusInterval = 300 * time.Millisecond
	// firstReportsWait is how long after its start an instance takes the loads of others as unknown until it has heard of them. It is
	// several status intervals, since all instances may start together.
	firstReportsWait = 1500 * time.Millisecond
	// statusFanout bounds the number of instances to which each such update is sent. In a larger fleet, these are a
	// random sample.
	statusFanout = 24
	// maxLoads bounds the number of target loads in one status update, so that the update fits a datagram.
	maxLoads = 48
	// maxUpdateRows is the number of changed entries of the target list in one status update.
	maxUpdateRows = 2
	// maxUpdateRowBytes bounds the size of an entry in a status update. Longer entries are left out; instances read
	// them from the store after the digests of the target list have differed for maxDivergence.
	maxUpdateRowBytes = 450
	// peerWait is how long after its start an instance waits for the first status update before it is ready.
	peerWait = time.Second
	// fetchTimeout bounds the fetching of the configuration from another instance.
	fetchTimeout = time.Second
	// pruneInterval is how often the statistics of targets that are no longer listed are dropped.
	pruneInterval = time.Minute
	// maxDivergence is how long the target list may differ from a watcher's before this instance reads the list from
	// the store.
	maxDivergence = 900 * time.Millisecond
)

// peers exchanges status updates and the configuration with the other instances.
type peers struct {
	gateway   *Gateway
	node      *instance.Node
	startedAt time.Time
	started   atomic.Bool // started is set once node is: it receives status updates before.
	// relianceLimit is how old the newest state that others have reported may be before this instance reads the store for itself.
	relianceLimit time.Duration
	relays        *relaypeers.Peers // relays are the instances through which targets are reached where the own link has failed.
	// wholeList is the target list as it was last handed out to an instance without one.
	wholeList atomic.Pointer[encodedList]
	fetching  atomic.Bool // fetching is set while fetchInBackground fetches the configuration.

	mu          sync.Mutex
	watchers    *watcher.Tracker // watchers decides on the watcher of this data centre.
	lastWatcher netip.AddrPort   // lastWatcher is the watcher as last decided.
	// reportedAt is as of when another instance has last reported that it reads a resource, whether or not its state is that of this one.
	reportedAt map[freshness.Resource]time.Time
	// configurationSeenAt is as of when the configuration was last reported to be the newest by an instance that reads it, and
	// configurationSeenBy that instance.
	configurationSeenAt time.Time
	configurationSeenBy netip.AddrPort
	digestSeenAt        time.Time         // digestSeenAt is when the digest of a recent target list was last received.
	listSeenAt          time.Time         // listSeenAt is when the target list was last known to be that of an instance that reads the store.
	divergedSince       time.Time         // divergedSince is when the target list began to differ from the received digest, or zero.
	digestFrom          netip.AddrPort    // digestFrom is the instance that sent the last digest that differed.
	mends               int               // mends counts the times that the list was mended since it last matched a digest.
	newestRevision      revision.Revision // newestRevision is the highest revision of the configuration received.
	newestVersion       uint64            // newestVersion is the highest version of the configuration received.
	newestFrom          []netip.AddrPort  // newestFrom are instances that sent newestVersion or, with the same version, newestRevision.
	receivedAny         bool              // receivedAny reports whether a status update was received since the start.
	leaseSeenAt         time.Time         // leaseSeenAt is when the row of the lease was last received.
	leaseRow            *instancepb.Row   // leaseRow is the row of the lease as last received.
	wake                chan struct{}     // wake wakes watchConfiguration.
	// configurationRegained and targetsRegained wake the readers of the store when it answers another instance again.
	configurationRegained, targetsRegained chan struct{}
	// regainedAt is when this or another instance last told that the store answers again, and questionAt when this one last asked for a
	// confirmation upon that.
	regainedAt, questionAt time.Time
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		gateway: g, startedAt: time.Now(), watchers: watcher.New(g.settings.DataCentre), relianceLimit: relianceLimit + rand.N(relianceSpread),
		reportedAt: make(map[freshness.Resource]time.Time),
		wake:       make(chan struct{}, 1), configurationRegained: make(chan struct{}, 1), targetsRegained: make(chan struct{}, 1),
	}
	p.relays = relaypeers.New(g.settings.DataCentre, p.others, func(ctx context.Context, via, to netip.AddrPort) (net.Conn, error) {
		return p.node.DialThrough(ctx, via, to)
	})
	return p
}

// start joins the other instances.
func (p *peers) start(ctx context.Context) error {
	settings := p.gateway.settings
	options := []instance.Option{
		instance.WithStatusHandler(p.receive), instance.WithCrashHandler(p.gateway.crashTracker), instance.WithRequestLimitHandler(p.gateway.requestLimiter), instance.WithRelay(p.gateway),
		instance.WithSnapshotProvider(p.snapshot), instance.WithTargetListProvider(p.targetList), instance.WithoutConfigSync(),
		instance.WithLogger(p.gateway.logger), instance.WithMetrics(p.gateway.registry),
	}
	if p.gateway.network != nil {
		options = append(options, instance.WithNetwork(p.gateway.network))
	}
	node, err := instance.New(ctx, instance.Config{
		Fleet: fleetName, Name: settings.Instance, DataCentre: settings.DataCentre, Address: settings.PeerAddress, Seeds: settings.Seeds,
	}, options...)
	if err != nil {
		return errListen.Wrap(err, "cannot listen on the peer address")
	}
	p.node = node
	p.started.Store(true)
	node.OnItem(func(i membership.Item) {
		if q, ok := i.(membership.Quarantine); ok {
			p.gateway.crashTracker.AddRemote(q, time.Now())
		}
	})
	node.OnMembers(func(members []membership.Member) { p.gateway.targetStats.SetInstanceCount(len(members)) })
	if len(settings.Seeds) > 0 {
		p.gateway.targetStats.ExpectReports(p.startedAt.Add(firstReportsWait))
	}
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
func (p *peers) others() []membership.Member { return p.node.Others() }

func addressesOf(members []membership.Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, len(members))
	for i, m := range members {
		addresses[i] = m.Address
	}
	return addresses
}

// sendStatus sends a status update with the load of this instance's requests to other instances. It also updates the
// number of instances in the target statistics and the retry budget.
func (p *peers) sendStatus() {
	members := p.others()
	others := addressesOf(members)
	p.gateway.targetStats.SetInstanceCount(len(others) + 1)
	now := time.Now()
	p.gateway.retryShare.ObserveInstances(len(others)+1, now)
	p.gateway.requestLimiter.ObserveInstances(len(others)+1, now)
	p.gateway.retryBudget.SetMinRate(p.gateway.retryShare.Limits(now))
	p.gateway.linkBudget.SetInstances(p.instancesByDataCentre())
	u := p.status()
	if len(others) > statusFanout {
		p.sendToDependants(members)
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		others = others[:statusFanout]
	}
	u.HasLoads = true
	u.LinksFailed = p.gateway.hasLostLinks()
	u.Loads = sampleLoads(p.gateway.targetStats.LocalLoads())
	for service, cutoff := range p.gateway.server.RoomReports(now) {
		u.Rooms = append(u.Rooms, &instancepb.RoomReport{Service: service, Cutoff: float32(cutoff)})
	}
	p.send(others, u)
	p.sendRequestLimits(others, now)
}

// sendRequestLimits sends the request limits of targets to other instances.
func (p *peers) sendRequestLimits(others []netip.AddrPort, now time.Time) {
	if err := p.node.SendRequestLimits(others, p.gateway.requestLimiter.Reports(now)); err != nil {
		p.gateway.logger.Error().Err(err).Msg("failed to send request limits")
	}
}

// instancesByDataCentre returns the number of live instances in each data centre, this one included.
func (p *peers) instancesByDataCentre() map[string]int {
	counts := make(map[string]int)
	for _, m := range p.node.Members() {
		counts[m.DataCentre]++
	}
	return counts
}

// sendToDependants sends a status update without loads to the instances that depend on it: in a large fleet the regular
// updates reach only a random sample. A watcher relays the row of the lease to its data centre only, so that watchers
// do not send the row back to each other.
func (p *peers) sendToDependants(members []membership.Member) {
	u := p.status()
	if u.GetLease() == nil && p.leaseSeen(time.Now()) {
		u.Lease = p.relayedLease()
	}
	p.send(p.dependants(members), u)
}

// dependants returns the instances that depend on the status of this instance. If this instance is a watcher, these are
// the instances of its data centre; if it holds the lease, also all watchers, which relay the row of the lease.
func (p *peers) dependants(members []membership.Member) []netip.AddrPort {
	var to []netip.AddrPort
	if p.gateway.readsTargetsFromStore(time.Now()) && p.isWatcher() {
		for _, m := range members {
			if m.DataCentre == p.gateway.settings.DataCentre {
				to = append(to, m.Address)
			}
		}
	}
	if _, holds := p.gateway.leader.heldLease(); holds {
		to = slices.AppendSeq(to, maps.Values(p.watchersOf(members)))
	}
	return to
}

// status returns a status update with the revision of the configuration and, if this instance reads the configuration or the
// target list from the store or holds the lease, as of when it knows the newest configuration, the digest of the list or the row of the
// lease.
func (p *peers) status() *instancepb.StatusUpdate {
	now := time.Now()
	shownAt := p.gateway.shownAt(freshness.Configuration, now) // Before the version is read: a newer one may be applied meanwhile.
	version, at := p.gateway.cache.configurationVersion()
	u := &instancepb.StatusUpdate{Revision: at.Number, Era: encodeEra(at), ConfigVersion: version, FencingToken: p.gateway.leader.highestFencingToken()}
	if age := max(0, now.Sub(shownAt)); age < relianceLimit {
		u.ConfigurationReadAgeNs = proto.Int64(int64(age))
	}
	if p.gateway.readsTargetsFromStore(now) {
		u.DigestAgeNs = proto.Int64(int64(max(0, now.Sub(p.gateway.shownAt(freshness.Targets, now)))))
		u.Digest = p.gateway.cache.digest.Load()
	}
	if row, ok := p.gateway.leader.heldLease(); ok {
		u.Lease = encodeRow(row)
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

// broadcastItems sends holds and quarantines of request contents to all instances.
func (p *peers) broadcastItems(items []membership.Item) {
	if err := p.node.Broadcast(items); err != nil {
		p.gateway.logger.Warn().Err(err).Msg("failed to broadcast holds and quarantines")
	}
}

// sendCrash informs all instances of a crash under requests of this instance.
func (p *peers) sendCrash(r crashhistory.Report) {
	if err := p.node.SendCrash(r); err != nil {
		p.gateway.logger.Error().Err(err).Msg("failed to report a crash")
	}
}

// sendProgress informs all instances of contents with which requests of this instance have made progress.
func (p *peers) sendProgress(contents []uint64) {
	if err := p.node.SendProgress(contents); err != nil {
		p.gateway.logger.Error().Err(err).Msg("failed to report progress")
	}
}

// sendTargets sends changed entries to other instances, if this instance reads the target list from the store. In a large fleet only watchers
// do, and an instance that reads alone: many instances read the list for a while after a start, and each would send the same changes to all
// of its data centre.
func (p *peers) sendTargets(rows []Row) {
	others, now := p.others(), time.Now()
	if !p.gateway.readsTargetsFromStore(now) || len(others) > statusFanout && !p.isWatcher() && p.knowsReader(freshness.Targets, now) {
		return
	}
	recipients := addressesOf(updateRecipients(others, p.gateway.settings.DataCentre))
	for chunk := range slices.Chunk(rows, maxUpdateRows) {
		u := &instancepb.StatusUpdate{}
		for _, r := range chunk {
			if len(r.Value) <= maxUpdateRowBytes {
				u.Targets = append(u.Targets, encodeRow(r))
			}
		}
		p.send(recipients, u)
	}
}

// updateRecipients returns the instances to which an instance that reads the store sends changed entries. In a large
// fleet these are the instances of its data centre, since other data centres have their own watchers: if watchers sent
// to all, each instance would receive every change once from each data centre.
func updateRecipients(others []membership.Member, dataCentre string) []membership.Member {
	if len(others) <= statusFanout {
		return others
	}
	return slices.DeleteFunc(others, func(m membership.Member) bool { return m.DataCentre != dataCentre })
}

// sendLayers informs all instances of the layers that a target holds, ahead of its entry.
func (p *peers) sendLayers(name string, layers layer.Range) {
	reported := &instancepb.TargetLayers{Target: name, First: uint32(layers.First), End: uint32(layers.End)}
	p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Placed: []*instancepb.TargetLayers{reported}})
}

// sendRevision sends the revision of the active configuration to all instances, which then fetch the configuration if
// their own is older.
func (p *peers) sendRevision() {
	p.send(addressesOf(p.others()), p.status())
}

// sendReport tells the instances of this data centre at once that this one reads the store, so that they pass over no further watcher, and do
// not read the store themselves while there is none.
func (p *peers) sendReport() {
	p.send(addressesOf(updateRecipients(p.others(), p.gateway.settings.DataCentre)), p.status())
}

// notify wakes the reader of a channel, unless a wake-up is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
