// Package sleep waits for a duration or until a context ends.
//
// Usage:
//
//	for sleep.For(ctx, interval) == nil {
//		... // Runs once per interval until the context ends.
//	}
package sleep

import (
	"context"
	"time"
)

// For waits for the duration. If the context ends earlier, it returns the context's error immediately.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
