package wal

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/powerloss"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// lossesPerOperation is the number of losses of power that a test draws after each operation.
	lossesPerOperation = 20
	powerLossFolder    = "data/log"
)

// newDataDisk returns a disk on which only the data folder is.
func newDataDisk(t must.T) *powerloss.Disk {
	disk := powerloss.NewDisk()
	must.NoError(t, disk.Apply(powerloss.Operation{Kind: powerloss.Mkdir, Path: "data"}))
	must.NoError(t, disk.Apply(powerloss.Operation{Kind: powerloss.Settle}))
	return disk
}

// logUser does what a member does with its log, and remembers what the log has to keep.
type logUser struct {
	// synced is the last entry of a Save that was synced.
	synced uint64
	// term is the term of the last hard state that was synced.
	term uint64
	// snapshot is the last snapshot that was adopted.
	snapshot uint64
	// onRefused is the log's callback.
	onRefused func(error) bool
}

// run opens the log, saves entries in several segments and replaces them by snapshots, until an
// operation fails.
func (u *logUser) run(files vfs.FS) error {
	w, stored, err := open(files, powerLossFolder, smallSegmentBytes, u.onRefused)
	if err != nil {
		return err
	}
	next := stored.Snapshot.Index + 1
	if n := len(stored.Entries); n > 0 {
		next = stored.Entries[n-1].Index + 1
	}
	for range 2 {
		for range 30 {
			term := u.term + 1
			hs := &replica.HardState{Term: term}
			if err := w.Save(hs, []replica.Entry{entry(next, 1), entry(next+1, 1)}, false); err != nil {
				return err
			}
			if err := w.Save(nil, []replica.Entry{entry(next+2, 1)}, true); err != nil {
				return err
			}
			next += 3
			u.synced, u.term = next-1, term
		}
		s := replica.Snapshot{Index: next - 4, Term: 1, Data: []byte("state")}
		if err := w.SaveSnapshot(s); err != nil {
			return err
		}
		u.snapshot = s.Index
	}
	return w.Close()
}

// check opens a log after a loss of power and checks that it has what was synced.
func (u *logUser) check(t must.T, disk *powerloss.Disk) {
	t.Helper()
	_, stored, err := open(powerloss.NewMemory(disk, powerloss.Unlimited), powerLossFolder, smallSegmentBytes, nil)
	must.NoError(t, err)
	must.GreaterEq(t, u.snapshot, stored.Snapshot.Index)
	must.GreaterEq(t, u.term, stored.HardState.Term)
	last := stored.Snapshot.Index
	for _, e := range stored.Entries {
		want := entry(last+1, 1)
		must.True(t, e.Index == want.Index && e.Term == want.Term && bytes.Equal(e.Data, want.Data), must.Sprint(e))
		last = e.Index
	}
	must.GreaterEq(t, u.synced, last)
}

// Guards against synced entries that a loss of power takes away, and against files in the states
// that it leaves, removed names that come back among them, which Open refuses as damage.
func TestLogSurvivesLossOfPowerAfterEachOperation(t *testing.T) {
	whole := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
	must.NoError(t, new(logUser).run(whole))
	for limit := range whole.Operations() + 1 {
		files := powerloss.NewMemory(newDataDisk(t), limit)
		user := new(logUser)
		_ = user.run(files)
		random := rand.New(rand.NewPCG(1, uint64(limit)))
		for range lossesPerOperation {
			user.check(t, files.LosePower(random))
		}
	}
}

// Guards against a log that is lost with a folder above it, which Open has made.
func TestLogInNewFoldersSurvivesLossOfPower(t *testing.T) {
	whole := powerloss.NewMemory(powerloss.NewDisk(), powerloss.Unlimited)
	must.NoError(t, new(logUser).openAndSave(whole))
	for limit := range whole.Operations() + 1 {
		files := powerloss.NewMemory(powerloss.NewDisk(), limit)
		user := new(logUser)
		_ = user.openAndSave(files)
		random := rand.New(rand.NewPCG(5, uint64(limit)))
		for range lossesPerOperation {
			user.check(t, files.LosePower(random))
		}
	}
}

// Guards against entries that are synced in a file whose name isn't: a process is killed between
// a rename and the sync of the folder, the next one goes on, and then the power is lost.
func TestLogSurvivesKillAndThenLossOfPower(t *testing.T) {
	whole := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
	must.NoError(t, new(logUser).run(whole))
	for limit := range whole.Operations() + 1 {
		killed := powerloss.NewMemory(newDataDisk(t), limit)
		user := new(logUser)
		_ = user.run(killed)
		files := killed.Kill(powerloss.Unlimited)
		must.NoError(t, user.openAndSave(files))
		random := rand.New(rand.NewPCG(2, uint64(limit)))
		for range lossesPerOperation {
			user.check(t, files.LosePower(random))
		}
	}
}

// Guards against a recovery that relies on what isn't durable: the power is lost a second time
// during the recovery from the first loss, and after it.
func TestLogSurvivesLossOfPowerDuringRecovery(t *testing.T) {
	const limitStep = 7
	whole := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
	must.NoError(t, new(logUser).run(whole))
	for limit := 0; limit <= whole.Operations(); limit += limitStep {
		first := powerloss.NewMemory(newDataDisk(t), limit)
		user := new(logUser)
		_ = user.run(first)
		random := rand.New(rand.NewPCG(3, uint64(limit)))
		user.checkSecondLosses(t, first, random)
	}
}

// checkSecondLosses loses power, and again after each operation of the recovery from that.
func (u *logUser) checkSecondLosses(t must.T, first *powerloss.Memory, random *rand.Rand) {
	t.Helper()
	// The disk of the first loss is drawn anew for each limit: an open log changes it.
	for limit, done := 0, false; !done; limit++ {
		user := *u
		second := powerloss.NewMemory(first.LosePower(random), limit)
		done = user.openAndSave(second) == nil
		for range lossesPerOperation {
			user.check(t, second.LosePower(random))
		}
	}
}

// openAndSave opens the log after a crash and saves one synced entry.
func (u *logUser) openAndSave(files *powerloss.Memory) error {
	w, stored, err := open(files, powerLossFolder, smallSegmentBytes, nil)
	if err != nil {
		return err
	}
	next := max(u.synced, stored.Snapshot.Index) + 1
	if n := len(stored.Entries); n > 0 {
		next = stored.Entries[n-1].Index + 1
	}
	term := stored.HardState.Term + 1
	if err := w.Save(&replica.HardState{Term: term}, []replica.Entry{entry(next, 1)}, true); err != nil {
		return err
	}
	u.synced, u.term = next, term
	return nil
}

// snapshotHook runs save before each operation on the files of a snapshot, as a member saves
// entries while another goroutine writes the snapshot.
type snapshotHook struct {
	*powerloss.Memory
	save func() error
}

func (h *snapshotHook) Create(path string) (vfs.File, error) {
	if err := h.saveBefore(path); err != nil {
		return nil, err
	}
	return h.Memory.Create(path)
}

func (h *snapshotHook) Rename(from, to string) error {
	if err := h.saveBefore(from); err != nil {
		return err
	}
	return h.Memory.Rename(from, to)
}

// saveBefore runs save if path belongs to a snapshot.
func (h *snapshotHook) saveBefore(path string) error {
	if strings.Contains(path, snapshotSuffix) {
		return h.save()
	}
	return nil
}

// runWithConcurrentSnapshots saves entries, also while snapshots of them are written, until an
// operation fails.
func (u *logUser) runWithConcurrentSnapshots(files *powerloss.Memory) error {
	hook := &snapshotHook{Memory: files}
	w, _, err := open(hook, powerLossFolder, smallSegmentBytes, nil)
	if err != nil {
		return err
	}
	hook.save = func() error {
		for range 8 {
			if err := w.Save(&replica.HardState{Term: u.term + 1}, []replica.Entry{entry(u.synced+1, 1)}, true); err != nil {
				return err
			}
			u.synced, u.term = u.synced+1, u.term+1
		}
		return nil
	}
	for range 3 {
		if err := hook.save(); err != nil {
			return err
		}
		s := replica.Snapshot{Index: u.synced, Term: 1, Data: []byte("state")}
		if err := w.WriteSnapshot(s); err != nil {
			return err
		}
		if err := hook.save(); err != nil {
			return err
		}
		if err := w.AdoptSnapshot(s); err != nil {
			return err
		}
		u.snapshot = s.Index
	}
	return w.Close()
}

// Guards against entries that are lost because a snapshot is written while they are saved.
func TestLogSurvivesLossOfPowerDuringConcurrentSnapshot(t *testing.T) {
	whole := powerloss.NewMemory(newDataDisk(t), powerloss.Unlimited)
	must.NoError(t, new(logUser).runWithConcurrentSnapshots(whole))
	for limit := range whole.Operations() + 1 {
		files := powerloss.NewMemory(newDataDisk(t), limit)
		user := new(logUser)
		_ = user.runWithConcurrentSnapshots(files)
		random := rand.New(rand.NewPCG(4, uint64(limit)))
		for range lossesPerOperation {
			user.check(t, files.LosePower(random))
		}
	}
}

// Guards against a member that refuses its log because of files that a snapshot has replaced: a
// loss of power may bring any of them back. A missing file that no snapshot covers must still
// be refused, whichever of the others are back.
func TestReplacedSegmentsMayComeBackInAnySubset(t *testing.T) {
	folder, restored := t.TempDir(), filepath.Join(t.TempDir(), "restored")
	w, _ := mustOpen(t, folder, smallSegmentBytes)
	saveOneByOne(t, w, &replica.HardState{Term: 1}, entryRange(1, 80, 1))
	before := make(map[string][]byte)
	for _, s := range w.segments {
		content, err := os.ReadFile(s.path)
		must.NoError(t, err)
		before[filepath.Base(s.path)] = content
	}
	must.NoError(t, w.SaveSnapshot(replica.Snapshot{Index: 40, Term: 1}))
	must.NoError(t, w.Close())
	files, err := listFiles(vfs.OS{}, folder)
	must.NoError(t, err)
	for _, path := range files.segments {
		delete(before, filepath.Base(path))
	}
	removed := slices.Sorted(maps.Keys(before))
	must.Greater(t, 2, len(removed))
	must.Greater(t, 2, len(files.segments))
	for subset := range 1 << len(removed) {
		for _, missing := range append([]string{""}, files.segments[:len(files.segments)-1]...) {
			copyFolder(t, folder, restored)
			for i, name := range removed {
				if subset>>i&1 == 1 {
					must.NoError(t, os.WriteFile(filepath.Join(restored, name), before[name], 0o600))
				}
			}
			if missing == "" {
				must.Eq(t, entryRange(41, 80, 1), readBack(t, restored).Entries)
				continue
			}
			must.NoError(t, os.Remove(filepath.Join(restored, filepath.Base(missing))))
			_, _, err := open(vfs.OS{}, restored, smallSegmentBytes, nil)
			var damage *DamageError
			must.True(t, errors.As(err, &damage), must.Sprintf("subset %b without %s: %v", subset, missing, err))
		}
	}
}
