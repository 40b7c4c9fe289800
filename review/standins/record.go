package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what is sent, answered and run, with the time since the start of the script.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("create the record: %v", err)
	}
	return &recorder{file: file, started: time.Now()}
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseError ends a case that can't run.
type caseError struct{ text string }

// cannotRun ends the case with exitCannotRun, after the processes have been ended.
func cannotRun(format string, args ...any) { panic(caseError{fmt.Sprintf(format, args...)}) }
