// Package sleep waits for a time or the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits and reports whether the time passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
