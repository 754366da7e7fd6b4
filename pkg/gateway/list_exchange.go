package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/decision/freshness"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

const (
	// smallList is the number of targets up to which each instance reads the target list from the store. It takes one call.
	smallList = 128
	// firstListWait is how long after its start an instance asks others for a larger list before it reads the list from the store, and
	// firstListSpread is the largest random time added to it, so that instances do not read at the same time.
	firstListWait   = 2500 * time.Millisecond
	firstListSpread = time.Second
	// listFetchTimeout bounds the fetching of the target list from one instance, which may have to wait for others to get theirs.
	listFetchTimeout = 2 * time.Second
	// renewTimeout bounds the renewing of the list from others. A target that leaves must not get requests for long, also if the watcher hangs.
	renewTimeout = 200 * time.Millisecond
	// listAgeStep is the resolution of the age of a whole list.
	listAgeStep = 250 * time.Millisecond
	// maxMends bounds the times in a row that the list is made that of a watcher although it differs again afterwards.
	maxMends = 3
	// minListRetry and maxListRetry bound the mean delay before another instance is asked for the list.
	minListRetry = 100 * time.Millisecond
	maxListRetry = 400 * time.Millisecond
)

// encodedList is a whole target list as it is handed out. It serves all callers until the list changes.
type encodedList struct {
	digest   uint64
	age      time.Duration
	snapshot instance.ConfigSnapshot
}

// targetList returns the target list for another instance, as far as it differs from the one with the digests.
func (p *peers) targetList(digests []uint64) (instance.ConfigSnapshot, error) {
	age, ok := p.listAge(time.Now())
	if !ok {
		return instance.ConfigSnapshot{}, instance.Unavailable.New("this instance has no recent list of targets")
	}
	if len(digests) > 0 {
		return p.encodeList(digests, age)
	}
	// The age is rounded up, so that a list is not encoded again for each caller.
	age = (age + listAgeStep - 1).Truncate(listAgeStep)
	digest := p.gateway.cache.digest.Load()
	if l := p.wholeList.Load(); l != nil && l.digest == digest && l.age == age {
		return l.snapshot, nil
	}
	snapshot, err := p.encodeList(nil, age)
	if err == nil {
		p.wholeList.Store(&encodedList{digest: digest, age: age, snapshot: snapshot})
	}
	return snapshot, err
}

// encodeList encodes the buckets of the target list that differ from the digests.
func (p *peers) encodeList(digests []uint64, age time.Duration) (instance.ConfigSnapshot, error) {
	l, ok := p.gateway.cache.rowsFor(digests)
	if !ok {
		return instance.ConfigSnapshot{}, instance.Unavailable.New("this instance has no list of targets to hand out")
	}
	l.age = age
	content, err := l.encode()
	return instance.ConfigSnapshot{Version: l.revision.Number, Era: encodeEra(l.revision), Content: content}, err
}

// listAge returns the time since this instance's target list was last known to be that of an instance that reads the store. It reports
// false if that is too long ago, or if the list differs.
func (p *peers) listAge(now time.Time) (time.Duration, bool) {
	if p.gateway.readsTargetsFromStore(now) {
		return now.Sub(p.gateway.shownAt(freshness.Targets, now)), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	age := now.Sub(p.listSeenAt)
	return age, age < relianceLimit && p.divergedSince.IsZero()
}

// fetchFirstTargets takes the target list from another instance. It reports false if no seed accepts connections, or if no instance has
// handed out its list in time.
func (p *peers) fetchFirstTargets(ctx context.Context) bool {
	seeds := p.gateway.settings.Seeds
	if p.gateway.settings.IsSeed || len(seeds) == 0 {
		return false
	}
	deadline := p.startedAt.Add(firstListWait + rand.N(firstListSpread))
	reached := false
	retry := backoff{delay: minListRetry / 2}
	for unreachable := 0; ctx.Err() == nil && time.Now().Before(deadline); {
		source := seeds[rand.IntN(len(seeds))]
		if others := p.others(); reached && len(others) > 0 && rand.N(2) == 0 {
			source = others[rand.IntN(len(others))].Address
		}
		err := p.fetchTargets(ctx, source, nil)
		if err == nil {
			return true
		}
		if errorx.IsOfType(err, instance.Unreachable) {
			unreachable++
		} else {
			reached = true
		}
		if !reached && unreachable >= len(seeds) {
			return false
		}
		waitFor(ctx, retry.next(maxListRetry))
	}
	return false
}

// mendTargets makes the target list that of the watcher whose digest differed. It reports false if the list still differs after maxMends in
// a row: the whole list must then be read from the store.
func (p *peers) mendTargets(ctx context.Context) bool {
	p.mu.Lock()
	source := p.digestFrom
	p.mends++
	if tooMany := p.mends > maxMends; !source.IsValid() || tooMany {
		p.mends = 0
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	err := p.fetchTargets(ctx, source, p.gateway.cache.bucketDigests())
	if err != nil {
		p.gateway.logger.Warn().Str("Peer", source.String()).Err(err).Msg("failed to fetch the list of targets")
	}
	return err == nil
}

// renewTargets makes the target list that of the watcher of the data centre, or else of a seed: no watcher has sent a digest lately, as when
// many instances start together. It reports false if the list that it got is no longer recent itself: a list that instances pass on among
// each other gets older, and would be renewed again at once.
func (p *peers) renewTargets(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var sources []netip.AddrPort
	if watcher, ok := p.watcher(); ok && watcher != p.node.Address() {
		sources = append(sources, watcher)
	}
	if seeds := p.gateway.settings.Seeds; len(seeds) > 0 {
		sources = append(sources, seeds[rand.IntN(len(seeds))])
	}
	for _, source := range sources {
		if p.fetchTargets(ctx, source, p.gateway.cache.bucketDigests()) == nil {
			age, ok := p.listAge(time.Now())
			return ok && age < relianceLimit/2
		}
	}
	return false
}

// recordListRead records that a long list was read from the store at a time by an instance that is no watcher, and reports whether it was. Such
// an instance relies on the list for half as long as on a watcher's, and then renews it from others again: the changes of a long list are about
// as long as the list, and if all instances read them, their links and the store are full.
func (p *peers) recordListRead(at time.Time) bool {
	if p.isWatcher() || p.gateway.settings.IsSeed || p.gateway.cache.targetCount() <= smallList {
		return false
	}
	p.recordListSeen(at.Add(-relianceLimit / 2))
	return true
}

// fetchTargets fetches the buckets of an instance's target list that differ from the digests, and applies them.
func (p *peers) fetchTargets(ctx context.Context, source netip.AddrPort, digests []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, listFetchTimeout)
	defer cancel()
	askedAt := time.Now()
	content, err := p.node.FetchTargets(ctx, source, digests)
	if err != nil {
		return err
	}
	p.gateway.listsFetched.Inc(1)
	l, err := decodeTargetRows(content.Content, decodeRevision(content.Era, content.Version, 0))
	if err != nil {
		return err
	}
	if !p.gateway.cache.applyPeerTargets(l, time.Now()) {
		return errTargetRows.New("the target list of %s is of another era", source)
	}
	p.recordListSeen(askedAt.Add(-l.age))
	return nil
}

// recordListSeen records when the target list was known to be that of an instance that reads the store.
func (p *peers) recordListSeen(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.divergedSince = time.Time{}
	if at.After(p.listSeenAt) {
		p.listSeenAt = at
	}
}
