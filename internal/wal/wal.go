// Package wal keeps the log of one replica in one folder: entries and hard
// state in segments that are only appended to, snapshots in files of their own.
//
// Each file opens with a header that carries the format version. A record is
// framed by its length and a CRC-32C. At start the tail that a crash has torn
// is cut after the last whole record; damage to anything that was durable is
// refused with a DamageError and the folder stays as it is. The one exception
// can't be told apart: damage to the very last records of the last segment,
// with no later record that knows them to be durable, reads as a torn tail.
package wal

import (
	"bytes"
	"io"
	"os"
	"syscall"

	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// WAL is an open log. Its methods are not safe for concurrent use, except
// WriteSnapshot and Counters. After a failed write or sync every further call
// fails: what the kernel has dropped from its cache can't be synced again. A write
// that finds the disk full is the exception, see OnDiskFull.
type WAL struct {
	folder       string
	segmentBytes int64
	lockFile     *os.File

	state    logState
	segments []segment
	file     segmentFile
	salt     uint64
	length   int64
	synced   int64
	buffer   bytes.Buffer
	err      error
	// onDiskFull is nil until OnDiskFull is called.
	onDiskFull func() bool

	counters counters
}

// segmentFile is what the log needs of the file of its last segment.
type segmentFile interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// ErrDiskFull marks the error of a write that found the disk full until nobody wanted
// to wait any longer. What was written before is whole.
var ErrDiskFull = errors.New("the disk is full")

// OnDiskFull has a record or a segment that finds no room on the disk be written again
// for as long as wait returns true; wait takes the time between two tries. Then the
// error is an ErrDiskFull. Without OnDiskFull a full disk is a failed write.
//
// Failure guarded against: the disk is full for some seconds. Nothing of the record
// counts yet and none of it was promised to anybody, so what was written of it is cut
// off, and the log is as it was before. A failed sync is never tried again.
func (w *WAL) OnDiskFull(wait func() bool) { w.onDiskFull = wait }

// retry waits after a write that failed, and returns nil if it is to be tried again.
func (w *WAL) retry(err error) error {
	switch {
	case !errors.Is(err, syscall.ENOSPC) || w.onDiskFull == nil:
		return err
	case !w.onDiskFull():
		return errors.Mark(err, ErrDiskFull)
	}
	return nil
}

// truncateFailedWrite cuts off what a failed write has left after the last whole record.
func (w *WAL) truncateFailedWrite() error {
	if err := w.file.Truncate(w.length); err != nil {
		return errors.Wrap(err, "cut a record that found no room")
	}
	_, err := w.file.Seek(w.length, io.SeekStart)
	return errors.Wrap(err, "seek to the end of the log")
}

// Open reads the log in folder, which it creates when it is missing, and makes
// durable what it returns. A *DamageError means that the files are not what
// was written; nothing has been changed then.
func Open(folder string) (*WAL, replica.StoredState, error) {
	return open(folder, DefaultSegmentBytes)
}

func open(folder string, segmentBytes int64) (*WAL, replica.StoredState, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, replica.StoredState{}, errors.Wrap(err, "create the log folder")
	}
	lockFile, err := lockFolder(folder)
	if err != nil {
		return nil, replica.StoredState{}, err
	}
	w := &WAL{folder: folder, segmentBytes: segmentBytes, lockFile: lockFile}
	stored, err := w.load()
	if err != nil {
		_ = w.closeFiles()
		return nil, replica.StoredState{}, err
	}
	return w, stored, nil
}

func (w *WAL) load() (replica.StoredState, error) {
	files, err := listFiles(w.folder)
	if err != nil {
		return replica.StoredState{}, err
	}
	found, err := recoverFiles(files)
	if err != nil {
		return replica.StoredState{}, err
	}
	stored := replica.StoredState{
		HardState: found.state.hardState,
		Snapshot:  found.snapshot,
		Entries:   append([]replica.Entry(nil), found.state.entries...),
	}
	found.state.dropData()
	w.state, w.segments = found.state, found.segments
	if err := removeFiles(files.temporaries); err != nil {
		return replica.StoredState{}, err
	}
	return stored, w.openLastSegment(found)
}

// resume opens the last segment for writing. What was read must be durable
// before anyone relies on it: the bytes may still be in the cache of a process
// that was killed, and a power cut would then lose them.
func (w *WAL) openLastSegment(found *recoveredLog) error {
	if len(w.segments) == 0 {
		return w.startSegment()
	}
	f, err := os.OpenFile(w.segments[len(w.segments)-1].path, os.O_RDWR, 0o640)
	if err != nil {
		return errors.Wrap(err, "open the last segment")
	}
	w.file, w.salt, w.length = f, found.salt, found.length
	if found.torn {
		w.counters.tornTails.Add(1)
		if err := f.Truncate(found.length); err != nil {
			return errors.Wrap(err, "cut the torn tail")
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

// Save appends a hard state (nil when unchanged) and entries. An entry whose
// index is there already replaces it and all later ones. With sync, all that
// was saved so far is durable on return.
//
// A crash keeps all of one Save or nothing of it. A hard state may say that a
// recovering member holds all it promised; were it durable without the entries
// that make it true, the member would vote without them.
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
		current.highest = max(current.highest, e.Index)
	}
	w.counters.entries.Add(uint64(len(entries)))
	return nil
}

func (w *WAL) write(r *record) error {
	if w.err != nil {
		return w.err
	}
	r.Synced = w.synced
	if err := encodeFrame(&w.buffer, r, w.salt, w.length); err != nil {
		return w.setErr(err)
	}
	for {
		n, err := w.file.Write(w.buffer.Bytes())
		if err == nil {
			w.length += int64(n)
			w.counters.bytes.Add(uint64(n))
			return nil
		}
		if cut := w.truncateFailedWrite(); cut != nil {
			return w.setErr(errors.CombineErrors(errors.Wrap(err, "write to the log"), cut))
		}
		if err := w.retry(err); err != nil {
			return w.setErr(errors.Wrap(err, "write to the log"))
		}
	}
}

func (w *WAL) sync() error {
	if w.err != nil {
		return w.err
	}
	if w.synced == w.length {
		return nil
	}
	if err := w.file.Sync(); err != nil {
		return w.setErr(errors.Wrap(err, "sync the log"))
	}
	w.synced = w.length
	w.counters.syncs.Add(1)
	return nil
}

// keep remembers the first failure.
func (w *WAL) setErr(err error) error {
	if w.err == nil {
		w.err = err
	}
	return err
}

// roll makes the current segment durable and begins the next one, whose first
// record repeats all that older segments say besides entries.
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
	f, err := writeAtomically(path, head.encode(), w.buffer.Bytes())
	for err != nil {
		if err := w.retry(err); err != nil {
			return err
		}
		f, err = writeAtomically(path, head.encode(), w.buffer.Bytes())
	}
	if w.file != nil {
		_ = w.file.Close()
	}
	w.file, w.salt = f, head.salt
	w.length = headerSize + int64(w.buffer.Len())
	w.synced = w.length
	w.segments = append(w.segments, segment{path: path, sequence: next})
	return nil
}

func (w *WAL) firstRecord() *record {
	base, hs := w.state.last(), w.state.hardState
	r := &record{HardState: &hs, Base: &base}
	if mark := w.state.snapshot; mark.Index > 0 {
		r.Snapshot = &mark
	}
	return r
}

// Close makes all that was saved durable and closes the files.
func (w *WAL) Close() error {
	err := w.sync()
	if errors.Is(err, ErrDiskFull) {
		// Nothing that found no room was promised to anybody.
		err = nil
	}
	return errors.CombineErrors(err, w.closeFiles())
}

func (w *WAL) closeFiles() error {
	var err error
	if w.file != nil {
		err = w.file.Close()
	}
	if w.err == nil {
		w.err = errors.New("log is closed")
	}
	return errors.CombineErrors(err, w.lockFile.Close())
}
