package node

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
	"github.com/bilberryferry/bilberryferry/internal/wait"
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

// Guards against a running member that ends because its disk refuses operations for some time, a sync among
// them, and against one that doesn't go on afterwards.
func TestRunningMemberWaitsWhileDiskIsFaulty(t *testing.T) {
	files := faulty.NewBroken(vfs.OS{}, syscall.EIO)
	cfg := soleMemberConfig(files, t.TempDir())
	cfg.SnapshotEntries = 4
	g, err := Open(t.Context(), cfg)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	propose := func(key string) error {
		for {
			_, err := g.Propose(ctx, encodeSet(key, "v"))
			if !errors.Is(err, ErrNotLeader) || !wait.For(ctx, DefaultTickInterval) {
				return err
			}
		}
	}
	must.NoError(t, propose("before"))
	for at := range 6 {
		files.RefuseAfter(at, refusedWrites)
		must.NoError(t, propose(fmt.Sprint("during", at)))
		must.NoError(t, propose(fmt.Sprint("after", at)))
	}
	files.RefuseAfter(0, endlessRefusals)
	stopping, stop := context.WithTimeout(ctx, stopDelay)
	defer stop()
	_, err = g.Propose(stopping, encodeSet("refused", "v"))
	must.Error(t, err)
	cancel()
	must.NoError(t, <-ended)
}
