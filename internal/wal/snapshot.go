package wal

import (
	"bytes"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
)

// WriteSnapshot makes a snapshot durable in a file of its own. It may run
// concurrently with Save. AdoptSnapshot must follow.
func (w *WAL) WriteSnapshot(s replica.Snapshot) error {
	head := header{magic: snapshotMagic, salt: newSalt(), sequence: s.Index}
	var frame bytes.Buffer
	if err := encodeFrame(&frame, s, head.salt, headerSize); err != nil {
		return err
	}
	f, err := vfs.WriteAtomically(w.files, numberedPath(w.folder, s.Index, snapshotSuffix), head.encode(), frame.Bytes())
	if err != nil {
		return err
	}
	return errors.Wrap(f.Close(), "close a snapshot")
}

// readSnapshot reads a snapshot file. Damage is a *DamageError.
func readSnapshot(files vfs.FS, path string) (replica.Snapshot, error) {
	file, err := files.ReadFile(path)
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "read a snapshot")
	}
	head, err := decodeHeader(file, snapshotMagic)
	if err != nil {
		return replica.Snapshot{}, damaged(path, 0, err)
	}
	payload, err := decodeFrame(file, head.salt, headerSize)
	if err != nil {
		return replica.Snapshot{}, damaged(path, headerSize, err)
	}
	var s replica.Snapshot
	if err := decoder.Unmarshal(payload, &s); err != nil {
		return replica.Snapshot{}, damaged(path, headerSize, err)
	}
	if s.Index != numberInPath(path) {
		return replica.Snapshot{}, damaged(path, headerSize, errors.Newf("file contains the snapshot of entry %d", s.Index))
	}
	return s, nil
}

// AdoptSnapshot records that the durable snapshot of WriteSnapshot replaces the log
// up to its entry. It then removes older snapshots and the segments that hold only
// replaced entries. Entries after the snapshot stay if they continue it.
func (w *WAL) AdoptSnapshot(s replica.Snapshot) error {
	if w.err != nil {
		return w.err
	}
	at := position{s.Index, s.Term}
	if err := w.write(&record{Snapshot: &at}); err != nil {
		return err
	}
	w.state.applySnapshot(at)
	if err := w.sync(); err != nil {
		return err
	}
	if err := w.removeOld(); err != nil && !vfs.IsRefused(err) {
		return w.setErr(err)
	}
	return nil
}

// SaveSnapshot makes a snapshot durable and replaces the log up to its entry. It retries while
// the disk refuses, see Open.
func (w *WAL) SaveSnapshot(s replica.Snapshot) error {
	if err := w.retryWhileRefused(func() error { return w.WriteSnapshot(s) }); err != nil {
		return w.setErr(err)
	}
	return w.AdoptSnapshot(s)
}

// removeOld deletes the files that the newest snapshot replaces. The snapshot and the
// record that names it are durable by now, so a crash meanwhile loses nothing. Files that it can't
// delete are left to the next snapshot or start.
func (w *WAL) removeOld() error {
	files, err := listFiles(w.files, w.folder)
	if err != nil {
		return err
	}
	var old []string
	for _, path := range files.snapshots {
		if numberInPath(path) < w.state.snapshot.Index {
			old = append(old, path)
		}
	}
	kept := w.segments
	for len(kept) > 1 && kept[0].highestIndex <= w.state.snapshot.Index {
		old = append(old, kept[0].path)
		kept = kept[1:]
	}
	if err := removeFiles(w.files, old); err != nil {
		return err
	}
	w.segments = kept
	return nil
}
