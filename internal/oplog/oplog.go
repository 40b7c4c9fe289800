// Package oplog writes a process's structured lines to standard output without
// ever blocking who logs, within a budget of lines a second. Lines that don't
// fit are dropped and counted, and the count is logged.
package oplog

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer: half a second of the
	// budget.
	maxQueuedLines = 1024
	// linesPerSecond is the budget. A leader logs about six lines a job, so it
	// covers 300 jobs a second; a line costs about 5 µs.
	linesPerSecond = 2000
)

// Sink is an io.Writer that hands lines to a writer of its own. It is safe for
// concurrent use.
type Sink struct {
	lines chan []byte
	done  chan struct{}

	mu          sync.Mutex
	windowStart time.Time
	windowLines int
	dropped     int
	closed      bool
}

// NewSink returns a sink that writes to w. Close ends it.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.writeLoop(w)
	return s
}

// drain writes what is queued, as much as there is at a time: a leader of 350
// workers logs 2000 lines a second, and a write costs more than to make a line. An
// error of the writer can't be logged anywhere.
func (s *Sink) writeLoop(w io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for range len(s.lines) {
			batch = append(batch, <-s.lines...)
		}
		_, _ = w.Write(batch)
	}
}

// Write queues one line, or drops it when the budget is spent or the queue full.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowLines = now, 0
	}
	if s.closed || s.windowLines >= linesPerSecond {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
		s.windowLines++
	default:
		s.dropped++
	}
	return len(line), nil
}

// TakeDropped returns how many lines were dropped since it was last called.
func (s *Sink) TakeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.dropped
	s.dropped = 0
	return n
}

// closeTimeout bounds how long Close waits for a reader that stands still.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, as far as the writer takes it in time.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// NewLogger returns a logger of logfmt lines on s.
func NewLogger(s *Sink, instance string) log.Logger {
	return log.With(log.NewLogfmtLogger(s), "ts", log.DefaultTimestampUTC, "instance", instance)
}
