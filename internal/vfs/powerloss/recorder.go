package powerloss

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// Recorder is the file system of the operating system, with a record of the operations below
// one folder. The record is a file outside that folder and goes on over the processes that use
// the folder one after the other; ReadRecord reads it. An operation is recorded after it was
// done and before the program goes on, so that the program relies on no sync that isn't in
// the record.
type Recorder struct {
	vfs.OS
	folder string
	mu     sync.Mutex
	record *os.File
	// open are the open files, whose paths change with a rename.
	open map[*recordedFile]bool
}

// unfinishedSuffix is the end of the name of a record that doesn't say yet what the folder holds. A
// process that is killed meanwhile leaves no record.
const unfinishedSuffix = ".unfinished"

// NewRecorder opens the record of a folder. Without a record, what the folder holds is
// durable. With one, what the last process did and couldn't record any more is recorded now.
func NewRecorder(folder, record string) (*Recorder, error) {
	known, length, err := readRecord(record)
	isNew := errors.Is(err, os.ErrNotExist)
	if isNew {
		known, err = NewDisk(), nil
	}
	if err != nil {
		return nil, err
	}
	path := record
	if isNew {
		path += unfinishedSuffix
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open the record")
	}
	if err := f.Truncate(length); err != nil {
		return nil, errors.Wrap(err, "cut half of an operation off the record")
	}
	r := &Recorder{folder: filepath.Clean(folder), record: f, open: map[*recordedFile]bool{}}
	if err := r.recordDifferences(known); err != nil {
		return nil, err
	}
	if !isNew {
		return r, nil
	}
	if err := r.add(Operation{Kind: Settle}); err != nil {
		return nil, err
	}
	return r, errors.Wrap(os.Rename(path, record), "finish the start of the record")
}

// ReadRecord returns the disk after all operations of a record. A process that was killed may
// leave half of an operation at the end.
func ReadRecord(record string) (*Disk, error) {
	d, _, err := readRecord(record)
	return d, err
}

// readRecord also returns the length in bytes of the whole operations.
func readRecord(record string) (d *Disk, length int64, err error) {
	data, err := os.ReadFile(record)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the record")
	}
	d = NewDisk()
	for decoder := cbor.NewDecoder(bytes.NewReader(data)); ; {
		var o Operation
		if err := decoder.Decode(&o); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return d, length, nil
			}
			return nil, 0, errors.Wrap(err, "decode the record")
		}
		if err := d.Apply(o); err != nil {
			return nil, 0, errors.Wrapf(err, "operation %d on %s", o.Kind, o.Path)
		}
		length = int64(decoder.NumBytesRead())
	}
}

// recordDifferences records what the folder holds and the known disk doesn't, as changes that
// aren't durable.
func (r *Recorder) recordDifferences(known *Disk) error {
	if err := r.recordRemoved(known.root, ""); err != nil {
		return err
	}
	err := filepath.WalkDir(r.folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || path == r.folder {
			return err
		}
		name, err := filepath.Rel(r.folder, path)
		if err != nil {
			return err
		}
		found := known.find(name)
		if entry.IsDir() {
			if found == nil {
				return r.add(Operation{Kind: Mkdir, Path: name})
			}
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return r.recordContent(name, found, content)
	})
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// recordContent records how the content of a file differs from that of the known one, which is
// nil if it is new.
func (r *Recorder) recordContent(name string, known *node, content []byte) error {
	if known == nil {
		known = &node{}
		if err := r.add(Operation{Kind: Create, Path: name}); err != nil {
			return err
		}
	}
	same := 0
	for same < min(len(content), len(known.content)) && content[same] == known.content[same] {
		same++
	}
	if same < len(content) {
		if err := r.add(Operation{Kind: Write, Path: name, Offset: int64(same), Data: content[same:]}); err != nil {
			return err
		}
	}
	if len(content) < len(known.content) {
		return r.add(Operation{Kind: Truncate, Path: name, Offset: int64(len(content))})
	}
	return nil
}

// recordRemoved records the files of the known disk that are gone.
func (r *Recorder) recordRemoved(n *node, path string) error {
	for name, child := range n.names {
		below := filepath.Join(path, name)
		if child.isFolder {
			if err := r.recordRemoved(child, below); err != nil {
				return err
			}
		}
		if _, err := os.Lstat(filepath.Join(r.folder, below)); !errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err := r.add(Operation{Kind: Remove, Path: below}); err != nil {
			return err
		}
	}
	return nil
}

// add writes an operation to the record.
func (r *Recorder) add(o Operation) error {
	data, err := cbor.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode an operation")
	}
	_, err = r.record.Write(data)
	return errors.Wrap(err, "write the record")
}

// do does an operation and records it if it succeeded and is below the folder.
func (r *Recorder) do(o Operation, operation func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := operation(); err != nil {
		return err
	}
	var ok bool
	if o.Path, ok = r.below(o.Path); !ok {
		return nil
	}
	if o.To != "" {
		o.To, _ = r.below(o.To)
	}
	return r.add(o)
}

// below returns a path relative to the folder, and whether it is the folder or below it.
func (r *Recorder) below(path string) (string, bool) {
	name, err := filepath.Rel(r.folder, path)
	return name, err == nil && name != ".." && !strings.HasPrefix(name, ".."+string(filepath.Separator))
}

// MkdirAll creates a folder and its missing parents.
func (r *Recorder) MkdirAll(path string) error {
	name, ok := r.below(path)
	if !ok || name == "." {
		return r.OS.MkdirAll(path)
	}
	if err := r.MkdirAll(filepath.Dir(path)); err != nil {
		return err
	}
	return r.do(Operation{Kind: Mkdir, Path: path}, func() error { return r.OS.MkdirAll(path) })
}

// Create creates or truncates a file.
func (r *Recorder) Create(path string) (vfs.File, error) {
	var f vfs.File
	err := r.do(Operation{Kind: Create, Path: path}, func() (err error) {
		f, err = r.OS.Create(path)
		return err
	})
	if err != nil {
		return nil, err
	}
	return r.opened(f, path), nil
}

// OpenFile opens a file that exists.
func (r *Recorder) OpenFile(path string) (vfs.File, error) {
	f, err := r.OS.OpenFile(path)
	if err != nil {
		return nil, err
	}
	return r.opened(f, path), nil
}

// Rename renames a file.
func (r *Recorder) Rename(from, to string) error {
	return r.do(Operation{Kind: Rename, Path: from, To: to}, func() error {
		if err := r.OS.Rename(from, to); err != nil {
			return err
		}
		for f := range r.open {
			if f.path == from {
				f.path = to
			}
		}
		return nil
	})
}

// Remove removes a file.
func (r *Recorder) Remove(path string) error {
	return r.do(Operation{Kind: Remove, Path: path}, func() error { return r.OS.Remove(path) })
}

// SyncFolder makes the names in a folder durable.
func (r *Recorder) SyncFolder(path string) error {
	return r.do(Operation{Kind: SyncFolder, Path: path}, func() error { return r.OS.SyncFolder(path) })
}

// opened returns an open file whose operations are recorded.
func (r *Recorder) opened(f vfs.File, path string) *recordedFile {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := &recordedFile{File: f, recorder: r, path: path}
	r.open[recorded] = true
	return recorded
}

// recordedFile is an open file. Its path and offset are guarded by the recorder's mutex.
type recordedFile struct {
	vfs.File
	recorder *Recorder
	path     string
	offset   int64
}

// do does an operation on the file and records it.
func (f *recordedFile) do(o Operation, operation func() error) error {
	f.recorder.mu.Lock()
	o.Path = f.path
	f.recorder.mu.Unlock()
	return f.recorder.do(o, operation)
}

// Write writes at the position of the last Seek or Write. A write that fails halfway is found
// by the next NewRecorder or overwritten.
func (f *recordedFile) Write(p []byte) (n int, err error) {
	err = f.do(Operation{Kind: Write, Offset: f.offset, Data: p}, func() error {
		n, err = f.File.Write(p)
		return err
	})
	f.offset += int64(n)
	return n, err
}

// Seek sets the position of the next Write. Only io.SeekStart is supported.
func (f *recordedFile) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, os.ErrInvalid
	}
	f.offset = offset
	return f.File.Seek(offset, whence)
}

// Truncate sets the size.
func (f *recordedFile) Truncate(size int64) error {
	return f.do(Operation{Kind: Truncate, Offset: size}, func() error { return f.File.Truncate(size) })
}

// Sync makes the content durable.
func (f *recordedFile) Sync() error {
	return f.do(Operation{Kind: Sync}, f.File.Sync)
}

// Close closes the file.
func (f *recordedFile) Close() error {
	f.recorder.mu.Lock()
	delete(f.recorder.open, f)
	f.recorder.mu.Unlock()
	return f.File.Close()
}
