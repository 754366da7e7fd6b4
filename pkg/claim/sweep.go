package claim

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

const (
	// DefaultSweepInterval is the time between the reads of two pages. It lets 18 instances together scan 15 million
	// rows a day with 1.8 reads/s and at most 1.8 writes/s.
	DefaultSweepInterval = 10 * time.Second
	// DefaultSweepPage is the maximum number of rows in a page. A page has 3 MB if every stored body is at the limit.
	DefaultSweepPage = 100
)

// sweepState holds the claimer's position in its scan of all claim rows.
type sweepState struct {
	interval time.Duration // interval is the time between two pages, 0 to disable the sweep.
	page     int           // page is the maximum number of rows in a page.
	after    string        // after is the key after which the next page starts.
}

func (c *Claimer) runSweep(ctx context.Context) {
	if c.sweep.interval <= 0 {
		return
	}
	ticker := time.NewTicker(c.sweep.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// The next pass over the rows also covers a page that fails now.
			_, _ = c.Sweep(ctx)
		}
	}
}

// Sweep reads the next page of claim rows, deletes the expired ones in one transaction and advances the claimer's
// position to the following page. It returns the number of deleted rows, 0 if one of the expired rows changed
// concurrently. The claimer calls it at its sweep interval; other calls are safe only if the interval is zero.
func (c *Claimer) Sweep(ctx context.Context) (deleted int, err error) {
	rows, err := c.table.Scan(ctx, Prefix, c.sweep.after, c.sweep.page)
	if err != nil {
		return 0, err
	}
	c.sweep.after = Prefix
	if len(rows) == c.sweep.page {
		c.sweep.after = rows[len(rows)-1].Key
	}
	t := c.deletions(rows)
	if len(t.Writes) == 0 {
		return 0, nil
	}
	res, err := c.table.Commit(ctx, t)
	if err != nil || !res.Committed {
		return 0, err
	}
	c.counters.swept.Inc(int64(len(t.Writes)))
	return len(t.Writes), nil
}

// deletions returns a transaction that deletes the expired rows, each on condition of its revision.
func (c *Claimer) deletions(rows []table.Row) table.Transaction {
	var t table.Transaction
	for _, row := range rows {
		if !parseRecord(row.Value).expired(c.now(), c.retention+clockSkew) {
			continue
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
		t.Writes = append(t.Writes, table.Write{Key: row.Key, Delete: true})
	}
	return t
}
