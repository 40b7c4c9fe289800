// Package wait provides waits that end early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It reports whether the full time has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Closed waits until done is closed or ctx ends. It reports whether done was closed.
func Closed(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}
