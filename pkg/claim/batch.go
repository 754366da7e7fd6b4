package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// maxBatchBytes bounds a transaction, so that one with large answers does not exceed the table's
// timeout on a slow link.
const maxBatchBytes = 1 << 20

const (
	// maxInterval bounds the time between two transactions while the table limits its rate. It
	// lets 100 instances share 400 writes/s.
	maxInterval = 250 * time.Millisecond
	// recovery is the percentage to which the interval shrinks with each transaction that
	// commits. It doubles with each one above the rate, so that the instances settle near it.
	recovery = 95
)

// run writes batches until ctx ends.
func (c *Claimer) run(ctx context.Context) {
	var next time.Time // next is when the following transaction may start.
	for ctx.Err() == nil {
		at, found := c.due(next)
		if wait := time.Until(at); !found || wait > 0 {
			c.sleep(ctx, wait, found)
			continue
		}
		started := time.Now()
		batch := c.take(started)
		if conflicts := c.write(ctx, batch); !conflicts {
			next = started.Add(c.interval)
		}
		c.wrote()
	}
	c.failAll()
}

// wrote notes that every operation of the last transaction is settled or back in the queue.
func (c *Claimer) wrote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// due returns when a batch may go: at next, or at once if it is full and the table is not above its
// rate, but not before an operation is ready.
func (c *Claimer) due(next time.Time) (at time.Time, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return time.Time{}, false
	}
	now, ready := time.Now(), 0
	first := c.queue[0].notBefore
	for _, op := range c.queue {
		if !op.notBefore.After(now) {
			ready++
		}
		if op.notBefore.Before(first) {
			first = op.notBefore
		}
	}
	full := ready >= c.batch && c.interval == c.gather
	if full || next.Before(first) {
		return first, true
	}
	return next, true
}

// sleep waits until the queue changes or, if timed, for d.
func (c *Claimer) sleep(ctx context.Context, d time.Duration, timed bool) {
	var timeout <-chan time.Time
	if timed {
		timer := time.NewTimer(d)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-c.signal:
	case <-timeout:
	case <-ctx.Done():
	}
}

// take removes the operations of the next transaction from the queue. A row appears in it once.
func (c *Claimer) take(now time.Time) []*operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*operation
	rows, bytes := map[string]bool{}, 0
	rest := c.queue[:0]
	for _, op := range c.queue {
		fits := len(batch) < c.batch && (len(batch) == 0 || bytes+len(op.value) <= maxBatchBytes)
		if !fits || rows[op.row] || op.notBefore.After(now) {
			rest = append(rest, op)
			continue
		}
		batch, rows[op.row], bytes = append(batch, op), true, bytes+len(op.value)
	}
	clear(c.queue[len(rest):])
	c.queue, c.bytes = rest, c.bytes-bytes
	c.writing = len(batch) > 0
	return batch
}

// write sends one transaction and settles or requeues its operations. It reports whether rows
// conflicted, in which case the rest is tried again at once.
func (c *Claimer) write(ctx context.Context, batch []*operation) (conflicts bool) {
	var t table.Transaction
	for _, op := range batch {
		op.addTo(&t)
	}
	res, err := c.commit(ctx, t, len(batch))
	switch {
	case errors.Is(err, table.ErrRateLimited):
		c.interval = min(2*c.interval, max(c.gather, maxInterval))
		c.unanswered(batch, err)
	case err != nil:
		c.unanswered(batch, err)
	case res.Committed:
		c.interval = max(c.gather, c.interval*recovery/100)
		for _, op := range batch {
			c.settle(op, op.committed(res.Revision))
		}
	default:
		c.conflicting(batch, res.Failed)
		return true
	}
	return false
}

// commit sends the transaction and notes whether the table answers.
func (c *Claimer) commit(ctx context.Context, t table.Transaction, operations int) (table.Result, error) {
	c.counters.wrote(operations)
	started := time.Now()
	res, err := c.table.Commit(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !errors.Is(err, table.ErrUnknown):
		c.silent = time.Time{}
	case c.silent.IsZero():
		c.silent = started
	}
	return res, err
}

// conflicting settles the operations whose rows did not match and requeues the rest.
func (c *Claimer) conflicting(batch []*operation, failed []table.Row) {
	found := make(map[string]table.Row, len(failed))
	for _, row := range failed {
		found[row.Key] = row
	}
	for _, op := range batch {
		row, conflicts := found[op.row]
		if !conflicts {
			c.requeue(op, 0)
			continue
		}
		r, settled := op.found(row, c.now(), c.retention)
		if settled {
			c.settle(op, r)
			continue
		}
		c.requeue(op, 0)
	}
}

// unanswered handles a transaction without an answer. A claim that provably was not written fails
// at once, unless the table only limits its rate. Everything else is tried again until its
// patience ends.
func (c *Claimer) unanswered(batch []*operation, cause error) {
	now := time.Now()
	proved, limited := errors.Is(cause, table.ErrUnavailable), errors.Is(cause, table.ErrRateLimited)
	for _, op := range batch {
		op.ambiguous = op.ambiguous || !proved
		if op.giveUp.IsZero() {
			op.giveUp = now.Add(op.patience())
		}
		impatient := op.kind == kindClaim && !op.ambiguous && !limited
		if impatient || now.After(op.giveUp) {
			c.fail(op, cause)
			continue
		}
		if limited {
			c.requeue(op, 0)
			continue
		}
		op.backoff = min(max(2*op.backoff, firstBackoff), maxBackoff)
		c.requeue(op, op.backoff)
	}
}

// fail settles op with ErrUnavailable. A claim that may have taken effect is withdrawn later.
func (c *Claimer) fail(op *operation, cause error) {
	if op.withdrawable && op.ambiguous {
		late := abandonment(Claim{ID: op.id, Key: op.key})
		late.notBefore = time.Now().Add(maxBackoff)
		c.mu.Lock()
		c.push(late)
		c.mu.Unlock()
	}
	c.settle(op, result{err: fmt.Errorf("%w: %w", ErrUnavailable, cause)})
}

func (c *Claimer) requeue(op *operation, delay time.Duration) {
	op.notBefore = time.Now().Add(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(op)
}

func (c *Claimer) settle(op *operation, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if op.left {
		c.withdraw(op, r)
		return
	}
	op.done <- r
}

func (c *Claimer) failAll() {
	c.mu.Lock()
	queue := slices.Clone(c.queue)
	c.queue = nil
	c.mu.Unlock()
	for _, op := range queue {
		c.settle(op, result{err: fmt.Errorf("%w: the clerk is closed", ErrUnavailable)})
	}
}
