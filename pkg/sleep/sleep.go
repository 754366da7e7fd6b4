// Package sleep waits for a while, but not beyond the end of a context.
//
// Usage:
//
//	for sleep.For(ctx, interval) == nil {
//		... // Once each interval, until the context ends.
//	}
package sleep

import (
	"context"
	"time"
)

// For waits for the duration. It returns the context's error at once if the context ends before that.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
