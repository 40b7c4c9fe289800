package powerloss

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// draws is the number of losses of power that a test draws of one state.
const draws = 300

// contents returns the content of a file after each of many losses of power; a missing file is
// "missing".
func contents(d *Disk, path string) map[string]bool {
	seen := map[string]bool{}
	random := rand.New(rand.NewPCG(1, 1))
	for range draws {
		content, err := NewMemory(d.Lose(random), Unlimited).ReadFile(path)
		if err != nil {
			content = []byte("missing")
		}
		seen[string(content)] = true
	}
	return seen
}

func write(t *testing.T, files vfs.FS, path, text string) vfs.File {
	t.Helper()
	f, err := files.Create(path)
	must.NoError(t, err)
	_, err = f.Write([]byte(text))
	must.NoError(t, err)
	return f
}

// forEachFS runs a test with both file systems. lost returns what a loss of power may leave of
// a file.
func forEachFS(t *testing.T, run func(t *testing.T, files vfs.FS, root string, lost func(path string) map[string]bool)) {
	t.Run("memory", func(t *testing.T) {
		m := NewMemory(NewDisk(), Unlimited)
		run(t, m, "", func(path string) map[string]bool { return contents(m.disk, path) })
	})
	t.Run("recorder", func(t *testing.T) {
		folder, record := t.TempDir(), filepath.Join(t.TempDir(), "record")
		r, err := NewRecorder(folder, record)
		must.NoError(t, err)
		run(t, r, folder, func(path string) map[string]bool {
			d, err := ReadRecord(record)
			must.NoError(t, err)
			return contents(d, path)
		})
	})
}

// Guards against a harness that takes a synced file for durable although its name isn't.
func TestNameIsLostWithoutSyncOfItsFolder(t *testing.T) {
	forEachFS(t, func(t *testing.T, files vfs.FS, root string, lost func(string) map[string]bool) {
		must.NoError(t, files.MkdirAll(filepath.Join(root, "a")))
		must.NoError(t, write(t, files, filepath.Join(root, "a/f"), "text").Sync())
		must.Eq(t, map[string]bool{"text": true, "missing": true}, lost("a/f"))
		must.NoError(t, files.SyncFolder(filepath.Join(root, "a")))
		must.Eq(t, map[string]bool{"text": true, "missing": true}, lost("a/f"))
		must.NoError(t, files.SyncFolder(filepath.Join(root, ".")))
		must.Eq(t, map[string]bool{"text": true}, lost("a/f"))
	})
}

// Guards against a harness that keeps or loses unsynced bytes always alike.
func TestUnsyncedWriteIsPresentMissingOrTorn(t *testing.T) {
	forEachFS(t, func(t *testing.T, files vfs.FS, root string, lost func(string) map[string]bool) {
		f := write(t, files, filepath.Join(root, "f"), "ab")
		must.NoError(t, f.Sync())
		must.NoError(t, files.SyncFolder(filepath.Join(root, ".")))
		_, err := f.Write([]byte("cd"))
		must.NoError(t, err)
		must.Eq(t, map[string]bool{"ab": true, "abc": true, "abcd": true}, lost("f"))
	})
}

// Guards against a harness that loses a rename or a removal only as a whole.
func TestRenamedAndRemovedNamesAreIndependent(t *testing.T) {
	forEachFS(t, func(t *testing.T, files vfs.FS, root string, lost func(string) map[string]bool) {
		at := func(name string) string { return filepath.Join(root, name) }
		f := write(t, files, at("old"), "text")
		must.NoError(t, f.Sync())
		must.NoError(t, write(t, files, at("gone"), "x").Sync())
		must.NoError(t, files.SyncFolder(at(".")))
		must.NoError(t, files.Rename(at("old"), at("new")))
		must.NoError(t, files.Remove(at("gone")))
		either := map[string]bool{"text": true, "missing": true}
		must.Eq(t, either, lost("old"))
		must.Eq(t, either, lost("new"))
		must.Eq(t, map[string]bool{"x": true, "missing": true}, lost("gone"))
		must.NoError(t, files.SyncFolder(at(".")))
		_, err := f.Write([]byte("!"))
		must.NoError(t, err)
		must.NoError(t, f.Sync())
		must.Eq(t, map[string]bool{"text!": true}, lost("new"))
		must.Eq(t, map[string]bool{"missing": true}, lost("old"))
	})
}

// Guards against operations after the loss of power that still change the disk.
func TestNothingChangesWithoutPower(t *testing.T) {
	m := NewMemory(NewDisk(), 2)
	f := write(t, m, "f", "text")
	must.ErrorIs(t, f.Sync(), ErrNoPower)
	must.Eq(t, 2, m.Operations())
}

// Guards against a record that contradicts the files after a process was killed between an
// operation and its record: what the record lacks is recorded as not durable.
func TestRecordGoesOnAfterKilledProcess(t *testing.T) {
	folder, record := t.TempDir(), filepath.Join(t.TempDir(), "record")
	r, err := NewRecorder(folder, record)
	must.NoError(t, err)
	f := write(t, r, filepath.Join(folder, "f"), "ab")
	must.NoError(t, f.Sync())
	must.NoError(t, r.SyncFolder(folder))
	must.NoError(t, os.WriteFile(filepath.Join(folder, "f"), []byte("abc"), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(folder, "g"), []byte("new"), 0o600))
	_, err = NewRecorder(folder, record)
	must.NoError(t, err)
	d, err := ReadRecord(record)
	must.NoError(t, err)
	must.Eq(t, map[string]bool{"ab": true, "abc": true}, contents(d, "f"))
	must.MapContainsKeys(t, contents(d, "g"), []string{"new", "missing"})

	left := t.TempDir()
	must.NoError(t, d.Lose(rand.New(rand.NewPCG(1, 1))).WriteTo(left))
	content, err := os.ReadFile(filepath.Join(left, "f"))
	must.NoError(t, err)
	must.StrHasPrefix(t, "ab", string(content))
}

// Guards against a record that can't be read any more after a process was killed halfway through
// the record of an operation.
func TestRecordGoesOnAfterHalfAnOperation(t *testing.T) {
	folder, record := t.TempDir(), filepath.Join(t.TempDir(), "record")
	r, err := NewRecorder(folder, record)
	must.NoError(t, err)
	write(t, r, filepath.Join(folder, "f"), "ab")
	info, err := os.Stat(record)
	must.NoError(t, err)
	must.NoError(t, os.Truncate(record, info.Size()-1))
	r, err = NewRecorder(folder, record)
	must.NoError(t, err)
	must.NoError(t, write(t, r, filepath.Join(folder, "g"), "cd").Sync())
	must.NoError(t, r.SyncFolder(folder))
	d, err := ReadRecord(record)
	must.NoError(t, err)
	must.Eq(t, map[string]bool{"cd": true}, contents(d, "g"))
	must.MapContainsKeys(t, contents(d, "f"), []string{"", "ab"})
}

// Guards against a record that takes durable files for unsynced ones after a process was killed while
// it began the record.
func TestFilesAreDurableAfterUnfinishedStartOfRecord(t *testing.T) {
	folder, record := t.TempDir(), filepath.Join(t.TempDir(), "record")
	must.NoError(t, os.WriteFile(filepath.Join(folder, "f"), []byte("ab"), 0o600))
	loop := filepath.Join(folder, "loop")
	must.NoError(t, os.Symlink(loop, loop))
	_, err := NewRecorder(folder, record)
	must.Error(t, err)
	must.NoError(t, os.Remove(loop))
	_, err = NewRecorder(folder, record)
	must.NoError(t, err)
	d, err := ReadRecord(record)
	must.NoError(t, err)
	must.Eq(t, map[string]bool{"ab": true}, contents(d, "f"))
}
