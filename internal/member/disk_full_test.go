package member

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
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
	// stopDelay is when a test stops a member that waits.
	stopDelay = 250 * time.Millisecond
)

// newLoggedHost returns the host of a seed on a file system, with a log in lines.
func newLoggedHost(files vfs.FS, folder string, firstStart bool, lines *bytes.Buffer) *Host {
	return New(Config{
		ID: "10.0.0.1", Port: "7", Seeds: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, FirstStart: firstStart,
		Folder: folder, Files: files, Logger: log.NewLogfmtLogger(log.NewSyncWriter(lines)),
	}, link.NewClient(maxConnections), link.NewMux())
}

// Guards against a first start that ends because the disk is full.
func TestFirstStartWaitsWhileDiskIsFull(t *testing.T) {
	for at := range 3 {
		var lines bytes.Buffer
		files := faulty.New(vfs.OS{}, at, refusedWrites, syscall.ENOSPC)
		h := newLoggedHost(files, t.TempDir()+"/data", true, &lines)
		members, _, err := h.initialMembers(t.Context())
		must.NoError(t, err, must.Sprintf("full at write %d", at))
		must.Len(t, 3, members)
		must.Eq(t, 1, strings.Count(lines.String(), "outcome=full"))
		must.Eq(t, 1, strings.Count(lines.String(), `outcome="free space again"`))
	}
}

// Guards against a first start that ends because a faulty disk refuses writes, and against one that
// doesn't say what it waits for.
func TestFirstStartWaitsWhileDiskIsFaulty(t *testing.T) {
	for at := range 3 {
		var lines bytes.Buffer
		files := faulty.New(vfs.OS{}, at, refusedWrites, syscall.EIO)
		h := newLoggedHost(files, t.TempDir()+"/data", true, &lines)
		members, _, err := h.initialMembers(t.Context())
		must.NoError(t, err, must.Sprintf("refused at write %d", at))
		must.Len(t, 3, members)
		must.Eq(t, 1, strings.Count(lines.String(), "outcome=refuses"))
		must.Eq(t, 1, strings.Count(lines.String(), `outcome="accepts again"`))
	}
}

// Guards against a start that ends, or takes other members than those it stored, because a faulty disk
// refuses a read: the member is no seed, so it would join as a new one.
func TestStartWaitsWhileDiskRefusesReads(t *testing.T) {
	stored := []replica.Member{{ID: "10.0.0.1", HasDisk: true}, {ID: "10.0.0.9", HasDisk: true}}
	folder := t.TempDir()
	h := newLoggedHost(vfs.OS{}, folder, false, new(bytes.Buffer))
	must.NoError(t, h.saveMembers(t.Context(), filepath.Join(folder, membersFile), stored))
	files := faulty.NewBroken(vfs.OS{}, syscall.EIO)
	files.RefuseAfter(0, refusedWrites)
	var lines bytes.Buffer
	h = newLoggedHost(files, folder, false, &lines)
	members, found, err := h.initialMembers(t.Context())
	must.NoError(t, err)
	must.True(t, found)
	must.Eq(t, stored, members)
	must.Eq(t, 1, strings.Count(lines.String(), "outcome=refuses"))
}

// Guards against a start without its file of members that ends because a faulty disk refuses to read the log.
func TestStartWaitsWhileDiskRefusesToReadLog(t *testing.T) {
	folder := t.TempDir()
	w, _, err := wal.Open(vfs.OS{}, filepath.Join(folder, logFolder), nil)
	must.NoError(t, err)
	stored := []replica.Member{{ID: "10.0.0.1", HasDisk: true}, {ID: "10.0.0.9", HasDisk: true}}
	must.NoError(t, w.Save(&replica.HardState{Term: 1, Incarnation: 1}, nil, true))
	must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 4, Term: 1, Members: stored}))
	must.NoError(t, w.Close())
	for at := 1; at < 4; at++ {
		files := faulty.NewBroken(vfs.OS{}, syscall.EIO)
		files.RefuseAfter(at, refusedWrites)
		h := newLoggedHost(files, folder, false, new(bytes.Buffer))
		members, found, err := h.initialMembers(t.Context())
		must.NoError(t, err, must.Sprint(at))
		must.True(t, found)
		must.Eq(t, stored, members)
		must.NoError(t, os.Remove(filepath.Join(folder, membersFile)))
	}
}

// Guards against a member that can't be stopped while it waits for its full disk at its first start.
func TestFirstStartBesideFullDiskEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), stopDelay)
	defer cancel()
	h := newLoggedHost(faulty.New(vfs.OS{}, 0, endlessRefusals, syscall.ENOSPC), t.TempDir()+"/data", true, new(bytes.Buffer))
	_, _, err := h.initialMembers(ctx)
	must.ErrorIs(t, err, syscall.ENOSPC)
	must.Error(t, ctx.Err())
}
