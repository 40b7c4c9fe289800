package vfs

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// IsDiskFull reports whether err says that a write found no space: no free block, the quota of
// the user, or the process's limit on the size of a file. Each of them may be lifted while the
// process runs, so the same write may succeed later.
func IsDiskFull(err error) bool {
	return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG)
}

// spaceRetryInterval is the time between two attempts to write to a full disk.
const spaceRetryInterval = 100 * time.Millisecond

// SpaceWaiter waits between attempts to write to a full disk, and logs when the disk was found
// full and when a write succeeded again. It is not safe for concurrent use.
type SpaceWaiter struct {
	Logger log.Logger
	// fullSince is when the disk was found full, zero while it has free space.
	fullSince time.Time
}

// Wait waits before the next attempt. It returns false if ctx ends first.
func (w *SpaceWaiter) Wait(ctx context.Context) bool {
	if w.fullSince.IsZero() {
		w.fullSince = time.Now()
		_ = w.Logger.Log("event", "disk", "outcome", "full")
	}
	return wait.For(ctx, spaceRetryInterval)
}

// Succeeded records that a write succeeded.
func (w *SpaceWaiter) Succeeded() {
	if w.fullSince.IsZero() {
		return
	}
	_ = w.Logger.Log("event", "disk", "outcome", "free space again", "full_ms", time.Since(w.fullSince).Milliseconds())
	w.fullSince = time.Time{}
}
