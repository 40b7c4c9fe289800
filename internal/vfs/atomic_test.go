package vfs_test

import (
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
)

// Guards against a full disk on which each failed snapshot takes up more of the space.
func TestFailedWriteLeavesNoTemporaryFile(t *testing.T) {
	for at := range 3 {
		folder := t.TempDir()
		files := faulty.New(vfs.OS{}, at, 1, syscall.ENOSPC)
		_, err := vfs.WriteAtomically(files, filepath.Join(folder, "file"), []byte("content"))
		must.ErrorIs(t, err, syscall.ENOSPC)
		names, err := files.List(folder)
		must.NoError(t, err)
		must.SliceEmpty(t, names, must.Sprintf("full at write %d", at))
	}
}
