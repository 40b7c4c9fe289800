package event

import (
	"time"
	"unicode/utf8"

	"github.com/bilberryferry/bilberryferry/hlc"
)

// Bounds of one event: details may repeat what came from outside.
const (
	maxDetailBytes  = 512
	maxSubjects     = 16
	maxSubjectBytes = 256
)

// DefaultCapacity is the number of events that a daemon keeps.
const DefaultCapacity = 5000

// Clock gives stamps; hlc.Clock does.
type Clock interface {
	Now(wall time.Time) hlc.Timestamp
}

// Config describes the process whose events are recorded.
type Config struct {
	Instance   string
	DataCentre string
	Clock      Clock
	// Wall reads the wall clock; time.Now when nil.
	Wall func() time.Time
	// Capacity of the ring; DefaultCapacity when zero.
	Capacity int
	// File also keeps the events on disk; nil for none.
	File *File
}

// Recorder stamps events and keeps them. It is safe for use by many goroutines.
type Recorder struct {
	config Config
	ring   *Ring
}

// NewRecorder returns a recorder. Events that the file still holds from before
// a restart are put back into the ring.
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

// Record keeps one event. Long texts are cut. A nil Recorder records nothing.
func (r *Recorder) Record(kind, detail string, subjects ...string) {
	if r == nil {
		return
	}
	r.RecordAt(r.config.Clock.Now(r.config.Wall()), r.config.Instance, kind, detail, subjects...)
}

// RecordAt keeps an event that another process of the data centre has stamped:
// a committed change, which every replica records under its proposer's name and
// stamp, so that the event outlives the proposer and Merge keeps it once.
func (r *Recorder) RecordAt(stamp hlc.Timestamp, instance, kind, detail string, subjects ...string) {
	if r == nil {
		return
	}
	e := Event{
		Timestamp:  stamp,
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

// Close writes to the file what is queued for it and closes it. Later events
// are in the ring only.
func (r *Recorder) Close() error {
	if r == nil || r.config.File == nil {
		return nil
	}
	return r.config.File.Close()
}

// Since returns kept events; see Ring.Since.
func (r *Recorder) Since(subject string, sinceMs int64, limit int) []Event {
	if r == nil {
		return nil
	}
	return r.ring.Since(subject, sinceMs, limit)
}

// cut shortens a text to a number of bytes without splitting a character, and
// replaces bytes that aren't UTF-8, which protobuf would refuse.
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
