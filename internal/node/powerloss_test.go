package node

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs/powerloss"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// lossesPerOperation is the number of losses of power that a test draws after each operation.
	lossesPerOperation = 40
	powerLossFolder    = "log"
)

// snapshotInstall is a member that installs the snapshot of a leader.
type snapshotInstall struct {
	// before is what the member has stored, and ready what the leader's snapshot changes.
	before replica.StoredState
	ready  replica.Ready
	// stored and installed are how far the member came before the power was lost.
	stored, installed bool
}

// run stores the state and installs the snapshot, until an operation fails.
func (s *snapshotInstall) run(files *powerloss.Memory) error {
	w, _, err := wal.Open(files, powerLossFolder, nil)
	if err != nil {
		return err
	}
	if err := w.Save(&s.before.HardState, s.before.Entries, true); err != nil {
		return err
	}
	s.stored = true
	g := &Group{wal: w, savedHardState: s.before.HardState}
	if err := g.save(s.ready); err != nil {
		return err
	}
	s.installed = true
	return nil
}

// check checks what a loss of power has left.
func (s *snapshotInstall) check(t *testing.T, disk *powerloss.Disk) {
	_, found, err := wal.Open(powerloss.NewMemory(disk, powerloss.Unlimited), powerLossFolder, nil)
	must.NoError(t, err)
	last := found.Snapshot.Index
	if n := len(found.Entries); n > 0 {
		last = found.Entries[n-1].Index
	}
	installedLast := s.ready.Entries[len(s.ready.Entries)-1].Index
	if s.installed {
		must.Eq(t, s.ready.Snapshot.Index, found.Snapshot.Index)
		must.Eq(t, installedLast, last)
		must.Eq(t, s.ready.HardState.Term, found.HardState.Term)
	}
	if s.stored {
		must.GreaterEq(t, uint64(len(s.before.Entries)), last)
		must.GreaterEq(t, s.before.HardState.Term, found.HardState.Term)
	}
	must.GreaterEq(t, found.Snapshot.Term, found.HardState.Term, must.Sprint("the snapshot is of a later term than the member"))
	if found.Snapshot.Index == 0 {
		must.LessEq(t, s.before.HardState.Commit, found.HardState.Commit, must.Sprint("entries that may be superseded are committed"))
	}
	if s.before.HardState.Recovering && s.stored && !found.HardState.Recovering {
		must.Eq(t, installedLast, last, must.Sprint("the member votes without the entries"))
	}
}

// Guards against a loss of power while a member installs the snapshot of a leader: acknowledged
// entries that are gone, and a recovering member that votes without the entries.
func TestInstalledSnapshotSurvivesLossOfPower(t *testing.T) {
	ready := replica.Ready{
		HardState: &replica.HardState{Term: 5, Incarnation: 7, Commit: 11},
		Snapshot:  &replica.Snapshot{Index: 10, Term: 5, Data: []byte("state")},
		Entries:   []replica.Entry{{Index: 11, Term: 5}},
		MustSync:  true,
	}
	acknowledged := []replica.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}
	for name, before := range map[string]replica.StoredState{
		"recovering": {HardState: replica.HardState{Term: 1, Incarnation: 7, Recovering: true}},
		"behind":     {HardState: replica.HardState{Term: 1, Incarnation: 7, Commit: 1}, Entries: acknowledged},
	} {
		t.Run(name, func(t *testing.T) {
			whole := powerloss.NewMemory(powerloss.NewDisk(), powerloss.Unlimited)
			must.NoError(t, (&snapshotInstall{before: before, ready: ready}).run(whole))
			for limit := range whole.Operations() + 1 {
				files := powerloss.NewMemory(powerloss.NewDisk(), limit)
				install := &snapshotInstall{before: before, ready: ready}
				_ = install.run(files)
				random := rand.New(rand.NewPCG(1, uint64(limit)))
				for range lossesPerOperation {
					install.check(t, files.LosePower(random))
				}
			}
		})
	}
}
