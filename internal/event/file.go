package event

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// DefaultFileBytes is the size in bytes at which an events file is rotated.
const DefaultFileBytes = 4 << 20

// maxQueuedEvents bounds the events that wait to be written to disk.
const maxQueuedEvents = 1024

// previousSuffix is the name suffix of the one older file that rotation keeps.
const previousSuffix = ".1"

// File writes events to disk as JSON lines. It keeps at most two files of limited size:
// when the current file is full, it replaces the previous one, and a new file is started.
// Only people read the files and no state of the system depends on them. The files
// therefore aren't synced, and events are dropped when the disk is too slow.
type File struct {
	path string
	// limit is the size at which the current file is rotated, and size its present size,
	// both in bytes. file is nil after a failed rotation.
	limit  int64
	size   int64
	file   *os.File
	loaded []Event
	queue  chan Event
	// done is closed when, after Close, all queued events are written.
	done chan struct{}

	mu     sync.Mutex
	closed bool
	// err is the first error of a write.
	err error
	// dropped is the number of events that weren't written.
	dropped int
}

// fileEvent is the JSON of one line. Format is the version of the line format; a
// program skips lines of a version that it doesn't know.
type fileEvent struct {
	Format     int      `json:"format"`
	Wall       int64    `json:"wall_ms"`
	Logical    uint32   `json:"logical,omitempty"`
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre,omitempty"`
	Kind       string   `json:"kind"`
	Subjects   []string `json:"subjects,omitempty"`
	Detail     string   `json:"detail,omitempty"`
}

// fileFormat is the current version of the line format.
const fileFormat = 1

// OpenFile opens an events file for appending and loads the events of the current and the
// previous file. It skips lines that a crash truncated. The file is rotated at limit bytes,
// or at DefaultFileBytes when limit isn't positive.
func OpenFile(path string, limit int64) (*File, error) {
	if limit <= 0 {
		limit = DefaultFileBytes
	}
	f := &File{path: path, limit: limit, queue: make(chan Event, maxQueuedEvents), done: make(chan struct{})}
	f.loaded = append(readEvents(path+previousSuffix), readEvents(path)...)
	if err := f.open(); err != nil {
		return nil, err
	}
	go f.run()
	return f, nil
}

// readEvents returns the events of a file, without lines that it can't parse. It
// returns nil when the file can't be read.
func readEvents(path string) []Event {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var events []Event
	for line := range bytes.SplitSeq(text, []byte{'\n'}) {
		var l fileEvent
		if json.Unmarshal(line, &l) != nil || l.Format != fileFormat {
			continue
		}
		e := Event{Instance: l.Instance, DataCentre: l.DataCentre, Kind: l.Kind, Subjects: l.Subjects, Detail: l.Detail}
		e.Timestamp.Wall = l.Wall
		e.Timestamp.Logical = l.Logical
		events = append(events, e)
	}
	return events
}

// open opens the current file for appending.
func (f *File) open() error {
	file, err := os.OpenFile(f.path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open events file")
	}
	size, err := endWithNewline(file)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "read events file"), file.Close())
	}
	f.file = file
	f.size = size
	return nil
}

// endWithNewline terminates a line that a crash truncated; otherwise the next event would
// be appended to that line and lost with it. endWithNewline returns the file's size in
// bytes.
func endWithNewline(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil || info.Size() == 0 {
		return 0, err
	}
	last := make([]byte, 1)
	if _, err := file.ReadAt(last, info.Size()-1); err != nil {
		return 0, err
	}
	if last[0] == '\n' {
		return info.Size(), nil
	}
	_, err = file.Write([]byte{'\n'})
	return info.Size() + 1, err
}

// Loaded returns the events that the current and the previous file held when the file was
// opened.
func (f *File) Loaded() []Event { return f.loaded }

// Append queues an event for writing and returns immediately. It drops the event when
// the queue is full or the file is closed.
func (f *File) Append(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	select {
	case f.queue <- e:
	default:
		f.dropped++
	}
}

// Dropped returns how many events weren't written because the queue was full or a
// write failed.
func (f *File) Dropped() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// Close writes the queued events and closes the file. It returns the first error of a
// write, combined with an error of the closing.
func (f *File) Close() error {
	f.mu.Lock()
	if !f.closed {
		f.closed = true
		close(f.queue)
	}
	f.mu.Unlock()
	<-f.done
	return f.err
}

// run writes queued events until Close is called, and then closes the file.
func (f *File) run() {
	defer close(f.done)
	for e := range f.queue {
		if err := f.write(e); err != nil {
			f.recordDrop(err)
		}
	}
	if f.file != nil {
		f.err = errors.CombineErrors(f.err, f.file.Close())
	}
}

// recordDrop counts an event that couldn't be written. The next event is written as usual,
// because a full disk may have free space again by then.
func (f *File) recordDrop(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped++
	if f.err == nil {
		f.err = err
	}
}

// write appends one event to the current file.
func (f *File) write(e Event) error {
	line, err := json.Marshal(fileEvent{
		Format: fileFormat, Wall: e.Timestamp.Wall, Logical: e.Timestamp.Logical, Instance: e.Instance,
		DataCentre: e.DataCentre, Kind: e.Kind, Subjects: e.Subjects, Detail: e.Detail,
	})
	if err != nil {
		return err
	}
	if err := f.rotateIfFull(int64(len(line)) + 1); err != nil {
		return err
	}
	n, err := f.file.Write(append(line, '\n'))
	f.size += int64(n)
	return err
}

// rotateIfFull starts a new file when a line of lineBytes bytes doesn't fit into the
// current one. It reopens the file when an earlier rotation has failed.
func (f *File) rotateIfFull(lineBytes int64) error {
	if f.file == nil {
		return f.open()
	}
	if f.size == 0 || f.size+lineBytes <= f.limit {
		return nil
	}
	err := f.file.Close()
	f.file = nil
	if err != nil {
		return err
	}
	if err := os.Rename(f.path, f.path+previousSuffix); err != nil {
		return err
	}
	return f.open()
}
