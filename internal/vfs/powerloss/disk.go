// Package powerloss models what a loss of power leaves of files and folders. A Disk takes
// every operation of a program and knows which of them are durable; Lose draws a state that a
// loss of power may leave. Memory is a file system on such a disk, for tests of a package.
// Recorder is the file system of the operating system with a record of all operations, for
// tests of whole processes.
package powerloss

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
)

// Operation is one operation on a disk, in the order in which the program did them.
type Operation struct {
	Kind Kind   `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// To is the new path of a Rename.
	To string `cbor:"3,keyasint,omitempty"`
	// Offset is the position in bytes of a Write and the new size of a Truncate.
	Offset int64  `cbor:"4,keyasint,omitempty"`
	Data   []byte `cbor:"5,keyasint,omitempty"`
}

// Kind is a kind of operation.
type Kind uint8

// The kinds of operations.
const (
	Mkdir Kind = iota + 1
	// Create makes an empty file, or truncates the file that exists.
	Create
	Write
	Truncate
	// Sync makes the content of a file durable.
	Sync
	Rename
	Remove
	// SyncFolder makes the names in a folder durable.
	SyncFolder
	// Settle makes everything durable, as it is on a disk that a process finds at its start.
	Settle
)

// Disk is a tree of files and folders with the changes that aren't durable yet. It is not
// safe for concurrent use.
type Disk struct{ root *node }

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{root: newFolder()} }

// node is a file or a folder. A rename moves the node, with the changes that aren't durable.
type node struct {
	isFolder bool

	// names are the names in a folder, durableNames those that are durable, and pendingNames
	// the changes since the last sync of the folder.
	names        map[string]*node
	durableNames map[string]*node
	pendingNames []nameChange

	// content is the content of a file, durable what its last sync covered, and pending the
	// changes since then.
	content []byte
	durable []byte
	pending []contentChange
}

// nameChange sets a name to a node, or removes it if the node is nil.
type nameChange struct {
	name string
	to   *node
}

// contentChange is a write of data at offset, or the truncation to offset.
type contentChange struct {
	truncate bool
	offset   int64
	data     []byte
}

func newFolder() *node {
	return &node{isFolder: true, names: map[string]*node{}, durableNames: map[string]*node{}}
}

// set changes a name in a folder.
func (n *node) set(name string, to *node) {
	if to == nil {
		delete(n.names, name)
	} else {
		n.names[name] = to
	}
	n.pendingNames = append(n.pendingNames, nameChange{name, to})
}

// change changes the content of a file.
func (n *node) change(c contentChange) {
	n.content = c.apply(n.content)
	n.pending = append(n.pending, c)
}

// apply returns the content after the change.
func (c contentChange) apply(content []byte) []byte {
	if !c.truncate && c.offset == int64(len(content)) {
		// Slices that share the array with content end at or before its end.
		return append(content, c.data...)
	}
	end := c.offset + int64(len(c.data))
	if c.truncate && int64(len(content)) >= c.offset {
		return slices.Clone(content[:c.offset])
	}
	changed := slices.Clone(content)
	if missing := end - int64(len(changed)); missing > 0 {
		changed = append(changed, make([]byte, missing)...)
	}
	copy(changed[c.offset:], c.data)
	return changed
}

// Apply applies an operation. The error is that of the operating system for the same call.
func (d *Disk) Apply(o Operation) error {
	if o.Kind == Settle {
		settle(d.root)
		return nil
	}
	if o.Kind == SyncFolder {
		return d.syncFolder(o.Path)
	}
	parent, name := d.find(filepath.Dir(o.Path)), filepath.Base(o.Path)
	if parent == nil || !parent.isFolder {
		return os.ErrNotExist
	}
	switch found := parent.names[name]; {
	case o.Kind == Mkdir && found == nil:
		parent.set(name, newFolder())
	case o.Kind == Mkdir && found.isFolder:
	case o.Kind == Mkdir:
		return os.ErrExist
	case o.Kind == Create && found == nil:
		parent.set(name, &node{})
	case found == nil:
		return os.ErrNotExist
	case o.Kind == Remove:
		parent.set(name, nil)
	case o.Kind == Rename:
		return d.rename(parent, name, o.To)
	case found.isFolder:
		return os.ErrInvalid
	case o.Kind == Create:
		found.change(contentChange{truncate: true})
	case o.Kind == Write:
		found.change(contentChange{offset: o.Offset, data: slices.Clone(o.Data)})
	case o.Kind == Truncate:
		found.change(contentChange{truncate: true, offset: o.Offset})
	case o.Kind == Sync:
		found.durable, found.pending = found.content, nil
	}
	return nil
}

func (d *Disk) syncFolder(path string) error {
	folder := d.find(path)
	if folder == nil || !folder.isFolder {
		return os.ErrNotExist
	}
	folder.durableNames, folder.pendingNames = maps.Clone(folder.names), nil
	return nil
}

// rename gives a node another name. The old and the new name are two changes, each of which a
// loss of power may keep without the other.
func (d *Disk) rename(parent *node, name, to string) error {
	target := d.find(filepath.Dir(to))
	if target == nil || !target.isFolder {
		return os.ErrNotExist
	}
	moved := parent.names[name]
	parent.set(name, nil)
	target.set(filepath.Base(to), moved)
	return nil
}

// find returns the node of a path, or nil.
func (d *Disk) find(path string) *node {
	n := d.root
	for _, name := range split(path) {
		if !n.isFolder || n.names[name] == nil {
			return nil
		}
		n = n.names[name]
	}
	return n
}

// split returns the names of a path.
func split(path string) []string {
	var names []string
	for path = filepath.Clean(path); path != "." && path != string(filepath.Separator); path = filepath.Dir(path) {
		names = append(names, filepath.Base(path))
	}
	slices.Reverse(names)
	return names
}

// settle makes everything durable.
func settle(n *node) {
	n.durable, n.pending = n.content, nil
	n.durableNames, n.pendingNames = maps.Clone(n.names), nil
	for _, child := range n.names {
		settle(child)
	}
}

// Lose returns a disk as a loss of power may leave this one. Of each name that isn't durable,
// each value since the last sync of its folder may be there, independently of all other names. Each
// change of a file since its last sync is present, missing or torn; in a third of the draws
// all changes are missing and in a third all are present.
func (d *Disk) Lose(random *rand.Rand) *Disk {
	return &Disk{root: lose(d.root, random, draw(random.IntN(int(drawCount))))}
}

// draw says which changes a loss of power keeps.
type draw int

const (
	keepNone draw = iota
	keepAll
	keepAny
	drawCount
)

// lose returns what is left of a node, with everything durable.
func lose(n *node, random *rand.Rand, kept draw) *node {
	if !n.isFolder {
		content := loseContent(n, random, kept)
		return &node{content: content, durable: content}
	}
	left := newFolder()
	for name, child := range loseNames(n, random, kept) {
		left.names[name] = lose(child, random, kept)
	}
	left.durableNames = maps.Clone(left.names)
	return left
}

// loseNames returns the names that are left in a folder.
func loseNames(n *node, random *rand.Rand, kept draw) map[string]*node {
	values := map[string][]*node{}
	for _, c := range n.pendingNames {
		if values[c.name] == nil {
			values[c.name] = []*node{n.durableNames[c.name]}
		}
		values[c.name] = append(values[c.name], c.to)
	}
	left := maps.Clone(n.durableNames)
	// The order of a map is random; the draws of a seed must not be.
	for _, name := range slices.Sorted(maps.Keys(values)) {
		chosen := 0
		switch kept {
		case keepAll:
			chosen = len(values[name]) - 1
		case keepAny:
			chosen = random.IntN(len(values[name]))
		}
		left[name] = values[name][chosen]
	}
	maps.DeleteFunc(left, func(_ string, child *node) bool { return child == nil })
	return left
}

// loseContent returns what is left of a file.
func loseContent(n *node, random *rand.Rand, kept draw) []byte {
	switch kept {
	case keepNone:
		return n.durable
	case keepAll:
		return n.content
	}
	// The content of the file shares the array with what is durable.
	content := slices.Clip(n.durable)
	for _, c := range n.pending {
		switch random.IntN(3) {
		case 0:
			content = c.apply(content)
		case 1:
			content = c.torn(random).apply(content)
		}
	}
	return content
}

// torn returns the part of a change that a loss of power in the middle leaves.
func (c contentChange) torn(random *rand.Rand) contentChange {
	if c.truncate || len(c.data) == 0 {
		return c
	}
	c.data = c.data[:random.IntN(len(c.data))]
	return c
}

// WriteTo writes the files and folders to a folder of the operating system.
func (d *Disk) WriteTo(folder string) error { return writeNode(d.root, folder) }

func writeNode(n *node, path string) error {
	if !n.isFolder {
		return os.WriteFile(path, n.content, 0o600)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	for name, child := range n.names {
		if err := writeNode(child, filepath.Join(path, name)); err != nil {
			return err
		}
	}
	return nil
}
