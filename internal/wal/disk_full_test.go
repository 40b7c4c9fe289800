package wal

import (
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
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
	w.OnDiskFull(func() bool {
		waits++
		if waits == 3 {
			full.freeBytes = freedBytes
		}
		return true
	})
	saveOneByOne(t, w, nil, entryRange(4, 6, 1))
	must.Eq(t, 3, waits)
	must.NoError(t, w.Close())
	must.Eq(t, entryRange(1, 6, 1), readBack(t, folder).Entries)
}

// The process is told to stop while its disk is full. Close must succeed, and a
// restart must read nothing of the record that didn't fit.
func TestCloseSucceedsWithFullDisk(t *testing.T) {
	folder := t.TempDir()
	w, _ := mustOpen(t, folder, oneSegmentBytes)
	saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
	w.file = &limitedFile{File: w.file, freeBytes: partialRecordBytes}
	w.OnDiskFull(func() bool { return false })
	for range 2 {
		err := w.Save(nil, entryRange(4, 4, 1), true)
		must.True(t, errors.Is(err, ErrDiskFull), must.Sprint(err))
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
