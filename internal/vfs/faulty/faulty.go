// Package faulty is a file system for tests whose disk refuses a number of operations.
package faulty

import (
	"io"
	"sync"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// FS passes all operations to another file system but for those that it refuses. It implements
// vfs.FS.
type FS struct {
	vfs.FS
	err error

	// all says that operations of all kinds may be refused, not only those that need space.
	all bool
	// refuses, when set, says whether operations are refused now.
	refuses func() bool

	mu       sync.Mutex
	accepted int
	// acceptLimit is the number of operations before the disk refuses, and refusals how many are
	// refused then.
	acceptLimit, refusals int
}

// New returns a file system that accepts acceptLimit operations that need space, refuses the next
// ones with err, as many as refusals, and accepts all that follow.
func New(files vfs.FS, acceptLimit, refusals int, err error) *FS {
	return &FS{FS: files, err: err, acceptLimit: acceptLimit, refusals: refusals}
}

// NewBroken returns a file system that accepts all operations until RefuseAfter is called, and then
// refuses operations of any kind with err, reads and syncs among them. A file whose sync was
// refused is never synced again, although its later syncs return no error: a kernel may drop
// what it couldn't write from its cache.
func NewBroken(files vfs.FS, err error) *FS { return &FS{FS: files, err: err, all: true} }

// NewSwitched returns a file system like that of NewBroken that refuses operations while refuses returns
// true.
func NewSwitched(files vfs.FS, err error, refuses func() bool) *FS {
	return &FS{FS: files, err: err, all: true, refuses: refuses}
}

// RefuseAfter makes the disk refuse operations, as many as refusals, after it has accepted a number of
// further ones.
func (f *FS) RefuseAfter(accepted, refusals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptLimit, f.refusals = f.accepted+accepted, refusals
}

// Refusing reports whether operations are still to be refused.
func (f *FS) Refusing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusals > 0
}

// Accepted returns the number of operations that were accepted so far and that the disk could have
// refused.
func (f *FS) Accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

// checkAny returns the error of the next operation that needs no space.
func (f *FS) checkAny() error {
	if !f.all {
		return nil
	}
	return f.check()
}

// check returns the error of the next operation that needs space.
func (f *FS) check() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses != nil && f.refuses() {
		return f.err
	}
	if f.accepted >= f.acceptLimit && f.refusals > 0 {
		f.refusals--
		return f.err
	}
	f.accepted++
	return nil
}

// MkdirAll creates a folder.
func (f *FS) MkdirAll(path string) error {
	if _, err := f.FS.List(path); err == nil {
		return nil
	}
	if err := f.check(); err != nil {
		return err
	}
	return f.FS.MkdirAll(path)
}

// Create creates a file.
func (f *FS) Create(path string) (vfs.File, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(path)
	return &faultyFile{File: file, files: f}, err
}

// OpenFile opens a file that exists.
func (f *FS) OpenFile(path string) (vfs.File, error) {
	if err := f.checkAny(); err != nil {
		return nil, err
	}
	file, err := f.FS.OpenFile(path)
	return &faultyFile{File: file, files: f}, err
}

// ReadFile returns the content of a file.
func (f *FS) ReadFile(path string) ([]byte, error) {
	if err := f.checkAny(); err != nil {
		return nil, err
	}
	return f.FS.ReadFile(path)
}

// List returns the names in a folder.
func (f *FS) List(folder string) ([]string, error) {
	if err := f.checkAny(); err != nil {
		return nil, err
	}
	return f.FS.List(folder)
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	if err := f.checkAny(); err != nil {
		return err
	}
	return f.FS.Remove(path)
}

// SyncFolder makes the names in a folder durable.
func (f *FS) SyncFolder(path string) error {
	if err := f.checkAny(); err != nil {
		return err
	}
	return f.FS.SyncFolder(path)
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Lock takes the lock of a file.
func (f *FS) Lock(path string) (io.Closer, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	return f.FS.Lock(path)
}

// faultyFile is an open file of a FS.
type faultyFile struct {
	vfs.File
	files *FS
	// syncRefused is set once a sync was refused.
	syncRefused bool
}

// Sync makes the content durable, but does nothing after it was refused once.
func (f *faultyFile) Sync() error {
	if err := f.files.checkAny(); err != nil {
		f.syncRefused = true
		return err
	}
	if f.syncRefused {
		return nil
	}
	return f.File.Sync()
}

// Truncate sets the size.
func (f *faultyFile) Truncate(size int64) error {
	if err := f.files.checkAny(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Write writes half of the data when it refuses.
func (f *faultyFile) Write(data []byte) (int, error) {
	refused := f.files.check()
	if refused == nil {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, refused
}
