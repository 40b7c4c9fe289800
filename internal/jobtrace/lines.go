// Package jobtrace reads the structured lines of all instances from files and
// tells what became of one job, and why.
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

// maxLineBytes bounds a line in bytes; longer ones end the reading.
const maxLineBytes = 1 << 20

// Keys that every line has.
const (
	keyTime     = "ts"
	keyInstance = "instance"
	keyEvent    = "event"
)

// Line is one structured line.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	// Fields are the others, in the order of the line.
	Fields []Field
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, empty when the line has none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read reads lines in order of time. What stands before the time in a line, such
// as a collector's own prefix, is left out, and so are lines of another form.
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
		return nil, errors.Wrap(err, "read the lines")
	}
	Sort(lines)
	return lines, nil
}

// Sort puts lines of several instances into order of time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

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

// subjectKeys hold IDs: of jobs, also as the first part of a step or a task, of
// workers and machines, and at the end of a request's path.
var subjectKeys = []string{"job", "step", "task", "worker", "beside", "for", "machine", "path"}

// subjects returns what a line concerns.
func (l *Line) subjects() []string {
	var list []string
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
		if id != "" && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// Concerns reports whether a line has the subject.
func (l *Line) Concerns(subject string) bool { return slices.Contains(l.subjects(), subject) }

// Events returns lines as events of the time line.
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
