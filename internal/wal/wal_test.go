package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// smallSegmentBytes makes a few entries fill a segment.
const smallSegmentBytes = 512

// entry returns an entry whose data names its index and term.
func entry(index, term uint64) replica.Entry {
	return replica.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// entryRange returns the entries from..to, both included, of one term.
func entryRange(from, to, term uint64) []replica.Entry {
	var entries []replica.Entry
	for i := from; i <= to; i++ {
		entries = append(entries, entry(i, term))
	}
	return entries
}

func mustOpen(t must.T, folder string, segmentBytes int64) (*WAL, replica.StoredState) {
	t.Helper()
	w, stored, err := open(vfs.OS{}, folder, segmentBytes, nil)
	must.NoError(t, err)
	return w, stored
}

// readBack reads a folder with small segments and closes it again.
func readBack(t must.T, folder string) replica.StoredState {
	t.Helper()
	w, stored := mustOpen(t, folder, smallSegmentBytes)
	must.NoError(t, w.Close())
	return stored
}

// saveOneByOne saves each entry in a record of its own, so that they fill several
// segments.
func saveOneByOne(t must.T, w *WAL, hs *replica.HardState, entries []replica.Entry) {
	t.Helper()
	for i := range entries {
		must.NoError(t, w.Save(hs, entries[i:i+1], true))
	}
}

// copyFolder copies the files of an open log, as a process killed at that moment would
// leave them.
func copyFolder(t must.T, from, to string) {
	t.Helper()
	must.NoError(t, os.RemoveAll(to))
	must.NoError(t, os.CopyFS(to, os.DirFS(from)))
}

func lastSegment(t must.T, folder string) string {
	t.Helper()
	files, err := listFiles(vfs.OS{}, folder)
	must.NoError(t, err)
	return files.segments[len(files.segments)-1]
}

// The last hard state and the entries of several segments must be read back. Entries that a
// later Save replaced must not come back.
func TestSavedStateIsReadBack(t *testing.T) {
	folder := t.TempDir()
	w, stored := mustOpen(t, folder, smallSegmentBytes)
	must.Eq(t, replica.StoredState{}, stored)
	saveOneByOne(t, w, &replica.HardState{Term: 2, Vote: "b"}, entryRange(1, 40, 1))
	saveOneByOne(t, w, &replica.HardState{Term: 3, Commit: 30}, entryRange(35, 50, 3))
	must.Greater(t, 3, len(w.segments))
	must.NoError(t, w.Close())

	w, stored = mustOpen(t, folder, smallSegmentBytes)
	defer w.Close()
	must.Eq(t, replica.HardState{Term: 3, Commit: 30}, stored.HardState)
	must.Eq(t, append(entryRange(1, 34, 1), entryRange(35, 50, 3)...), stored.Entries)
}

// Two processes that write to one folder would damage the log, so the second Open must fail.
func TestSecondProcessIsRefused(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, smallSegmentBytes)
	defer w.Close()
	_, _, err := Open(vfs.OS{}, folder, nil)
	must.ErrorContains(t, err, "in use by another process")
}

// A snapshot must replace the log up to its entry and remove the segments and snapshots that
// are no longer needed. Entries after the snapshot stay if they continue it.
func TestSnapshotReplacesTheLogBeforeIt(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, smallSegmentBytes)
	saveOneByOne(t, w, &replica.HardState{Term: 1, Commit: 60}, entryRange(1, 60, 1))
	before := len(w.segments)
	s := replica.Snapshot{Index: 50, Term: 1, Members: []replica.Member{{ID: "a"}}, Data: []byte("state")}
	must.NoError(t, w.SaveSnapshot(s))
	must.Less(t, before, len(w.segments))
	saveOneByOne(t, w, nil, entryRange(61, 70, 1))
	must.NoError(t, w.Close())

	stored := readBack(t, folder)
	must.Eq(t, s, stored.Snapshot)
	must.Eq(t, entryRange(51, 70, 1), stored.Entries)

	// A leader's snapshot of a different history replaces all entries.
	w, _ = mustOpen(t, folder, smallSegmentBytes)
	s = replica.Snapshot{Index: 65, Term: 4}
	must.NoError(t, w.SaveSnapshot(s))
	must.NoError(t, w.Save(nil, entryRange(66, 67, 4), true))
	must.NoError(t, w.Close())
	stored = readBack(t, folder)
	must.Eq(t, s, stored.Snapshot)
	must.Eq(t, entryRange(66, 67, 4), stored.Entries)
	files, err := listFiles(vfs.OS{}, folder)
	must.NoError(t, err)
	must.Len(t, 1, files.snapshots)
}

// The power fails while the last record is written. Any prefix of it, followed by
// zeros or garbage, may be on the disk. Open must return everything before that
// record, and writing must continue.
func TestTornTailIsTruncatedAtEveryOffset(t *testing.T) {
	folder, crashed := t.TempDir(), filepath.Join(t.TempDir(), "crashed")
	w, _ := mustOpen(t, folder, DefaultSegmentBytes)
	must.NoError(t, w.Save(&replica.HardState{Term: 1}, entryRange(1, 3, 1), true))
	const garbageBytes = 40 // zeros or garbage after the torn record
	start := w.length
	must.NoError(t, w.Save(&replica.HardState{Term: 2}, entryRange(4, 5, 2), false))
	whole, err := os.ReadFile(lastSegment(t, folder))
	must.NoError(t, err)
	for cut := start; cut < w.length; cut++ {
		for _, tail := range [][]byte{nil, make([]byte, garbageBytes), bytes.Repeat([]byte{0x5a}, garbageBytes)} {
			copyFolder(t, folder, crashed)
			torn := append(append([]byte(nil), whole[:cut]...), tail...)
			if bytes.HasPrefix(torn, whole) {
				continue
			}
			must.NoError(t, os.WriteFile(lastSegment(t, crashed), torn, 0o600))
			c, stored := mustOpen(t, crashed, DefaultSegmentBytes)
			must.Eq(t, entryRange(1, 3, 1), stored.Entries)
			must.Eq(t, 1, stored.HardState.Term)
			must.NoError(t, c.Save(nil, entryRange(4, 6, 2), true))
			must.NoError(t, c.Close())
			must.Len(t, 6, readBack(t, crashed).Entries)
		}
	}
	must.NoError(t, w.Close())
}

// A disk flips a bit in a record that was synced and acknowledged earlier. Truncating
// the log there would silently lose committed entries. Open must fail, name the
// location, and leave the files unchanged for a repair.
func TestDamagedSyncedRecordIsRefused(t *testing.T) {
	folder, damagedFolder := t.TempDir(), filepath.Join(t.TempDir(), "damaged")
	w, _ := mustOpen(t, folder, smallSegmentBytes)
	saveOneByOne(t, w, nil, entryRange(1, 30, 1))
	const offsetStep = 3 // bytes between two flipped bits, which keeps the test short
	segments := len(w.segments)
	start := w.length
	must.NoError(t, w.Save(nil, entryRange(31, 31, 1), true))
	must.Eq(t, segments, len(w.segments))
	must.NoError(t, w.Close())
	files, err := listFiles(vfs.OS{}, folder)
	must.NoError(t, err)
	for i, path := range files.segments {
		whole, err := os.ReadFile(path)
		must.NoError(t, err)
		end := int64(len(whole))
		if i == len(files.segments)-1 {
			end = start // damage to the last record of the last segment looks like a torn tail
		}
		for at := int64(0); at < end; at += offsetStep {
			copyFolder(t, folder, damagedFolder)
			flipped := append([]byte(nil), whole...)
			flipped[at] ^= 0x10
			damagedFile := filepath.Join(damagedFolder, filepath.Base(path))
			must.NoError(t, os.WriteFile(damagedFile, flipped, 0o600))
			_, _, err := open(vfs.OS{}, damagedFolder, smallSegmentBytes, nil)
			var damage *DamageError
			must.True(t, errors.As(err, &damage), must.Sprintf("offset %d of %s: %v", at, path, err))
			must.Eq(t, damagedFile, damage.File)
			must.LessEq(t, at, damage.Offset)
			left, err := os.ReadFile(damagedFile)
			must.NoError(t, err)
			must.Eq(t, flipped, left)
		}
	}
}

// Records written without a sync reach the disk out of order: the second is whole,
// the first is torn. Neither was acknowledged, so Open must drop both rather than
// report damage.
func TestUnsyncedRecordsMayBeTornOutOfOrder(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, DefaultSegmentBytes)
	must.NoError(t, w.Save(nil, entryRange(1, 3, 1), true))
	start := w.length
	must.NoError(t, w.Save(nil, entryRange(4, 4, 1), false))
	must.NoError(t, w.Save(nil, entryRange(5, 5, 1), false))
	must.NoError(t, w.Close())
	path := lastSegment(t, folder)
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	clear(whole[start+20 : start+30]) // in the payload of the first unsynced record
	must.NoError(t, os.WriteFile(path, whole, 0o600))
	must.Eq(t, entryRange(1, 3, 1), readBack(t, folder).Entries)
}

// A command contains the bytes of a whole record, and the record that contains the
// command is torn. If the bytes in the command were read as a record that declares earlier
// bytes synced, Open would report damage: a caller could make a member refuse to start.
func TestRecordBytesInsideCommandAreNotARecord(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, DefaultSegmentBytes)
	must.NoError(t, w.Save(nil, entryRange(1, 1, 1), true))
	start := w.length
	// The caller is assumed to know everything except the salt, even the offset.
	var outer, inner bytes.Buffer
	placeholder := bytes.Repeat([]byte{0xee}, 17)
	outerRecord := func(data []byte) *record {
		return &record{Entries: []replica.Entry{{Index: 2, Term: 1, Data: data}}, Synced: w.synced, PreviousTerm: 1}
	}
	must.NoError(t, encodeFrame(&outer, outerRecord(placeholder), w.salt, start))
	at := start + int64(bytes.Index(outer.Bytes(), placeholder))
	must.NoError(t, encodeFrame(&inner, &record{Synced: 1 << 15}, 0, at))
	must.Len(t, len(placeholder), inner.Bytes())
	must.NoError(t, w.Save(nil, outerRecord(inner.Bytes()).Entries, false))
	must.NoError(t, w.Close())
	path := lastSegment(t, folder)
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	whole[start+8] ^= 1 // the checksum of the outer record
	must.NoError(t, os.WriteFile(path, whole, 0o600))
	must.Len(t, 1, readBack(t, folder).Entries)
}

// The process fails after the rename of a snapshot, before a record names the snapshot or
// old segments are removed. Open must use the snapshot, and must not report a gap if the
// log goes on after it.
func TestSnapshotSurvivesCrashBeforeOldSegmentsAreRemoved(t *testing.T) {
	for _, s := range []replica.Snapshot{{Index: 30, Term: 1}, {Index: 30, Term: 2}, {Index: 90, Term: 2}} {
		folder, crashed := t.TempDir(), filepath.Join(t.TempDir(), "crashed")
		w, _ := mustOpen(t, folder, smallSegmentBytes)
		saveOneByOne(t, w, &replica.HardState{Term: 2}, entryRange(1, 40, 1))
		must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 10, Term: 1}))
		must.NoError(t, w.WriteSnapshot(s))
		copyFolder(t, folder, crashed)
		must.NoError(t, w.Close())

		var want []replica.Entry
		if s.Term == 1 {
			want = entryRange(31, 40, 1)
		}
		c, stored := mustOpen(t, crashed, smallSegmentBytes)
		must.Eq(t, s, stored.Snapshot)
		must.Eq(t, want, stored.Entries)
		must.NoError(t, c.Save(nil, entryRange(s.Index+1, s.Index+20, 3), true))
		must.NoError(t, c.Close())
		must.Eq(t, entryRange(s.Index+1, s.Index+20, 3), readBack(t, crashed).Entries)
	}
}

// A segment or a snapshot file is missing. Open must report the gap rather than continue
// without the entries in that file.
func TestMissingFilesAreRefused(t *testing.T) {
	for _, name := range []string{"segments", "snapshots"} {
		folder := t.TempDir()
		w, _ := mustOpen(t, folder, smallSegmentBytes)
		saveOneByOne(t, w, nil, entryRange(1, 60, 1))
		must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 20, Term: 1}))
		must.NoError(t, w.Close())
		files, err := listFiles(vfs.OS{}, folder)
		must.NoError(t, err)
		missingFile := files.segments[1]
		if name == "snapshots" {
			missingFile = files.snapshots[0]
		}
		must.NoError(t, os.Remove(missingFile))
		_, _, err = open(vfs.OS{}, folder, smallSegmentBytes, nil)
		var damage *DamageError
		must.True(t, errors.As(err, &damage), must.Sprint(name))
	}
}

// TestSyncedRecordsSurviveRandomCrashes saves at random and crashes with the unsynced end
// of the last segment truncated at any offset. Everything synced must be there, followed by
// a prefix of what was saved.
func TestSyncedRecordsSurviveRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		must.NoError(t, err)
		defer os.RemoveAll(folder)
		live, crashed := filepath.Join(folder, "live"), filepath.Join(folder, "crashed")
		w, _ := mustOpen(t, live, smallSegmentBytes)
		model := logState{}
		durable := 0
		for range rapid.IntRange(1, 30).Draw(t, "saves") {
			last := model.last()
			from := rapid.Uint64Range(max(model.base.Index, last.Index-min(last.Index, 3)), last.Index).Draw(t, "after") + 1
			if from <= last.Index {
				durable = min(durable, int(from-1))
			}
			entries := entryRange(from, from+rapid.Uint64Range(0, 4).Draw(t, "more"), last.Term+1)
			must.NoError(t, model.append(entries))
			sync := rapid.Bool().Draw(t, "sync")
			must.NoError(t, w.Save(nil, entries, sync))
			if sync {
				durable = int(model.last().Index)
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				at := rapid.Uint64Range(model.base.Index+1, model.last().Index).Draw(t, "at")
				p := position{at, model.termAt(at)}
				must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: p.Index, Term: p.Term}))
				model.applySnapshot(p)
				durable = int(model.last().Index)
			}
		}
		copyFolder(t, live, crashed)
		cut := rapid.Int64Range(w.synced, w.length).Draw(t, "cut")
		must.NoError(t, os.Truncate(lastSegment(t, crashed), cut))
		must.NoError(t, w.Close())

		stored := readBack(t, crashed)
		must.Eq(t, model.base.Index, stored.Snapshot.Index)
		got := logState{base: model.base, entries: stored.Entries}
		must.GreaterEq(t, durable, int(got.last().Index))
		for i := model.base.Index + 1; i <= uint64(durable); i++ {
			must.Eq(t, model.termAt(i), got.termAt(i))
		}
	})
}
