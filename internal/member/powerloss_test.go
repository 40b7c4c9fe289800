package member

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http/httptest"
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

// checkFirstStart starts a member on what a loss of power has left and checks that it has what
// its first start has stored.
func checkFirstStart(t *testing.T, disk *powerloss.Disk, membersStored, entrySynced bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // A member without stored members gives up at once instead of joining.
	left := powerloss.NewMemory(disk, powerloss.Unlimited)
	members, _, err := newSeedHost(left, false).initialMembers(ctx)
	if membersStored {
		must.NoError(t, err)
		must.Len(t, 3, members)
	}
	_, stored, err := wal.Open(left, filepath.Join(dataFolder, logFolder), nil)
	must.NoError(t, err)
	if entrySynced {
		must.Len(t, 1, stored.Entries)
	}
}

// Guards against a first start whose files have no durable names: after a loss of power the
// member would wait for a leader without end, or start with an empty log.
func TestFirstStartSurvivesLossOfPower(t *testing.T) {
	whole := powerloss.NewMemory(newDiskWithFolder(t), powerloss.Unlimited)
	startAndSave(t.Context(), whole)
	for limit := range whole.Operations() + 1 {
		files := powerloss.NewMemory(newDiskWithFolder(t), limit)
		membersStored, entrySynced := startAndSave(t.Context(), files)
		random := rand.New(rand.NewPCG(1, uint64(limit)))
		for range lossesPerOperation {
			checkFirstStart(t, files.LosePower(random), membersStored, entrySynced)
		}
	}
}

// Guards against a start that takes a name for durable that a killed process has left: the first
// start is killed, the next one stores its state, and then the power is lost.
func TestFirstStartSurvivesKillAndThenLossOfPower(t *testing.T) {
	whole := powerloss.NewMemory(newDiskWithFolder(t), powerloss.Unlimited)
	startAndSave(t.Context(), whole)
	for limit := range whole.Operations() + 1 {
		killed := powerloss.NewMemory(newDiskWithFolder(t), limit)
		startAndSave(t.Context(), killed)
		files := killed.Kill(powerloss.Unlimited)
		membersStored, entrySynced := startAndSave(t.Context(), files)
		must.True(t, membersStored && entrySynced, must.Sprintf("killed after operation %d", limit))
		random := rand.New(rand.NewPCG(3, uint64(limit)))
		for range lossesPerOperation {
			checkFirstStart(t, files.LosePower(random), membersStored, entrySynced)
		}
	}
}

// startLeader serves joins with a membership until the test ends, and returns its host and port.
func startLeader(t *testing.T, members []replica.Member) (host, port string) {
	mux := link.NewMux()
	link.Handle(mux, MethodJoin, func(context.Context, *JoinRequest) (JoinResponse, error) {
		return JoinResponse{Members: members}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	host, port, err := net.SplitHostPort(server.Listener.Addr().String())
	must.NoError(t, err)
	return host, port
}

// Guards against a member that has joined, or has joined again in place of one whose disk was
// lost, and doesn't know the membership after a loss of power.
func TestJoinSurvivesLossOfPower(t *testing.T) {
	members := []replica.Member{{ID: "10.0.0.2", HasDisk: true}, {ID: "10.0.0.9", Learner: true, HasDisk: true}}
	host, port := startLeader(t, members)
	newJoiner := func(files vfs.FS) *Host {
		return New(Config{
			ID: "10.0.0.9", Port: port, Seeds: []string{host}, Folder: dataFolder, Files: files, Logger: log.NewNopLogger(),
		}, link.NewClient(maxConnections), link.NewMux())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // A member without stored members gives up at once instead of joining.
	for limit, joined := 0, false; !joined; limit++ {
		files := powerloss.NewMemory(newDiskWithFolder(t), limit)
		_, _, err := newJoiner(files).initialMembers(t.Context())
		joined = err == nil
		random := rand.New(rand.NewPCG(2, uint64(limit)))
		for range lossesPerOperation {
			left := powerloss.NewMemory(files.LosePower(random), powerloss.Unlimited)
			found, _, err := newJoiner(left).initialMembers(ctx)
			if joined || err == nil {
				must.Eq(t, members, found, must.Sprintf("after operation %d", limit))
			}
		}
	}
}
