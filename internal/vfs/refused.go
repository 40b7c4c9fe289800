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

// IsRefused reports whether err says that the disk refuses an operation but may accept it later: it
// is full, it fails, the file system is mounted read-only after a failure, the device doesn't
// respond, or the kernel has no memory for the operation.
func IsRefused(err error) bool {
	return IsDiskFull(err) || errors.IsAny(err, syscall.EIO, syscall.EROFS, syscall.ENXIO, syscall.ETIMEDOUT, syscall.ENOMEM)
}

const (
	// retryInterval is the time between two attempts at an operation that the disk refuses.
	retryInterval = 100 * time.Millisecond
	// refusalLogInterval is the time between two log lines while the disk refuses.
	refusalLogInterval = 10 * time.Second
)

// RetryWaiter waits between attempts at an operation that the disk refuses. It logs that the disk
// refuses, again from time to time, and when it accepts an operation again. It is not safe for
// concurrent use.
type RetryWaiter struct {
	Logger log.Logger
	// refusedSince is when the disk began to refuse, zero while it accepts. full says that it was
	// full then, and loggedAt is when the last line was logged.
	refusedSince, loggedAt time.Time
	full                   bool
}

// Wait waits before the next attempt at an operation that the disk refused with err. It returns
// false if ctx ends first.
func (w *RetryWaiter) Wait(ctx context.Context, err error) bool {
	now := time.Now()
	if w.refusedSince.IsZero() {
		w.refusedSince, w.full = now, IsDiskFull(err)
	}
	if now.Sub(w.loggedAt) >= refusalLogInterval {
		w.loggedAt = now
		w.logRefusal(err)
	}
	return wait.For(ctx, retryInterval)
}

func (w *RetryWaiter) logRefusal(err error) {
	if w.full {
		_ = w.Logger.Log("event", "disk", "outcome", "full", "err", err)
		return
	}
	_ = w.Logger.Log("event", "disk", "outcome", "refuses", "err", err)
}

// Succeeded records that the disk accepted an operation.
func (w *RetryWaiter) Succeeded() {
	if w.refusedSince.IsZero() {
		return
	}
	refused := time.Since(w.refusedSince).Milliseconds()
	if w.full {
		_ = w.Logger.Log("event", "disk", "outcome", "free space again", "full_ms", refused)
	} else {
		_ = w.Logger.Log("event", "disk", "outcome", "accepts again", "refused_ms", refused)
	}
	w.refusedSince, w.loggedAt = time.Time{}, time.Time{}
}
