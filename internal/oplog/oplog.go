// Package oplog writes a process's structured log lines without blocking the goroutine that
// logs. It limits the lines per second, and drops and counts the lines beyond that limit, so
// that the process can log their number.
package oplog

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer. At maxLinesPerSecond it is
	// reached half a second after the writer blocks.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the maximum rate of lines. A leader logs about six lines for each
	// job, so the limit covers 300 jobs per second. Logging a line takes about 5 µs.
	maxLinesPerSecond = 2000
)

// Sink is an io.Writer that queues lines, which a separate goroutine writes. It is
// safe for concurrent use.
type Sink struct {
	lines chan []byte
	// done is closed when all queued lines are written after Close.
	done chan struct{}

	mu sync.Mutex
	// windowLines is the number of lines queued in the second that began at windowStart.
	windowStart time.Time
	windowLines int
	// dropped is the number of lines dropped since TakeDropped was last called.
	dropped int
	closed  bool
	// last is the line after all queued ones.
	last []byte
}

// NewSink returns a sink that writes to w until Close is called.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.writeLoop(w)
	return s
}

// writeLoop writes queued lines until Close is called. It writes all queued lines with one
// call, because a leader of 350 workers logs 2000 lines per second and a write takes longer
// than formatting a line. It ignores write errors, because there is no other place to log
// them.
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
	if s.last != nil {
		_, _ = w.Write(s.last)
	}
}

// Write queues one line. It drops the line when the rate limit is reached, the
// queue is full or the sink is closed. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowLines = now, 0
	}
	if s.closed || s.windowLines >= maxLinesPerSecond {
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

// TakeDropped returns the number of lines dropped since the last call of TakeDropped.
func (s *Sink) TakeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.dropped
	s.dropped = 0
	return n
}

// CloseTimeout bounds how long Close waits for a blocked writer.
const CloseTimeout = 200 * time.Millisecond

// Close ends the sink, which drops later lines. It waits until the queued lines are
// written, for CloseTimeout at most.
func (s *Sink) Close() { s.CloseWith(nil, CloseTimeout) }

// CloseWith is like Close and writes one more line after the queued ones, which no limit drops. It
// waits for timeout at most. A sink that is closed already drops the line.
func (s *Sink) CloseWith(last []byte, timeout time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed, s.last = true, last
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// NewLogger returns a logger that writes logfmt lines with time and instance to w, such as a Sink.
func NewLogger(w io.Writer, instance string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "instance", instance)
}
