// Package faulty is a file system for tests whose disk is full for a number of writes.
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

	mu       sync.Mutex
	accepted int
	// acceptLimit is the number of operations that need space before the disk is full, and
	// refusals how many are refused then.
	acceptLimit, refusals int
}

// New returns a file system that accepts acceptLimit operations that need space, refuses the next
// ones with err, as many as refusals, and accepts all that follow.
func New(files vfs.FS, acceptLimit, refusals int, err error) *FS {
	return &FS{FS: files, err: err, acceptLimit: acceptLimit, refusals: refusals}
}

// Accepted returns the number of operations that needed space and were accepted so far.
func (f *FS) Accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

// check returns the error of the next operation that needs space.
func (f *FS) check() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.accepted >= f.acceptLimit && f.refusals > 0 {
		f.refusals--
		return f.err
	}
	f.accepted++
	return nil
}

// MkdirAll creates a folder.
func (f *FS) MkdirAll(path string) error {
	if _, err := f.List(path); err == nil {
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
	return &faultyFile{file, f}, err
}

// OpenFile opens a file that exists.
func (f *FS) OpenFile(path string) (vfs.File, error) {
	file, err := f.FS.OpenFile(path)
	return &faultyFile{file, f}, err
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
