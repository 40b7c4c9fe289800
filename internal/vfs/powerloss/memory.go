package powerloss

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// ErrNoPower is the error of operations after the loss of power.
var ErrNoPower = errors.New("no power")

// Memory is a file system in memory that loses power after a number of operations. It
// implements vfs.FS.
type Memory struct {
	mu         sync.Mutex
	disk       *Disk
	operations int
	limit      int
}

// Unlimited is the number of operations of a Memory that keeps its power.
const Unlimited = int(^uint(0) >> 1)

// NewMemory returns a file system on a disk that loses power after limit operations.
func NewMemory(disk *Disk, limit int) *Memory { return &Memory{disk: disk, limit: limit} }

// Operations returns how many operations changed or synced something so far.
func (m *Memory) Operations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// LosePower returns a disk as a loss of power at this moment may leave it.
func (m *Memory) LosePower(random *rand.Rand) *Disk {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disk.Lose(random)
}

// Kill ends the process that uses the file system: its later operations fail, and nothing is
// lost. It returns the file system for the next process, which loses power after limit operations.
func (m *Memory) Kill(limit int) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = 0
	return NewMemory(m.disk, limit)
}

// apply applies an operation while there is power.
func (m *Memory) apply(o Operation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.operations >= m.limit {
		return ErrNoPower
	}
	m.operations++
	return m.disk.Apply(o)
}

// MkdirAll creates a folder and its missing parents.
func (m *Memory) MkdirAll(path string) error {
	if parent := filepath.Dir(path); parent != path && parent != "." {
		if err := m.MkdirAll(parent); err != nil {
			return err
		}
	}
	if m.has(path) {
		return nil
	}
	return m.apply(Operation{Kind: Mkdir, Path: path})
}

func (m *Memory) has(path string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disk.find(path) != nil
}

// Create creates or truncates a file.
func (m *Memory) Create(path string) (vfs.File, error) {
	if err := m.apply(Operation{Kind: Create, Path: path}); err != nil {
		return nil, err
	}
	return m.openNode(path), nil
}

// OpenFile opens a file that exists.
func (m *Memory) OpenFile(path string) (vfs.File, error) {
	if !m.has(path) {
		return nil, os.ErrNotExist
	}
	return m.openNode(path), nil
}

func (m *Memory) openNode(path string) *memoryFile {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &memoryFile{memory: m, node: m.disk.find(path)}
}

// ReadFile returns the content of a file.
func (m *Memory) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.disk.find(path)
	if n == nil || n.isFolder {
		return nil, os.ErrNotExist
	}
	return slices.Clone(n.content), nil
}

// List returns the names in a folder.
func (m *Memory) List(folder string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.disk.find(folder)
	if n == nil || !n.isFolder {
		return nil, os.ErrNotExist
	}
	return slices.Sorted(maps.Keys(n.names)), nil
}

// Rename renames a file.
func (m *Memory) Rename(from, to string) error {
	return m.apply(Operation{Kind: Rename, Path: from, To: to})
}

// Remove removes a file.
func (m *Memory) Remove(path string) error { return m.apply(Operation{Kind: Remove, Path: path}) }

// SyncFolder makes the names in a folder durable.
func (m *Memory) SyncFolder(path string) error {
	return m.apply(Operation{Kind: SyncFolder, Path: path})
}

// Lock always succeeds.
func (m *Memory) Lock(path string) (io.Closer, error) {
	if m.has(path) {
		return io.NopCloser(nil), nil
	}
	return io.NopCloser(nil), m.apply(Operation{Kind: Create, Path: path})
}

// memoryFile is an open file. It stays the same file when that is renamed.
type memoryFile struct {
	memory *Memory
	node   *node
	offset int64
}

// do applies a change of the file while there is power.
func (f *memoryFile) do(change func(n *node)) error {
	f.memory.mu.Lock()
	defer f.memory.mu.Unlock()
	if f.memory.operations >= f.memory.limit {
		return ErrNoPower
	}
	f.memory.operations++
	change(f.node)
	return nil
}

// Write writes at the position of the last Seek or Write.
func (f *memoryFile) Write(p []byte) (int, error) {
	err := f.do(func(n *node) { n.change(contentChange{offset: f.offset, data: slices.Clone(p)}) })
	if err != nil {
		return 0, err
	}
	f.offset += int64(len(p))
	return len(p), nil
}

// Seek sets the position of the next Write. Only io.SeekStart is supported.
func (f *memoryFile) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, os.ErrInvalid
	}
	f.offset = offset
	return offset, nil
}

// Truncate sets the size.
func (f *memoryFile) Truncate(size int64) error {
	return f.do(func(n *node) { n.change(contentChange{truncate: true, offset: size}) })
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	return f.do(func(n *node) { n.durable, n.pending = n.content, nil })
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }
