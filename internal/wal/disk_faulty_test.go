package wal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
	"github.com/bilberryferry/bilberryferry/internal/vfs/powerloss"
	"github.com/bilberryferry/bilberryferry/replica"
)

// always is a callback that allows another attempt.
func always(error) bool { return true }

// Guards against a process that ends because its disk refuses a sync, and against entries that are lost
// since a sync was repeated on the same file: each operation in turn is refused, then the power is lost.
func TestSavedEntriesSurviveRefusedOperation(t *testing.T) {
	for at, refusing := 0, false; !refusing; at++ {
		memory := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
		files := faulty.NewBroken(memory, syscall.EIO)
		w, _, err := open(files, powerLossFolder, smallSegmentBytes, always)
		must.NoError(t, err)
		files.RefuseAfter(at, refusedWrites)
		user := new(logUser)
		for next := uint64(1); next < 40; next += 3 {
			must.NoError(t, w.Save(&replica.HardState{Term: next}, entryRange(next, next+1, 1), false))
			must.NoError(t, w.Save(nil, entryRange(next+2, next+2, 1), true), must.Sprintf("refused at operation %d", at))
			user.synced, user.term = next+2, next
		}
		random := rand.New(rand.NewPCG(6, uint64(at)))
		for range lossesPerOperation {
			user.check(t, memory.LosePower(random))
		}
		refusing = files.Refusing()
	}
}

// Guards against a process that ends because its disk refuses to remove what a snapshot replaces, and
// against files that stay for good: each operation of a log with snapshots in turn is refused.
func TestSnapshotsSurviveRefusedOperation(t *testing.T) {
	for at, refusing := 0, false; !refusing; at++ {
		memory := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
		files := faulty.NewBroken(memory, syscall.EIO)
		files.RefuseAfter(at, refusedWrites)
		user := &logUser{onRefused: always}
		must.NoError(t, user.run(files), must.Sprintf("refused at operation %d", at))
		refusing = files.Refusing()
		random := rand.New(rand.NewPCG(9, uint64(at)))
		user.check(t, memory.LosePower(random))

		files.RefuseAfter(0, 0)
		w, _, err := open(files, powerLossFolder, smallSegmentBytes, nil)
		must.NoError(t, err)
		must.NoError(t, w.Close())
		listed, err := listFiles(memory, powerLossFolder)
		must.NoError(t, err)
		must.Len(t, 1, listed.snapshots)
		must.SliceEmpty(t, listed.temporaries)
	}
}

// Guards against a member that can't be stopped while its disk refuses a sync, and against a record that
// wasn't acknowledged and makes the log unreadable.
func TestCloseSucceedsWhileSyncIsRefused(t *testing.T) {
	memory := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
	files := faulty.NewBroken(memory, syscall.EIO)
	w, _, err := open(files, powerLossFolder, oneSegmentBytes, func(error) bool { return false })
	must.NoError(t, err)
	saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 3, 1))
	files.RefuseAfter(1, refusedWrites)
	err = w.Save(nil, entryRange(4, 4, 1), true)
	must.True(t, errors.Is(err, ErrDiskRefuses), must.Sprint(err))
	must.NoError(t, w.Close())
	(&logUser{synced: 3, term: 1}).check(t, memory.LosePower(rand.New(rand.NewPCG(7, 1))))
}

// Guards against a process that ends at each start while its disk refuses reads, removals or syncs: each
// operation of a start in turn is refused, then the power is lost.
func TestOpenWaitsWhileDiskIsFaulty(t *testing.T) {
	for at, refusing := 0, false; !refusing; at++ {
		memory := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
		files := faulty.NewBroken(memory, syscall.EIO)
		user := new(logUser)
		must.NoError(t, user.run(files))
		_, err := files.Create(powerLossFolder + "/1" + vfs.TemporarySuffix)
		must.NoError(t, err)
		files.RefuseAfter(at, refusedWrites)
		waits := 0
		w, stored, err := open(files, powerLossFolder, smallSegmentBytes, func(error) bool { waits++; return true })
		must.NoError(t, err, must.Sprintf("refused at operation %d", at))
		must.Eq(t, user.snapshot, stored.Snapshot.Index)
		refusing = files.Refusing()
		must.True(t, refusing || waits > 0)
		must.NoError(t, w.Close())
		random := rand.New(rand.NewPCG(8, uint64(at)))
		for range lossesPerOperation {
			user.check(t, memory.LosePower(random))
		}
	}
}

// Guards against a member that can't be stopped while its disk refuses the reads of its start.
func TestOpenBesideFaultyDiskCanBeStopped(t *testing.T) {
	files := faulty.NewBroken(powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited), syscall.EIO)
	must.NoError(t, new(logUser).run(files))
	for at := range 12 {
		files.RefuseAfter(at, refusedWrites)
		_, _, err := open(files, powerLossFolder, smallSegmentBytes, func(error) bool { return false })
		must.True(t, errors.Is(err, ErrDiskRefuses), must.Sprint(at, err))
	}
}
