package daemon

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configlog"
)

// compactInterval limits the changes stored beyond configlog.DefaultRetainedChanges: at 16,000
// changes a day, an hour adds 700.
const compactInterval = time.Hour

// compact periodically replaces old changes in the configuration log by a snapshot. Only the instances that
// poll the head row, which holds the newest version, compact the log; concurrent compactions are safe.
func (d *Daemon) compact(ctx context.Context) {
	ticker := time.NewTicker(compactInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.node.View().Polls {
			continue
		}
		if err := d.log.Compact(ctx, configlog.DefaultRetainedChanges); err != nil {
			d.logger.Warn().Err(err).Msg("cannot compact the configuration log")
		}
	}
}
