package wal

import (
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
)

// segment is one segment file of the log.
type segment struct {
	path     string
	sequence uint64
	// highestIndex is the highest entry index written to the segment.
	highestIndex uint64
}

// recoveredLog is the content of a log folder. Reading it changes no file.
type recoveredLog struct {
	files    vfs.FS
	state    logState
	segments []segment
	snapshot replica.Snapshot
	// snapshotPath is the file of snapshot.
	snapshotPath string
	// salt is the salt of the last segment. content is the segment up to the end of its last whole
	// record, and length its length in bytes; torn is true when bytes follow that record.
	salt    uint64
	content []byte
	length  int64
	torn    bool
	// replaced are the files of segments before a gap, which the snapshot replaces.
	replaced []string
}

// recoverFiles reads the segments and the newest snapshot of a folder.
func recoverFiles(fsys vfs.FS, files logFiles) (*recoveredLog, error) {
	r := &recoveredLog{files: fsys}
	var segments []string
	r.replaced, segments = splitAtLastGap(files.segments)
	for i, path := range segments {
		if err := r.readSegment(path, i == 0, i == len(segments)-1); err != nil {
			return nil, err
		}
	}
	if n := len(files.snapshots); n > 0 {
		s, err := readSnapshot(fsys, files.snapshots[n-1])
		if err != nil {
			return nil, err
		}
		r.snapshot, r.snapshotPath = s, files.snapshots[n-1]
	}
	return r, r.reconcileSnapshot()
}

// stored returns a copy of the state that was read.
func (r *recoveredLog) stored() replica.StoredState {
	return replica.StoredState{
		HardState: r.state.hardState,
		Snapshot:  r.snapshot,
		Entries:   append([]replica.Entry(nil), r.state.entries...),
	}
}

// splitAtLastGap divides segments into those before the last gap in their numbers and those
// after it. After a loss of power any of the segments that a snapshot replaced may be back,
// because their removal isn't synced. The first record after the gap repeats all state but the
// entries, and reconcileSnapshot refuses a log whose snapshot doesn't cover the entries before it.
func splitAtLastGap(segments []string) (before, after []string) {
	start := max(0, len(segments)-1)
	for start > 0 && numberInPath(segments[start-1])+1 == numberInPath(segments[start]) {
		start--
	}
	return segments[:start], segments[start:]
}

// readSegment applies the records of one segment.
func (r *recoveredLog) readSegment(path string, oldest, newest bool) error {
	file, err := r.files.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read a segment")
	}
	head, err := decodeHeader(file, segmentMagic)
	if err != nil {
		return damaged(path, 0, err)
	}
	if !oldest && head.sequence != r.segments[len(r.segments)-1].sequence+1 {
		return damaged(path, 0, errors.Newf("segment %d is missing before it", head.sequence-1))
	}
	r.segments = append(r.segments, segment{path: path, sequence: head.sequence})
	end, err := r.readRecords(path, file, head.salt, oldest, newest)
	if err != nil {
		return err
	}
	r.salt, r.length, r.torn = head.salt, end, end < int64(len(file))
	r.content = file[:end]
	return nil
}

// readRecords applies the records of a segment and returns the offset after the last
// whole one.
func (r *recoveredLog) readRecords(path string, file []byte, salt uint64, oldest, newest bool) (int64, error) {
	current := &r.segments[len(r.segments)-1]
	offset := int64(headerSize)
	for offset < int64(len(file)) {
		payload, err := decodeFrame(file, salt, offset)
		if err != nil {
			if newest && offset > headerSize && isTorn(file, salt, offset) {
				return offset, nil
			}
			return 0, damaged(path, offset, err)
		}
		rec, err := decodeRecord(payload)
		if err != nil {
			return 0, damaged(path, offset, err)
		}
		if err := r.state.apply(rec, offset == headerSize, oldest); err != nil {
			return 0, damaged(path, offset, err)
		}
		for _, e := range rec.Entries {
			current.highestIndex = max(current.highestIndex, e.Index)
		}
		offset += frameSize + int64(len(payload))
	}
	if offset == headerSize {
		return 0, damaged(path, offset, errors.New("segment contains no record"))
	}
	return offset, nil
}

// isTorn reports whether the invalid record at offset is a tail torn by a crash
// rather than damage to durable data. A crash can tear any record that wasn't synced yet,
// whatever its position, so whole records may follow a torn one. A crash can't tear a
// record that a later one declares synced; truncating the log there would silently lose
// acknowledged entries.
func isTorn(file []byte, salt uint64, offset int64) bool {
	for at, payload := nextFrame(file, salt, offset); payload != nil; at, payload = nextFrame(file, salt, at) {
		rec, err := decodeRecord(payload)
		if err != nil || rec.Synced > offset {
			return false
		}
	}
	return true
}

// reconcileSnapshot applies the newest snapshot to the log. It returns a *DamageError if a
// snapshot that a record names or entries after the snapshot are missing.
func (r *recoveredLog) reconcileSnapshot() error {
	state := &r.state
	if len(r.segments) == 0 {
		if r.snapshot.Index > 0 {
			return damaged(r.snapshotPath, 0, errors.New("there is a snapshot but no segment"))
		}
		return nil
	}
	first := r.segments[0].path
	at := position{r.snapshot.Index, r.snapshot.Term}
	if state.snapshot.Index > at.Index {
		return damaged(first, 0, errors.Newf("snapshot of entry %d is missing", state.snapshot.Index))
	}
	if state.base.Index > at.Index {
		return damaged(first, 0, errors.Newf("entries before %d are missing", state.base.Index+1))
	}
	// A crash between the rename of a snapshot and the write of the record that names it
	// leaves a snapshot that no record names. Such a snapshot is valid.
	if at.Index > 0 {
		state.applySnapshot(at)
	}
	state.hardState.Commit = max(state.hardState.Commit, at.Index)
	state.hardState.Commit = min(state.hardState.Commit, state.last().Index)
	return nil
}
