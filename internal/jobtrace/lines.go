// Package jobtrace reads the structured log lines of all instances and explains how one
// job ended and how much time it spent in each activity.
package jobtrace

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/event"
)

// maxLineBytes bounds the length of a line. Read returns an error for a longer one.
const maxLineBytes = 1 << 20

// Keys that every log line has.
const (
	keyTime     = "ts"
	keyInstance = "instance"
	keyEvent    = "event"
)

// Line is one structured log line of an instance.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	// Fields are the remaining keys and values, in the order of the line.
	Fields []Field
}

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, or "" when the line doesn't have the key.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read reads log lines and returns them sorted by time. It ignores text before the time of
// a line, such as a log collector's prefix, and skips lines of another format.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.Index(text, []byte(keyTime+"="))
		if start < 0 {
			continue
		}
		if line, ok := parseLine(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log lines")
	}
	Sort(lines)
	return lines, nil
}

// Sort sorts the lines of several instances by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parseLine parses one logfmt line. It returns false unless the line has an event and
// its time is valid.
func parseLine(text []byte) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case keyTime:
			parsed, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = parsed
		case keyInstance:
			line.Instance = value
		case keyEvent:
			line.Event = value
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}

// subjectKeys are the keys whose values name a job, worker or machine. Most values are its
// id. The value of "step", "task" or "for" is the id of a step or task, whose first part is
// the job's id. The value of "path" is a request path, whose last part is the job's id.
var subjectKeys = []string{"job", "step", "task", "worker", "beside", "for", "machine", "path"}

// subjects returns the ids of the jobs, workers and machines that a line concerns.
func (l *Line) subjects() []string {
	var ids []string
	for _, f := range l.Fields {
		if !slices.Contains(subjectKeys, f.Key) {
			continue
		}
		id := f.Value
		switch f.Key {
		case "step", "task", "for":
			id, _, _ = strings.Cut(id, "/")
		case "path":
			id = id[strings.LastIndexByte(id, '/')+1:]
		}
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Concerns reports whether the line concerns the job, worker or machine with the id.
func (l *Line) Concerns(subject string) bool { return slices.Contains(l.subjects(), subject) }

// Events converts log lines to events of the event timeline. The nanoseconds of a time
// within its millisecond become the logical counter, which keeps the order of the lines.
func Events(lines []Line) []event.Event {
	events := make([]event.Event, 0, len(lines))
	for i := range lines {
		l := &lines[i]
		var detail []string
		for _, f := range l.Fields {
			detail = append(detail, f.Key+"="+f.Value)
		}
		events = append(events, event.Event{
			Timestamp: hlc.Timestamp{Wall: l.Time.UnixMilli(), Logical: uint32(l.Time.Nanosecond() % int(time.Millisecond))},
			Instance:  l.Instance, Kind: l.Event, Subjects: l.subjects(), Detail: strings.Join(detail, " "),
		})
	}
	return events
}
