// Package wal stores the log of one replica in one folder: entries and hard state in
// append-only segments, snapshots in files of their own.
//
// Each file starts with a header that carries the format version. A record is framed
// by its length and a CRC-32C. Open truncates a tail that a crash has torn after the
// last whole record. It refuses damage to durable data with a DamageError and leaves
// the folder unchanged. One kind of damage can't be distinguished from a torn tail: damage
// to the very last records of the last segment, if no later record declares them synced.
package wal

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
)

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 4 << 20

// WAL is an open log. Its methods are not safe for concurrent use, except
// WriteSnapshot and Counters. After a failed write or sync every further call fails.
// What the disk refuses is the exception, see Open.
type WAL struct {
	files        vfs.FS
	folder       string
	segmentBytes int64
	lock         io.Closer

	state    logState
	segments []segment
	// file is the last segment. salt, length and synced are its salt, its length and the
	// length that is synced, both in bytes.
	file   vfs.File
	salt   uint64
	length int64
	synced int64
	// unsynced are the bytes of the segment from synced to length.
	unsynced bytes.Buffer
	buffer   bytes.Buffer
	// err is the first failure, or says that the log is closed.
	err error
	// partial says that a failed write has left part of a record after length.
	partial bool
	// onRefused waits before the next attempt at an operation that the disk refuses, see Open; it
	// may be nil.
	onRefused func(error) bool

	counters counters
}

// ErrDiskRefuses marks the error of an operation that the disk refused, after the callback of Open
// returned false. Earlier records are whole.
var ErrDiskRefuses = errors.New("the disk refuses the operation")

// retryWhileRefused runs write again as long as the disk refuses it and the callback allows another
// attempt.
func (w *WAL) retryWhileRefused(write func() error) error {
	for {
		err := write()
		if err == nil {
			return nil
		}
		if err := w.waitToRetry(err); err != nil {
			return err
		}
	}
}

// waitToRetry waits after a failed write and returns nil if the caller must retry the write.
func (w *WAL) waitToRetry(err error) error {
	switch {
	case !vfs.IsRefused(err) || w.onRefused == nil:
		return err
	case !w.onRefused(err):
		return errors.Mark(err, ErrDiskRefuses)
	}
	return nil
}

// truncatePartial removes the partial record that a failed write has left, if any.
func (w *WAL) truncatePartial() error {
	if !w.partial {
		return nil
	}
	if err := w.file.Truncate(w.length); err != nil {
		return errors.Wrap(err, "truncate a partial record")
	}
	if _, err := w.file.Seek(w.length, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to the end of the log")
	}
	w.partial = false
	return nil
}

// Open opens the log in a folder of a file system, which it creates if it is missing, and returns
// the stored state, which it has made durable. A *DamageError means that a file doesn't contain
// what was written to it; in this case Open has changed nothing.
//
// onRefused is a callback for what the disk refuses (see vfs.IsRefused), reads of Open included.
// It blocks until the next attempt and returns true to retry, or false to fail with
// ErrDiskRefuses. Without a callback a refused operation fails like any other.
//
// A disk that is full or faulty for some seconds must not stop the member. No part of the
// record was acknowledged yet, so the log truncates the partial record and is as before the
// write. A failed sync is never repeated on the same file: the kernel may have dropped the data
// from its cache, and the next sync succeeds without it. The log writes the segment anew instead,
// see rewriteSegment.
func Open(files vfs.FS, folder string, onRefused func(error) bool) (*WAL, replica.StoredState, error) {
	return open(files, folder, DefaultSegmentBytes, onRefused)
}

func open(files vfs.FS, folder string, segmentBytes int64, onRefused func(error) bool) (*WAL, replica.StoredState, error) {
	for {
		w := &WAL{files: files, folder: folder, segmentBytes: segmentBytes, onRefused: onRefused}
		stored, err := w.tryOpen()
		if err == nil {
			return w, stored, nil
		}
		if errors.Is(err, ErrDiskRefuses) {
			return nil, replica.StoredState{}, err
		}
		if err := w.waitToRetry(err); err != nil {
			return nil, replica.StoredState{}, err
		}
	}
}

// tryOpen makes one attempt to open the log. After a failure no file is open.
func (w *WAL) tryOpen() (replica.StoredState, error) {
	if err := w.createFolder(); err != nil {
		return replica.StoredState{}, err
	}
	if err := w.retryWhileRefused(w.lockFolder); err != nil {
		return replica.StoredState{}, err
	}
	stored, err := w.load()
	if err != nil {
		_ = w.closeFiles()
		return replica.StoredState{}, err
	}
	return stored, nil
}

// Read returns the stored state of a log, which is the zero value if the folder is missing. It
// changes nothing. The log must not be open.
func Read(files vfs.FS, folder string) (replica.StoredState, error) {
	listed, err := listFiles(files, folder)
	if errors.Is(err, os.ErrNotExist) {
		return replica.StoredState{}, nil
	}
	if err != nil {
		return replica.StoredState{}, err
	}
	found, err := recoverFiles(files, listed)
	if err != nil {
		return replica.StoredState{}, err
	}
	return found.stored(), nil
}

// createFolder creates the folder of the log and its missing parents, with durable names:
// without them, a loss of power removes the log with everything synced in it.
func (w *WAL) createFolder() error {
	if err := w.retryWhileRefused(func() error { return vfs.MkdirAllDurable(w.files, w.folder) }); err != nil {
		return errors.Wrap(err, "create the log folder")
	}
	return errors.Wrap(w.files.SyncFolder(filepath.Dir(w.folder)), "sync the folder above the log")
}

// lockFolder takes the lock of the folder, or fails if another process has it. The records of
// two writers would interleave, and Open would report damage.
func (w *WAL) lockFolder() error {
	lock, err := w.files.Lock(filepath.Join(w.folder, lockName))
	if errors.Is(err, vfs.ErrLocked) {
		return errors.Wrapf(err, "log folder %s is in use by another process", w.folder)
	}
	w.lock = lock
	return errors.Wrap(err, "open the lock file")
}

// load reads the files and opens the last segment for writing.
func (w *WAL) load() (replica.StoredState, error) {
	listed, err := listFiles(w.files, w.folder)
	if err != nil {
		return replica.StoredState{}, err
	}
	found, err := recoverFiles(w.files, listed)
	if err != nil {
		return replica.StoredState{}, err
	}
	stored := found.stored()
	found.state.dropData()
	w.state, w.segments = found.state, found.segments
	// A process that was killed may have renamed a file without a sync of the folder.
	if err := w.files.SyncFolder(w.folder); err != nil {
		return replica.StoredState{}, errors.Wrap(err, "sync the log folder")
	}
	if err := removeFiles(w.files, append(found.replaced, listed.temporaries...)); err != nil {
		return replica.StoredState{}, err
	}
	return stored, w.openLastSegment(found)
}

// openLastSegment opens the last segment for writing and syncs it. Records written by a
// process that was killed may still be only in the kernel's cache; without the sync a loss
// of power could remove data that the caller already relies on.
func (w *WAL) openLastSegment(found *recoveredLog) error {
	if len(w.segments) == 0 {
		return w.startSegment()
	}
	f, err := w.files.OpenFile(w.segments[len(w.segments)-1].path)
	if err != nil {
		return errors.Wrap(err, "open the last segment")
	}
	w.file, w.salt, w.length = f, found.salt, found.length
	w.unsynced.Write(found.content)
	if found.torn {
		w.counters.tornTails.Add(1)
		if err := f.Truncate(found.length); err != nil {
			return errors.Wrap(err, "truncate the torn tail")
		}
	}
	if _, err := f.Seek(found.length, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to the end of the log")
	}
	if err := w.sync(); err != nil {
		return err
	}
	if found.snapshot.Index == 0 {
		return nil
	}
	return w.AdoptSnapshot(found.snapshot)
}

// Save appends a hard state (nil when unchanged) and entries. An entry whose index is
// already present replaces that entry and all later ones. With sync, everything saved
// so far is durable on return.
//
// After a crash, either everything of one Save is stored or nothing. A hard state may say
// that a recovering member now holds everything it acknowledged. If that hard state were
// durable without its entries, the member would vote without them.
func (w *WAL) Save(hs *replica.HardState, entries []replica.Entry, sync bool) error {
	if w.err != nil {
		return w.err
	}
	if hs != nil || len(entries) > 0 {
		if err := w.saveRecord(hs, entries); err != nil {
			return err
		}
	}
	if !sync {
		return nil
	}
	return w.sync()
}

// saveRecord writes one record, in a new segment if the current one is full.
func (w *WAL) saveRecord(hs *replica.HardState, entries []replica.Entry) error {
	if w.length >= w.segmentBytes {
		if err := w.startSegment(); err != nil {
			return w.setErr(err)
		}
	}
	r := &record{HardState: hs, Entries: entries}
	if len(entries) > 0 {
		r.PreviousTerm = w.state.termAt(entries[0].Index - 1)
	}
	if err := w.state.append(withoutData(entries)); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "entries don't continue the log"))
	}
	if err := w.write(r); err != nil {
		return err
	}
	if hs != nil {
		w.state.hardState = *hs
	}
	current := &w.segments[len(w.segments)-1]
	for _, e := range entries {
		current.highestIndex = max(current.highestIndex, e.Index)
	}
	w.counters.entries.Add(uint64(len(entries)))
	return nil
}

// write appends a record to the segment. It retries while the disk refuses, see Open; any
// other failure is final.
func (w *WAL) write(r *record) error {
	if w.err != nil {
		return w.err
	}
	r.Synced = w.synced
	if err := encodeFrame(&w.buffer, r, w.salt, w.length); err != nil {
		return w.setErr(err)
	}
	if err := w.retryWhileRefused(w.appendBuffer); err != nil {
		return w.setErr(errors.Wrap(err, "write to the log"))
	}
	return nil
}

// appendBuffer makes one attempt to append the buffer to the segment. If it fails, it removes what
// has been written, or leaves that to the next attempt.
func (w *WAL) appendBuffer() error {
	if err := w.truncatePartial(); err != nil {
		return err
	}
	n, err := w.file.Write(w.buffer.Bytes())
	if err != nil {
		w.partial = true
		return errors.CombineErrors(err, w.truncatePartial())
	}
	w.length += int64(n)
	w.unsynced.Write(w.buffer.Bytes())
	w.counters.bytes.Add(uint64(n))
	return nil
}

// sync makes all written records durable. While the disk refuses, it writes the segment anew, see
// Open; any other failure is final.
func (w *WAL) sync() error {
	if w.err != nil {
		return w.err
	}
	if w.synced == w.length {
		return nil
	}
	err := w.file.Sync()
	if err != nil {
		err = w.waitToRetry(err)
		if err == nil {
			err = w.retryWhileRefused(w.rewriteSegment)
		}
	}
	if err != nil {
		return w.setErr(errors.Wrap(err, "sync the log"))
	}
	w.setSynced()
	w.counters.syncs.Add(1)
	return nil
}

// maxKeptBuffer is the largest buffer that is kept for the next records, in bytes.
const maxKeptBuffer = 256 << 10

// setSynced records that the whole segment is durable.
func (w *WAL) setSynced() {
	w.synced = w.length
	w.unsynced.Reset()
	if w.unsynced.Cap() > maxKeptBuffer {
		w.unsynced = bytes.Buffer{}
	}
}

// setErr stores err as the failure of the log unless there was an earlier one, and returns
// err.
func (w *WAL) setErr(err error) error {
	if w.err == nil {
		w.err = err
	}
	return err
}

// startSegment makes the current segment durable and starts the next one, whose first
// record repeats all state of older segments except entries.
func (w *WAL) startSegment() error {
	next := uint64(1)
	if n := len(w.segments); n > 0 {
		if err := w.sync(); err != nil {
			return err
		}
		next = w.segments[n-1].sequence + 1
	}
	head := header{magic: segmentMagic, salt: newSalt(), sequence: next}
	if err := encodeFrame(&w.buffer, w.firstRecord(), head.salt, headerSize); err != nil {
		return err
	}
	path := numberedPath(w.folder, next, segmentSuffix)
	var f vfs.File
	err := w.retryWhileRefused(func() (err error) {
		f, err = vfs.WriteAtomically(w.files, path, head.encode(), w.buffer.Bytes())
		return err
	})
	if err != nil {
		return err
	}
	if w.file != nil {
		_ = w.file.Close()
	}
	w.file, w.salt = f, head.salt
	w.length = headerSize + int64(w.buffer.Len())
	w.setSynced()
	w.segments = append(w.segments, segment{path: path, sequence: next})
	return nil
}

// firstRecord returns the first record of the next segment.
func (w *WAL) firstRecord() *record {
	base, hs := w.state.last(), w.state.hardState
	r := &record{HardState: &hs, Base: &base}
	if snapshot := w.state.snapshot; snapshot.Index > 0 {
		r.Snapshot = &snapshot
	}
	return r
}

// Close makes everything saved durable and closes the files.
func (w *WAL) Close() error {
	err := w.sync()
	if errors.Is(err, ErrDiskRefuses) {
		// No part of the record that the disk refused was acknowledged.
		err = nil
	}
	return errors.CombineErrors(err, w.closeFiles())
}

// closeFiles closes the segment and releases the lock.
func (w *WAL) closeFiles() error {
	var err error
	if w.file != nil {
		err = w.file.Close()
	}
	if w.err == nil {
		w.err = errors.New("log is closed")
	}
	return errors.CombineErrors(err, w.lock.Close())
}
