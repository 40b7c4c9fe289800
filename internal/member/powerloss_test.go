package member

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/powerloss"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// lossesPerOperation is the number of losses of power that a test draws after each operation.
	lossesPerOperation = 40
	dataFolder         = "disk/data"
)

// newSeedHost returns the host of a seed on a file system.
func newSeedHost(files vfs.FS, firstStart bool) *Host {
	return New(Config{
		ID: "10.0.0.1", Port: "7", Seeds: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, FirstStart: firstStart,
		Folder: dataFolder, Files: files, Logger: log.NewNopLogger(),
	}, link.NewClient(maxConnections), link.NewMux())
}

// startAndSave stores the initial membership and one synced entry, as the first start of a seed
// does. It returns how far it came before the power was lost.
func startAndSave(ctx context.Context, files vfs.FS) (membersStored, entrySynced bool) {
	if _, _, err := newSeedHost(files, true).initialMembers(ctx); err != nil {
		return false, false
	}
	w, _, err := wal.Open(files, filepath.Join(dataFolder, logFolder), nil)
	if err != nil {
		return true, false
	}
	err = w.Save(&replica.HardState{Term: 1}, []replica.Entry{{Index: 1, Term: 1}}, true)
	return true, err == nil
}

// newDiskWithFolder returns a disk on which only the folder above the data folder is.
func newDiskWithFolder(t *testing.T) *powerloss.Disk {
	disk := powerloss.NewDisk()
	must.NoError(t, disk.Apply(powerloss.Operation{Kind: powerloss.Mkdir, Path: filepath.Dir(dataFolder)}))
	must.NoError(t, disk.Apply(powerloss.Operation{Kind: powerloss.Settle}))
	return disk
}

// Guards against a first start whose files have no durable names: after a loss of power the
// member would wait for a leader without end, or start with an empty log.
func TestFirstStartSurvivesLossOfPower(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // A member without stored members gives up at once instead of joining.
	whole := powerloss.NewMemory(newDiskWithFolder(t), powerloss.Unlimited)
	startAndSave(t.Context(), whole)
	for limit := range whole.Operations() + 1 {
		files := powerloss.NewMemory(newDiskWithFolder(t), limit)
		membersStored, entrySynced := startAndSave(t.Context(), files)
		random := rand.New(rand.NewPCG(1, uint64(limit)))
		for range lossesPerOperation {
			left := powerloss.NewMemory(files.LosePower(random), powerloss.Unlimited)
			members, _, err := newSeedHost(left, false).initialMembers(ctx)
			if membersStored {
				must.NoError(t, err, must.Sprintf("after operation %d", limit))
				must.Len(t, 3, members)
			}
			_, stored, err := wal.Open(left, filepath.Join(dataFolder, logFolder), nil)
			must.NoError(t, err)
			if entrySynced {
				must.Len(t, 1, stored.Entries, must.Sprintf("after operation %d", limit))
			}
		}
	}
}
