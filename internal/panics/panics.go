// Package panics reports the panic of a goroutine before it ends the process. The panic goes on
// with its original value, so that the runtime writes its usual text and exits as usual.
package panics

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Report describes a panic in two bounded lines of text.
type Report struct {
	// Reason is the value of the panic.
	Reason string
	// Place names the innermost functions of this module on the stack, the innermost first.
	Place string
}

// reporter is the function that SetReporter was called with last.
var reporter atomic.Pointer[func(Report)]

// SetReporter makes Handle call report. It applies to the whole process, which a panic ends
// wherever it occurs. Other goroutines still run while report does, with whatever state the
// panic has left, so it must return soon.
func SetReporter(report func(Report)) { reporter.Store(&report) }

// Handle reports a panic of the calling goroutine and panics again. It must be deferred at the
// start of a goroutine.
func Handle() {
	report := reporter.Load()
	if report == nil {
		return
	}
	value := recover()
	if value == nil {
		return
	}
	(*report)(Report{Reason: OneLine(fmt.Sprint(value)), Place: Place(string(debug.Stack()))})
	panic(value)
}

// Group is an errgroup.Group whose functions report their panics.
type Group struct{ group *errgroup.Group }

// NewGroup is errgroup.WithContext for a Group.
func NewGroup(ctx context.Context) (*Group, context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	return &Group{group}, ctx
}

// Go calls f in a goroutine of the group.
func (g *Group) Go(f func() error) {
	g.group.Go(func() error {
		defer Handle()
		return f()
	})
}

// Wait waits until all functions have returned, and returns their first error.
func (g *Group) Wait() error { return g.group.Wait() }

const (
	// maxLineBytes bounds a text as one line.
	maxLineBytes = 500
	// maxFrames bounds the frames of a place.
	maxFrames = 6
)

// modulePath is the start of the names of this module's functions.
const modulePath = "github.com/bilberryferry/bilberryferry/"

// ownCalls are the starts of the calls by which this package gets onto a stack.
var ownCalls = []string{modulePath + "internal/panics.Handle(", modulePath + "internal/panics.(*Group)."}

// OneLine returns a text as one line of bounded length.
func OneLine(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, strings.TrimSpace(line))
	}
	joined := strings.Join(lines, "; ")
	if len(joined) <= maxLineBytes {
		return joined
	}
	return strings.ToValidUTF8(joined[:maxLineBytes], "") + "..."
}
