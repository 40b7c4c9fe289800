package node

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// refusedWrites is how often a disk refuses a write before it has free space again.
	refusedWrites = 2
	// endlessRefusals are more refusals than a test waits for.
	endlessRefusals = 1 << 30
	// stopDelay is when a test stops a member that waits for its disk.
	stopDelay = 250 * time.Millisecond
)

// soleMemberConfig returns the settings of a group of one member with a disk.
func soleMemberConfig(files vfs.FS, folder string) Config {
	return Config{
		Group: "g", ID: "a", Members: []replica.Member{{ID: "a", HasDisk: true}}, Folder: folder, Files: files,
		Machine: &registers{values: map[string]string{}}, Transport: discardTransport{},
	}
}

// Guards against a member that ends at each start while its disk is full or faulty.
func TestStartWaitsWhileDiskIsFull(t *testing.T) {
	for _, refusal := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		files := faulty.New(vfs.OS{}, 1, refusedWrites, refusal)
		g, err := Open(t.Context(), soleMemberConfig(files, t.TempDir()))
		must.NoError(t, err)
		must.NoError(t, g.closeLog())
	}
}

// Guards against a member that can't be stopped while it waits for its full disk at its start.
func TestStartBesideFullDiskEndsWithContext(t *testing.T) {
	files := faulty.New(vfs.OS{}, 1, endlessRefusals, syscall.ENOSPC)
	ctx, cancel := context.WithTimeout(t.Context(), stopDelay)
	defer cancel()
	_, err := Open(ctx, soleMemberConfig(files, t.TempDir()))
	must.True(t, errors.Is(err, wal.ErrDiskRefuses), must.Sprint(err))
	must.Error(t, ctx.Err())
}
