package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// maxBatchBytes bounds a transaction, so that one with large responses does not exceed the table client's timeout on a
// slow link.
const maxBatchBytes = 1 << 20

const (
	// maxInterval bounds the batch interval while the table refuses transactions above its rate limit. It lets 100
	// instances share 400 writes/s.
	maxInterval = 250 * time.Millisecond
	// recoveryPercent is the percentage to which the batch interval shrinks with each committed transaction. The
	// interval doubles with each one above the rate limit, so that the instances converge on the limit.
	recoveryPercent = 95
)

// runWriter writes batches until ctx ends, and then fails the queued operations.
func (c *Claimer) runWriter(ctx context.Context) {
	var next time.Time // next is when the next transaction may start.
	for ctx.Err() == nil {
		at, found := c.nextStart(next)
		if wait := time.Until(at); !found || wait > 0 {
			c.waitForWork(ctx, wait, found)
			continue
		}
		started := time.Now()
		batch := c.dequeueBatch(started)
		if conflicts := c.write(ctx, batch); !conflicts {
			next = started.Add(c.interval)
		}
		c.writeDone()
	}
	c.failAll()
}

// writeDone records that every operation of the last transaction is completed or back in the queue.
func (c *Claimer) writeDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
}

// nextStart returns when the next batch may be written: at next, or immediately if the batch is full and the batch
// interval is not raised by the table's rate limit, but not before an operation is ready. An operation is ready once
// its notBefore time has passed. It returns false if the queue is empty.
func (c *Claimer) nextStart(next time.Time) (at time.Time, found bool) {
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
	full := ready >= c.batchSize && c.interval == c.batchInterval
	if full || next.Before(first) {
		return first, true
	}
	return next, true
}

// waitForWork waits until the queue changes, ctx ends or, if timed, d has passed.
func (c *Claimer) waitForWork(ctx context.Context, d time.Duration, timed bool) {
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

// dequeueBatch removes the operations of the next transaction from the queue. A transaction has at most one operation
// for each row.
func (c *Claimer) dequeueBatch(now time.Time) []*operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*operation
	rows, bytes := map[string]bool{}, 0
	rest := c.queue[:0]
	for _, op := range c.queue {
		fits := len(batch) < c.batchSize && (len(batch) == 0 || bytes+len(op.value) <= maxBatchBytes)
		if !fits || rows[op.row] || op.notBefore.After(now) {
			rest = append(rest, op)
			continue
		}
		batch, rows[op.row], bytes = append(batch, op), true, bytes+len(op.value)
	}
	clear(c.queue[len(rest):])
	c.queue, c.queuedBytes = rest, c.queuedBytes-bytes
	c.inFlight = len(batch) > 0
	return batch
}

// write sends one transaction and completes or requeues its operations. It reports whether rows conflicted; the other
// operations are then written again immediately.
func (c *Claimer) write(ctx context.Context, batch []*operation) (conflicts bool) {
	var t table.Transaction
	for _, op := range batch {
		op.addTo(&t)
	}
	res, err := c.commit(ctx, t, len(batch))
	switch {
	case errors.Is(err, table.ErrRateLimited):
		c.interval = min(2*c.interval, max(c.batchInterval, maxInterval))
		c.retryOrFail(batch, err)
	case err != nil:
		c.retryOrFail(batch, err)
	case res.Committed:
		c.interval = max(c.batchInterval, c.interval*recoveryPercent/100)
		for _, op := range batch {
			c.complete(op, op.committedResult(res.Revision))
		}
	default:
		c.resolveConflicts(batch, res.Failed)
		return true
	}
	return false
}

// commit sends the transaction and updates unansweredSince.
func (c *Claimer) commit(ctx context.Context, t table.Transaction, operations int) (table.Result, error) {
	c.counters.recordTransaction(operations)
	started := time.Now()
	res, err := c.table.Commit(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !errors.Is(err, table.ErrUnknown):
		c.unansweredSince = time.Time{}
	case c.unansweredSince.IsZero():
		c.unansweredSince = started
	}
	return res, err
}

// resolveConflicts completes or requeues the operations whose rows did not match, and requeues the others.
func (c *Claimer) resolveConflicts(batch []*operation, failed []table.Row) {
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
		r, resolved := op.resolveConflict(row, c.now(), c.retention)
		if resolved {
			c.complete(op, r)
			continue
		}
		c.requeue(op, 0)
	}
}

// retryOrFail handles a transaction that the table refused or did not answer. A claim that provably was not written
// fails immediately, unless the cause is the table's rate limit. All other operations are retried until their timeout.
func (c *Claimer) retryOrFail(batch []*operation, cause error) {
	now := time.Now()
	notWritten, limited := errors.Is(cause, table.ErrUnavailable), errors.Is(cause, table.ErrRateLimited)
	for _, op := range batch {
		op.ambiguous = op.ambiguous || !notWritten
		if op.deadline.IsZero() {
			op.deadline = now.Add(op.timeout())
		}
		failNow := op.kind == kindClaim && !op.ambiguous && !limited
		if failNow || now.After(op.deadline) {
			c.fail(op, cause)
			continue
		}
		if limited {
			c.requeue(op, 0)
			continue
		}
		op.backoff = min(max(2*op.backoff, initialBackoff), maxBackoff)
		c.requeue(op, op.backoff)
	}
}

// fail completes op with ErrUnavailable. An abandonable claim that may have taken effect is abandoned later.
func (c *Claimer) fail(op *operation, cause error) {
	if op.abandonable && op.ambiguous {
		abandon := newAbandon(Claim{ID: op.id, Key: op.key})
		abandon.notBefore = time.Now().Add(maxBackoff)
		c.mu.Lock()
		c.push(abandon)
		c.mu.Unlock()
	}
	c.complete(op, result{err: fmt.Errorf("%w: %w", ErrUnavailable, cause)})
}

func (c *Claimer) requeue(op *operation, delay time.Duration) {
	op.notBefore = time.Now().Add(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(op)
}

// complete passes the result to the caller. If the caller no longer waits, a claim that was won is abandoned.
func (c *Claimer) complete(op *operation, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if op.canceled {
		c.abandonIfWon(op, r)
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
		c.complete(op, result{err: fmt.Errorf("%w: the claimer is closed", ErrUnavailable)})
	}
}
