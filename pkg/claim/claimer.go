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
	// DefaultBatchInterval is the shortest time between the starts of two transactions. It bounds an
	// instance to 50 writes/s, and the added wait to 20 ms while the table is fast.
	DefaultBatchInterval = 20 * time.Millisecond
	// DefaultBatchSize is how many operations a transaction holds: 40 committing instances with 10
	// writes/s then carry 160,000 claims/s.
	DefaultBatchSize = 400
	// DefaultRetention is how long a key is remembered.
	DefaultRetention = 24 * time.Hour
	// DefaultBodyLimit bounds the stored body of an answer; order confirmations are far smaller.
	DefaultBodyLimit = 32 << 10
	// skew is added to the retention, since the time in a row is from its holder's clock.
	skew = 5 * time.Minute
	// silence is how long the table may leave transactions unanswered before claims are refused at
	// once. It is the table client's timeout for one call and half of another.
	silence = 1500 * time.Millisecond
	// closeLimit bounds how long Close waits, looking each closePoll.
	closeLimit = 2 * time.Second
	closePoll  = 5 * time.Millisecond
	// maxQueued and maxQueuedBytes bound the memory of operations that wait for the table.
	maxQueued      = 20_000
	maxQueuedBytes = 16 << 20
)

// Table is what the clerk needs of the table service.
type Table interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Claimer makes and finishes claims for one instance. It is safe for concurrent use.
type Claimer struct {
	table     Table
	instance  string
	gather    time.Duration
	batch     int
	retention time.Duration
	bodyLimit int
	now       func() time.Time
	sweep     sweeper
	counters  counters
	interval  time.Duration // interval is the time between two transactions; it belongs to the writer goroutine.

	mu     sync.Mutex
	queue  []*operation
	bytes  int
	closed bool
	// silent is when the first of the latest transactions without an answer was sent, and writing
	// means that operations are in a transaction and not in the queue.
	silent  time.Time
	writing bool

	signal     chan struct{}
	stop       context.CancelFunc
	background sync.WaitGroup
}

// Option changes a Clerk when it is made.
type Option func(*Claimer)

// WithBatchInterval sets the shortest time between the starts of two transactions.
func WithBatchInterval(d time.Duration) Option { return func(c *Claimer) { c.gather = d } }

// WithBatchSize sets how many operations a transaction holds.
func WithBatchSize(n int) Option { return func(c *Claimer) { c.batch = n } }

// WithRetention sets how long a key is remembered.
func WithRetention(d time.Duration) Option { return func(c *Claimer) { c.retention = d } }

// WithBodyLimit sets the size up to which the body of an answer is stored.
func WithBodyLimit(bytes int) Option { return func(c *Claimer) { c.bodyLimit = bytes } }

// WithClock replaces the clock that dates claims and decides their expiry.
func WithClock(now func() time.Time) Option { return func(c *Claimer) { c.now = now } }

// WithSweep sets how often a page of rows is read to delete expired ones, and its size. An
// interval of zero turns it off.
func WithSweep(interval time.Duration, page int) Option {
	return func(c *Claimer) { c.sweep.interval, c.sweep.page = interval, page }
}

// WithMetrics registers the clerk's metrics in r.
func WithMetrics(r metrics.Registry) Option { return func(c *Claimer) { c.counters = newCounters(r) } }

// New returns a clerk that claims for the instance and starts its goroutines.
func New(t Table, instance string, opts ...Option) *Claimer {
	c := &Claimer{
		table: t, instance: instance,
		gather: DefaultBatchInterval, batch: DefaultBatchSize,
		retention: DefaultRetention, bodyLimit: DefaultBodyLimit, now: time.Now,
		sweep:    sweeper{interval: DefaultSweepInterval, page: DefaultSweepPage, after: randomStart()},
		counters: newCounters(metrics.NewRegistry()),
		signal:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.interval = c.gather
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.background.Go(func() { c.run(ctx) })
	c.background.Go(func() { c.runSweep(ctx) })
	return c
}

// randomStart spreads the sweeps of the instances over the key space.
func randomStart() string {
	return Prefix + fmt.Sprintf("%016x", rand.Uint64())
}

// Close waits for up to 2 s until all answers and withdrawals are stored, and stops the clerk.
// Operations that still wait fail with ErrUnavailable.
func (c *Claimer) Close() {
	for deadline := time.Now().Add(closeLimit); !c.idle() && time.Now().Before(deadline); {
		time.Sleep(closePoll)
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
	return len(c.queue) == 0 && !c.writing
}

// Claim claims the request for this instance under a new claim ID.
func (c *Claimer) Claim(ctx context.Context, k Key) (Claim, error) {
	op := newOperation(kindClaim, k, newRecord(k, uuid.NewString(), c.instance, c.now()))
	op.withdrawable = true
	return c.claim(ctx, op)
}

// ClaimAs claims the request for another instance under the claim ID that it chose. The same call
// may be repeated, at this or another clerk, to resolve a lost answer: it is won again, and still
// stands for one attempt. The clerk does not withdraw such a claim by itself; an instance that
// gives up on it calls Abandon and never uses the ID again.
func (c *Claimer) ClaimAs(ctx context.Context, k Key, id, holder string) (Claim, error) {
	return c.claim(ctx, newOperation(kindClaim, k, newRecord(k, id, holder, c.now())))
}

func (c *Claimer) claim(ctx context.Context, op *operation) (Claim, error) {
	started := time.Now()
	ticket, err := c.do(ctx, op)
	c.counters.claimed(ticket, err, time.Since(started))
	return ticket, err
}

// Finish stores the first answer of a request whose claim was won. Repeating it is harmless; the
// first answer stays. The answer is still stored if ctx ends first and the table comes back soon.
func (c *Claimer) Finish(ctx context.Context, t Claim, a Response) error {
	if len(a.Body) > c.bodyLimit {
		a.Body, a.Omitted = nil, true
	}
	r := newRecord(t.Key, t.ID, t.Holder, t.At)
	r.State, r.Answer = Finished, &a
	op := newOperation(kindFinish, t.Key, r)
	op.expected = t.Revision
	_, err := c.do(ctx, op)
	return err
}

// Abandon removes a claim that was won, so that the key can be claimed again. It may be called
// only where the request provably did not run.
func (c *Claimer) Abandon(ctx context.Context, t Claim) error {
	_, err := c.do(ctx, abandonment(t))
	return err
}

// do queues op and waits for its result.
func (c *Claimer) do(ctx context.Context, op *operation) (Claim, error) {
	if err := c.enqueue(op); err != nil {
		return Claim{}, err
	}
	select {
	case r := <-op.done:
		return r.ticket, r.err
	case <-ctx.Done():
		c.leave(op)
		return Claim{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// enqueue adds op to the queue and wakes the writer.
func (c *Claimer) enqueue(op *operation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.queue) >= maxQueued || c.bytes+len(op.value) > maxQueuedBytes {
		return fmt.Errorf("%w: closed, or too many operations wait for the table", ErrUnavailable)
	}
	if op.kind == kindClaim && c.unresponsive() {
		return fmt.Errorf("%w: the table has not answered for %s", ErrUnavailable, time.Since(c.silent).Round(time.Millisecond))
	}
	c.push(op)
	return nil
}

// unresponsive reports whether a claim would only wait for a table that does not answer. Another
// operation must be under way, which finds out when the table answers again.
func (c *Claimer) unresponsive() bool {
	probing := c.writing || len(c.queue) > 0
	return probing && !c.silent.IsZero() && time.Since(c.silent) > silence
}

func (c *Claimer) push(op *operation) {
	c.queue = append(c.queue, op)
	c.bytes += len(op.value)
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// leave notes that nobody waits for op. A claim that was or will be won is withdrawn.
func (c *Claimer) leave(op *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	op.left = true
	select {
	case r := <-op.done:
		c.withdraw(op, r)
	default:
	}
}

// withdraw abandons a won claim that nobody waits for.
func (c *Claimer) withdraw(op *operation, r result) {
	if op.withdrawable && r.err == nil && r.ticket.State == Won {
		c.push(abandonment(r.ticket))
	}
}
