package event

import (
	"time"
	"unicode/utf8"

	"github.com/bilberryferry/bilberryferry/hlc"
)

// Bounds of one event. A detail may repeat a caller's text, which has any length.
const (
	maxDetailBytes  = 512
	maxSubjects     = 16
	maxSubjectBytes = 256
)

// DefaultCapacity is the number of events that a daemon keeps in memory.
const DefaultCapacity = 5000

// Clock returns timestamps. hlc.Clock implements it.
type Clock interface {
	Now(wall time.Time) hlc.Timestamp
}

// Config describes the process whose events are recorded.
type Config struct {
	Instance   string
	DataCentre string
	Clock      Clock
	// Wall returns the wall clock time; nil means time.Now.
	Wall func() time.Time
	// Capacity is the number of events kept in memory; DefaultCapacity when it isn't positive.
	Capacity int
	// File writes the events to disk; nil means that the events are kept in memory only.
	File *File
}

// Recorder timestamps events and keeps them. It is safe for concurrent use.
type Recorder struct {
	config Config
	ring   *Ring
}

// NewRecorder returns a recorder that already holds the events that config.File has
// loaded, so that a restart of the process doesn't lose them.
func NewRecorder(config Config) *Recorder {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Capacity <= 0 {
		config.Capacity = DefaultCapacity
	}
	r := &Recorder{config: config, ring: NewRing(config.Capacity)}
	if config.File != nil {
		for _, e := range config.File.Loaded() {
			r.ring.Append(e)
		}
	}
	return r
}

// Record timestamps and keeps one event. It truncates long texts and drops
// subjects beyond maxSubjects. A nil Recorder records nothing.
func (r *Recorder) Record(kind, detail string, subjects ...string) {
	if r == nil {
		return
	}
	r.RecordAt(r.config.Clock.Now(r.config.Wall()), r.config.Instance, kind, detail, subjects...)
}

// RecordAt keeps an event with the timestamp and the instance name of another process of
// the data centre. Every replica records a committed change with the instance name and
// timestamp of the proposer. The event thus survives the loss of the proposer, and Merge
// recognises the duplicates. A nil Recorder records nothing.
func (r *Recorder) RecordAt(timestamp hlc.Timestamp, instance, kind, detail string, subjects ...string) {
	if r == nil {
		return
	}
	e := Event{
		Timestamp:  timestamp,
		Instance:   instance,
		DataCentre: r.config.DataCentre,
		Kind:       truncate(kind, maxSubjectBytes),
		Detail:     truncate(detail, maxDetailBytes),
	}
	for _, subject := range subjects[:min(len(subjects), maxSubjects)] {
		if subject != "" {
			e.Subjects = append(e.Subjects, truncate(subject, maxSubjectBytes))
		}
	}
	r.ring.Append(e)
	if r.config.File != nil {
		r.config.File.Append(e)
	}
}

// Close writes the queued events to the file and closes it. Later events are
// kept in memory only.
func (r *Recorder) Close() error {
	if r == nil || r.config.File == nil {
		return nil
	}
	return r.config.File.Close()
}

// Since returns the kept events that match; see Ring.Since. A nil Recorder has none.
func (r *Recorder) Since(subject string, sinceMs int64, limit int) []Event {
	if r == nil {
		return nil
	}
	return r.ring.Since(subject, sinceMs, limit)
}

// truncate shortens a text to at most maxBytes without splitting a character. It
// replaces invalid UTF-8, which protobuf refuses to encode.
func truncate(text string, maxBytes int) string {
	if len(text) > maxBytes {
		text = text[:maxBytes]
		for len(text) > 0 && !utf8.RuneStart(text[len(text)-1]) {
			text = text[:len(text)-1]
		}
		if r, size := utf8.DecodeLastRuneInString(text); r == utf8.RuneError && size == 1 {
			text = text[:len(text)-1]
		}
	}
	if utf8.ValidString(text) {
		return text
	}
	valid := make([]rune, 0, len(text))
	for _, r := range text {
		valid = append(valid, r)
	}
	return string(valid)
}
