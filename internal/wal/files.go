package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/cockroachdb/errors"
)

const (
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
	lockName       = "lock"
)

// DamageError says that a file doesn't contain what was written to it. Nothing in the
// folder has been changed.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// damaged returns a *DamageError with the caller's stack.
func damaged(file string, offset int64, reason error) error {
	return errors.WithStackDepth(&DamageError{File: file, Offset: offset, Reason: reason.Error()}, 1)
}

// logFiles holds the paths of the files of a folder, oldest first.
type logFiles struct {
	segments, snapshots, temporaries []string
}

// listFiles returns the files of a log folder.
func listFiles(files vfs.FS, folder string) (logFiles, error) {
	names, err := files.List(folder)
	if err != nil {
		return logFiles{}, errors.Wrap(err, "list the log folder")
	}
	var l logFiles
	for _, name := range names {
		path := filepath.Join(folder, name)
		switch filepath.Ext(path) {
		case segmentSuffix:
			l.segments = append(l.segments, path)
		case snapshotSuffix:
			l.snapshots = append(l.snapshots, path)
		case vfs.TemporarySuffix:
			l.temporaries = append(l.temporaries, path)
		}
	}
	return l, nil
}

// numberedPath returns the path of the file with a number. The names have leading zeros, so
// that the order of paths is that of the numbers.
func numberedPath(folder string, number uint64, suffix string) string {
	return filepath.Join(folder, fmt.Sprintf("%020d%s", number, suffix))
}

// removeFiles deletes files in the given order, oldest first, so that a crash in between
// leaves no gap. It ignores missing files.
func removeFiles(files vfs.FS, paths []string) error {
	for _, p := range paths {
		if err := files.Remove(p); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, "remove an old file of the log")
		}
	}
	return nil
}

func newSalt() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails; it crashes the program instead.
	return binary.BigEndian.Uint64(b[:])
}

// numberInPath returns the number in a path of numberedPath, or 0.
func numberInPath(path string) uint64 {
	var n uint64
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if _, err := fmt.Sscanf(name, "%d", &n); err != nil {
		return 0
	}
	return n
}
