package event

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// DefaultFileBytes is the size at which the file of events is rotated.
const DefaultFileBytes = 4 << 20

// maxQueuedEvents is how many events wait for the disk at most.
const maxQueuedEvents = 1024

// previousSuffix names the one older file that rotation keeps.
const previousSuffix = ".1"

// File keeps events on disk as JSON lines. It holds at most two files of a
// given size: when the current one is full it replaces the previous one. The
// file serves people; nothing of the system's own state depends on it, so it
// isn't synced, and an event that the disk is too slow for is left out of it.
type File struct {
	path   string
	limit  int64
	size   int64
	file   *os.File
	loaded []Event
	queue  chan Event
	done   chan struct{}

	mu      sync.Mutex
	closed  bool
	err     error
	dropped int
}

// fileEvent is the line format. Format guards against mixed programs.
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

const fileFormat = 1

// OpenFile opens a file of events for appending and reads what it holds. Lines
// that a crash has cut are skipped. limit is in bytes, DefaultFileBytes when zero.
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

// endWithNewline ends a line that a crash has cut, so that the next event
// isn't glued to it and lost with it. It returns the file's size.
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

// Earlier returns the events that the file held when it was opened.
func (f *File) Loaded() []Event { return f.loaded }

// Append queues an event for the disk and doesn't wait for it.
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

// Missed returns how many events are not in the file because the disk was too
// slow or refused them.
func (f *File) Dropped() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// Close writes what is queued, closes the file and returns the first error of writing.
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

// miss counts an event that couldn't be written. A full disk may have room
// again later, so the file is tried again with the next event.
func (f *File) recordDrop(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped++
	if f.err == nil {
		f.err = err
	}
}

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
