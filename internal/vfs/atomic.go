package vfs

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// TemporarySuffix is the end of the names of files that WriteAtomically hasn't finished.
const TemporarySuffix = ".tmp"

// WriteAtomically writes a file under a temporary name, syncs it, renames it and syncs the
// folder, so that after a crash the file is either missing or complete. It returns the file,
// open for writing at its end. After a failure it removes the temporary file, which would
// take up space on a full disk.
func WriteAtomically(files FS, path string, content ...[]byte) (File, error) {
	f, err := files.Create(path + TemporarySuffix)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", path)
	}
	if err := writeSyncRename(files, f, path, content); err != nil {
		_ = files.Remove(path + TemporarySuffix)
		return nil, errors.CombineErrors(errors.Wrapf(err, "write %s", path), f.Close())
	}
	return f, nil
}

// writeSyncRename fills the temporary file f and renames it to path.
func writeSyncRename(files FS, f File, path string, content [][]byte) error {
	for _, b := range content {
		if _, err := f.Write(b); err != nil {
			return err
		}
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := files.Rename(path+TemporarySuffix, path); err != nil {
		return err
	}
	return errors.Wrap(files.SyncFolder(filepath.Dir(path)), "sync the folder")
}

// MkdirAllDurable creates a folder and its missing parents, with durable names. The name of a
// folder that exists is synced if the folder above it can be: that one may not belong to this
// program.
func MkdirAllDurable(files FS, path string) error {
	parent := filepath.Dir(path)
	if _, err := files.List(path); err == nil || parent == path {
		_ = files.SyncFolder(parent)
		return nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := MkdirAllDurable(files, parent); err != nil {
		return err
	}
	if err := files.MkdirAll(path); err != nil {
		return err
	}
	return files.SyncFolder(parent)
}
