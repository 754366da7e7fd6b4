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

// For waits for the duration or until the context ends. It returns the context's error if the context has ended, also
// when the duration is over too, and nil otherwise.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
