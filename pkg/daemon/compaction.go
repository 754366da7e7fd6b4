package daemon

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configlog"
)

// compactInterval bounds the rows beyond configlog.DefaultKeep: at 16,000 changes a day an hour adds 700.
const compactInterval = time.Hour

// compact replaces old changes by a snapshot from time to time. The instances that read the head row
// do it; several at once do no harm.
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
			d.logger.Warn().Err(err).Msg("old configuration changes were not compacted")
		}
	}
}
