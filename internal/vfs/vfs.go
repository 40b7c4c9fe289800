// Package vfs is the interface of the file operations with which durable state is stored. OS
// uses the operating system; package powerloss has implementations for tests, which know
// what a loss of power may leave.
package vfs

import (
	"io"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS is a file system. Its errors are those of package os. It is safe for concurrent use.
type FS interface {
	// MkdirAll creates a folder and its missing parents.
	MkdirAll(path string) error
	// Create creates a file, or truncates the one that exists, for writing.
	Create(path string) (File, error)
	// OpenFile opens a file that exists for writing at its start.
	OpenFile(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// List returns the names in a folder, sorted.
	List(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder durable: those that were created, renamed and
	// removed. The sync of a file covers only its content.
	SyncFolder(path string) error
	// Lock takes the lock of a file, which it creates if it is missing, until the result is
	// closed or the process ends. It returns ErrLocked if another process has the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	// Sync makes the content of the file durable.
	Sync() error
}

// ErrLocked says that another process has the lock of a file.
var ErrLocked = errors.New("locked by another process")

// Permissions of new files and folders.
const (
	filePermissions   = 0o640
	folderPermissions = 0o750
)

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates a folder and its missing parents.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderPermissions) }

// Create creates or truncates a file.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// OpenFile opens a file that exists.
func (OS) OpenFile(path string) (File, error) { return os.OpenFile(path, os.O_RDWR, filePermissions) }

// ReadFile returns the content of a file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// List returns the names in a folder.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder syncs a folder.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

// Lock takes the lock of a file. The kernel releases it when the process ends.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Mark(err, ErrLocked), f.Close())
	}
	return f, nil
}
