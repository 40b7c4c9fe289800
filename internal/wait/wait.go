// Package wait waits for a time that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether the whole time passed.
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

// Closed waits until done is closed or ctx ends, and reports whether done was.
func Closed(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}
