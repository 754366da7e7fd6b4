package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

const (
	// DefaultBatchInterval is the shortest time between the starts of two transactions. It limits an instance to
	// 50 writes/s, and adds at most 20 ms of latency while the table is fast.
	DefaultBatchInterval = 20 * time.Millisecond
	// DefaultBatchSize is the maximum number of operations in a transaction: 40 committing instances with 10 writes/s
	// then make 160,000 claims/s.
	DefaultBatchSize = 400
	// DefaultRetention is how long a key is remembered after its claim.
	DefaultRetention = 24 * time.Hour
	// DefaultBodyLimit bounds the stored body of a response; order confirmations are far smaller.
	DefaultBodyLimit = 32 << 10
	// clockSkew is added to the retention, since the time in a row is from its holder's clock.
	clockSkew = 5 * time.Minute
	// maxUnanswered is how long the table may leave transactions unanswered before claims fail immediately. It is 1.5
	// times the table client's timeout for one call.
	maxUnanswered = 1500 * time.Millisecond
	// closeTimeout bounds how long Close waits. It polls the queue every closePollInterval.
	closeTimeout      = 2 * time.Second
	closePollInterval = 5 * time.Millisecond
	// maxQueued and maxQueuedBytes bound the memory of the queued operations.
	maxQueued      = 20_000
	maxQueuedBytes = 16 << 20
)

// Table is the part of the table client that the claimer uses.
type Table interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Claimer makes and finishes claims for one instance. It is safe for concurrent use.
type Claimer struct {
	table         Table
	instance      string
	batchInterval time.Duration
	batchSize     int
	retention     time.Duration
	bodyLimit     int
	now           func() time.Time
	sweep         sweepState
	counters      counters
	interval      time.Duration // interval is the current batch interval; only the writer goroutine accesses it.

	mu          sync.Mutex
	queue       []*operation
	queuedBytes int
	closed      bool
	// unansweredSince is when the first of the latest consecutive transactions without an answer was sent. inFlight
	// means that operations are in a transaction and not in the queue.
	unansweredSince time.Time
	inFlight        bool

	signal     chan struct{}
	stop       context.CancelFunc
	background sync.WaitGroup
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithBatchInterval sets the shortest time between the starts of two transactions.
func WithBatchInterval(d time.Duration) Option { return func(c *Claimer) { c.batchInterval = d } }

// WithBatchSize sets the maximum number of operations in a transaction.
func WithBatchSize(n int) Option { return func(c *Claimer) { c.batchSize = n } }

// WithRetention sets how long a key is remembered after its claim.
func WithRetention(d time.Duration) Option { return func(c *Claimer) { c.retention = d } }

// WithBodyLimit sets the size up to which the body of a response is stored.
func WithBodyLimit(bytes int) Option { return func(c *Claimer) { c.bodyLimit = bytes } }

// WithClock replaces the clock that sets the time of claims and decides their expiry.
func WithClock(now func() time.Time) Option { return func(c *Claimer) { c.now = now } }

// WithSweep sets the interval at which a page of rows is read to delete the expired ones, and the page size. An
// interval of zero disables the sweep.
func WithSweep(interval time.Duration, page int) Option {
	return func(c *Claimer) { c.sweep.interval, c.sweep.page = interval, page }
}

// WithMetrics registers the claimer's metrics in r.
func WithMetrics(r metrics.Registry) Option { return func(c *Claimer) { c.counters = newCounters(r) } }

// New returns a claimer for the instance and starts its goroutines.
func New(t Table, instance string, opts ...Option) *Claimer {
	c := &Claimer{
		table: t, instance: instance,
		batchInterval: DefaultBatchInterval, batchSize: DefaultBatchSize,
		retention: DefaultRetention, bodyLimit: DefaultBodyLimit, now: time.Now,
		sweep:    sweepState{interval: DefaultSweepInterval, page: DefaultSweepPage, after: randomSweepStart()},
		counters: newCounters(metrics.NewRegistry()),
		signal:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.interval = c.batchInterval
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.background.Go(func() { c.runWriter(ctx) })
	c.background.Go(func() { c.runSweep(ctx) })
	return c
}

// randomSweepStart spreads the sweeps of the instances over the key space.
func randomSweepStart() string {
	return Prefix + fmt.Sprintf("%016x", rand.Uint64())
}

// Close waits up to 2 s until all queued operations are written, and stops the claimer. Operations that are still
// queued fail with ErrUnavailable.
func (c *Claimer) Close() {
	for deadline := time.Now().Add(closeTimeout); !c.idle() && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	c.background.Wait()
}

func (c *Claimer) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0 && !c.inFlight
}

// Claim claims the request for this instance under a new claim ID.
func (c *Claimer) Claim(ctx context.Context, k Key) (Claim, error) {
	op := newOperation(kindClaim, k, newRecord(k, uuid.NewString(), c.instance, c.now()))
	op.abandonable = true
	return c.claim(ctx, op)
}

// ClaimAs claims the request for another instance under the claim ID that it chose. The same call may be repeated, on
// this or another claimer, to resolve a lost response: the repeated call wins again, and all calls together stand for
// one attempt. The claimer does not abandon such a claim by itself; an instance that no longer waits for the claim
// calls Abandon and never uses the ID again.
func (c *Claimer) ClaimAs(ctx context.Context, k Key, id, holder string) (Claim, error) {
	return c.claim(ctx, newOperation(kindClaim, k, newRecord(k, id, holder, c.now())))
}

func (c *Claimer) claim(ctx context.Context, op *operation) (Claim, error) {
	started := time.Now()
	claim, err := c.do(ctx, op)
	c.counters.recordClaim(claim, err, time.Since(started))
	return claim, err
}

// Finish stores the first response of a request whose claim was won. If the claim's response is already stored, Finish
// keeps it and returns nil. If ctx ends before the table answers, the response is still stored, provided that the table
// answers within 30 s.
func (c *Claimer) Finish(ctx context.Context, claim Claim, response Response) error {
	if len(response.Body) > c.bodyLimit {
		response.Body, response.Omitted = nil, true
	}
	r := newRecord(claim.Key, claim.ID, claim.Holder, claim.At)
	r.State, r.Response = Finished, &response
	op := newOperation(kindFinish, claim.Key, r)
	op.expected = claim.Revision
	_, err := c.do(ctx, op)
	return err
}

// Abandon deletes a claim that was won, so that the key can be claimed again. It may be called only if the request
// provably did not run.
func (c *Claimer) Abandon(ctx context.Context, claim Claim) error {
	_, err := c.do(ctx, newAbandon(claim))
	return err
}

// do queues op and waits for its result.
func (c *Claimer) do(ctx context.Context, op *operation) (Claim, error) {
	if err := c.enqueue(op); err != nil {
		return Claim{}, err
	}
	select {
	case r := <-op.done:
		return r.claim, r.err
	case <-ctx.Done():
		c.cancel(op)
		return Claim{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// enqueue adds op to the queue and wakes the writer goroutine. It returns ErrUnavailable if op cannot be queued.
func (c *Claimer) enqueue(op *operation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.queue) >= maxQueued || c.queuedBytes+len(op.value) > maxQueuedBytes {
		return fmt.Errorf("%w: the claimer is closed or its queue is full", ErrUnavailable)
	}
	if op.kind == kindClaim && c.unresponsive() {
		return fmt.Errorf("%w: the table has not answered for %s", ErrUnavailable, time.Since(c.unansweredSince).Round(time.Millisecond))
	}
	c.push(op)
	return nil
}

// unresponsive reports whether a claim would only wait for a table that does not answer. It requires another pending
// operation, which detects when the table answers again. c.mu must be held.
func (c *Claimer) unresponsive() bool {
	probing := c.inFlight || len(c.queue) > 0
	return probing && !c.unansweredSince.IsZero() && time.Since(c.unansweredSince) > maxUnanswered
}

// push appends op to the queue and wakes the writer goroutine. c.mu must be held.
func (c *Claimer) push(op *operation) {
	c.queue = append(c.queue, op)
	c.queuedBytes += len(op.value)
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// cancel records that the caller no longer waits for op. A claim that was or will be won is then abandoned, unless
// another instance chose its ID.
func (c *Claimer) cancel(op *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	op.canceled = true
	select {
	case r := <-op.done:
		c.abandonIfWon(op, r)
	default:
	}
}

// abandonIfWon abandons a won claim whose caller no longer waits for it. c.mu must be held.
func (c *Claimer) abandonIfWon(op *operation, r result) {
	if op.abandonable && r.err == nil && r.claim.State == Won {
		c.push(newAbandon(r.claim))
	}
}
