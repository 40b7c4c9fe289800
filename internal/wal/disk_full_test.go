package wal

import (
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// oneSegmentBytes is more than a test writes, so that the log has one segment.
	oneSegmentBytes = 1 << 20
	// partialRecordBytes is less than the size of a record, so that a write to the full
	// disk leaves a partial record.
	partialRecordBytes = 10
	// freedBytes is more than a test writes after the disk has free space again.
	freedBytes = 1 << 20
)

// limitedFile accepts freeBytes more bytes, like a file on a disk that is almost full.
type limitedFile struct {
	vfs.File
	freeBytes int
	// refusal is the error of a write for which there is no space; nil means ENOSPC. Truncate fails
	// with it truncateRefusals times.
	refusal          error
	truncateRefusals int
}

func (f *limitedFile) Truncate(size int64) error {
	if f.truncateRefusals > 0 {
		f.truncateRefusals--
		return f.refusal
	}
	return f.File.Truncate(size)
}

func (f *limitedFile) Write(p []byte) (int, error) {
	if len(p) <= f.freeBytes {
		f.freeBytes -= len(p)
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:f.freeBytes])
	f.freeBytes = 0
	if err != nil {
		return n, err
	}
	if f.refusal != nil {
		return n, f.refusal
	}
	return n, syscall.ENOSPC
}

// The disk becomes full in the middle of a record and has free space again after three
// waits. Save must not fail meanwhile and must write the whole record in the end, and a
// restart must read everything that was saved.
func TestSaveRetriesWhileDiskIsFull(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, oneSegmentBytes)
	saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
	full := &limitedFile{File: w.file, freeBytes: partialRecordBytes}
	w.file = full
	waits := 0
	w.onRefused = func(error) bool {
		waits++
		if waits == 3 {
			full.freeBytes = freedBytes
		}
		return true
	}
	saveOneByOne(t, w, nil, entryRange(4, 6, 1))
	must.Eq(t, 3, waits)
	must.NoError(t, w.Close())
	must.Eq(t, entryRange(1, 6, 1), readBack(t, folder).Entries)
}

// Guards against a process that ends because a faulty disk refuses writes for some seconds, and also
// refuses to truncate the partial record.
func TestSaveRetriesWhileDiskIsFaulty(t *testing.T) {
	for _, refusal := range refusals {
		folder := t.TempDir()
		w, _ := mustOpen(t, folder, oneSegmentBytes)
		saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
		faulty := &limitedFile{File: w.file, freeBytes: partialRecordBytes, refusal: refusal, truncateRefusals: refusedWrites}
		w.file = faulty
		waits := 0
		w.onRefused = func(err error) bool {
			must.ErrorIs(t, err, refusal)
			waits++
			if waits == refusedWrites {
				faulty.freeBytes = freedBytes
			}
			return true
		}
		saveOneByOne(t, w, nil, entryRange(4, 6, 1))
		must.Eq(t, refusedWrites, waits)
		must.NoError(t, w.Close())
		must.Eq(t, entryRange(1, 6, 1), readBack(t, folder).Entries)
	}
}

// Guards against a failure that is waited for although it can't pass.
func TestOtherFailuresOfWritesAreFinal(t *testing.T) {
	w, _ := mustOpen(t, t.TempDir(), oneSegmentBytes)
	w.file = &limitedFile{File: w.file, refusal: syscall.EBADF}
	w.onRefused = func(error) bool { return true }
	must.ErrorIs(t, w.Save(&replica.HardState{Term: 1}, nil, true), syscall.EBADF)
	must.ErrorIs(t, w.Save(&replica.HardState{Term: 1}, nil, true), syscall.EBADF)
	must.ErrorIs(t, w.Close(), syscall.EBADF)
}

// The process is told to stop while its disk is full. Close must succeed, and a
// restart must read nothing of the record that didn't fit.
func TestCloseSucceedsWithFullDisk(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, oneSegmentBytes)
	saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
	w.file = &limitedFile{File: w.file, freeBytes: partialRecordBytes}
	w.onRefused = func(error) bool { return false }
	for range 2 {
		err := w.Save(nil, entryRange(4, 4, 1), true)
		must.True(t, errors.Is(err, ErrDiskRefuses), must.Sprint(err))
	}
	must.NoError(t, w.Close())
	must.Eq(t, entryRange(1, 3, 1), readBack(t, folder).Entries)
}

// Without a callback a full disk is a failed write.
func TestFullDiskFailsWriteWithoutCallback(t *testing.T) {
	w, _ := mustOpen(t, t.TempDir(), oneSegmentBytes)
	w.file = &limitedFile{File: w.file}
	must.ErrorIs(t, w.Save(&replica.HardState{Term: 1}, nil, true), syscall.ENOSPC)
	must.ErrorIs(t, w.Close(), syscall.ENOSPC)
}

// refusedWrites is how often a disk refuses a write before it has free space again.
const refusedWrites = 3

// refusals are the errors of a write that finds no space, and of one that a faulty disk refuses.
var refusals = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.ENXIO}

// Guards against a process that ends at each start while its disk is full or faulty.
func TestOpenWaitsWhileDiskIsFull(t *testing.T) {
	for _, full := range refusals {
		for at := 0; ; at++ {
			folder := t.TempDir()
			// A new log, then one with a snapshot, which Open adopts again.
			waits, accepted := openBesideFullDisk(t, folder, at, full)
			must.Eq(t, expectedWaits(at, accepted), waits)
			w, _ := mustOpen(t, folder, smallSegmentBytes)
			saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 80, 1))
			must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 40, Term: 1}))
			must.NoError(t, w.Close())
			waits, acceptedAgain := openBesideFullDisk(t, folder, at, full)
			must.Eq(t, expectedWaits(at, acceptedAgain), waits)
			must.Eq(t, entryRange(41, 80, 1), readBack(t, folder).Entries)
			if at > accepted && at > acceptedAgain {
				break
			}
		}
	}
}

// openBesideFullDisk opens and closes a log whose disk is full at one of its writes. It returns
// how often the log waited, and how many writes were accepted.
func openBesideFullDisk(t *testing.T, folder string, at int, full error) (waits, accepted int) {
	files := faulty.New(vfs.OS{}, at, refusedWrites, full)
	w, _, err := open(files, folder, smallSegmentBytes, func(error) bool { waits++; return true })
	must.NoError(t, err, must.Sprintf("full at write %d", at))
	accepted = files.Accepted()
	must.NoError(t, w.Close())
	return waits, accepted
}

// expectedWaits returns how often Open waits if the disk is full at a write. A file that is
// written anew has more writes than its first attempt needed, all of which are accepted.
func expectedWaits(at, accepted int) int {
	if at >= accepted {
		return 0
	}
	return refusedWrites
}

// Guards against a start that can't be stopped while its disk is full, and against one that
// leaves the log unusable.
func TestOpenBesideFullDiskCanBeStopped(t *testing.T) {
	folder := t.TempDir()
	files := faulty.New(vfs.OS{}, 0, refusedWrites, syscall.ENOSPC)
	_, _, err := open(files, folder, smallSegmentBytes, func(error) bool { return false })
	must.True(t, errors.Is(err, ErrDiskRefuses), must.Sprint(err))
	must.SliceEmpty(t, readBack(t, folder).Entries)
}

// Guards against a member that ends because its disk is full or faulty when it installs the snapshot of
// another member.
func TestSaveSnapshotRetriesWhileDiskIsFull(t *testing.T) {
	for _, refusal := range refusals {
		folder := t.TempDir()
		w, _ := mustOpen(t, folder, oneSegmentBytes)
		saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
		waits := 0
		w.files = faulty.New(vfs.OS{}, 1, refusedWrites, refusal)
		w.onRefused = func(error) bool { waits++; return true }
		must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 9, Term: 1}))
		must.Eq(t, refusedWrites, waits)
		must.NoError(t, w.Close())
		must.Eq(t, 9, readBack(t, folder).Snapshot.Index)
	}
}
