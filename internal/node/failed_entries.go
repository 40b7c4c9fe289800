package node

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// failedEntriesFile is the file in the log folder that holds the failed entries.
	failedEntriesFile = "failed_entries"
	// maxApplyAttempts is how often an entry may make the state machine panic before it is skipped.
	// Each attempt after the first one starts from the state on disk.
	maxApplyAttempts = 3
	// maxReasonBytes bounds the stored text of a panic, maxFailedEntries the entries that are stored.
	maxReasonBytes   = 1000
	maxFailedEntries = 64
)

// ErrEntryFailed marks the error of Run after an entry has made the state machine panic. The state
// machine may hold a part of its effects and must not be used any more.
var ErrEntryFailed = errors.New("an entry can't be applied")

// ErrEntrySkipped says that a command is in the log and changes nothing, because it makes the state
// machine panic.
var ErrEntrySkipped = errors.New("the command can't be applied")

// failedEntry is an entry that made the state machine panic. Digest is that of its command.
type failedEntry struct {
	Index    uint64 `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Attempts int    `cbor:"3,keyasint"`
	Reason   string `cbor:"4,keyasint"`
	Digest   uint64 `cbor:"5,keyasint"`
}

// failedEntries are the latest entries that made the state machine panic. They are kept on disk, so that a
// later start skips an entry that fails at each attempt. Without that, one such entry would end every
// member of the group, and again at each start.
//
// Apply is deterministic, so all members that run the same program skip the same entries.
type failedEntries struct {
	files   vfs.FS
	path    string
	logger  log.Logger
	entries []failedEntry
}

// openFailedEntries reads the failed entries of a log folder. The list is empty and isn't stored if folder is
// empty.
func openFailedEntries(files vfs.FS, folder string, logger log.Logger) *failedEntries {
	f := &failedEntries{files: files, logger: logger}
	if folder == "" {
		return f
	}
	f.path = filepath.Join(folder, failedEntriesFile)
	data, err := files.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return f
	}
	var stored []failedEntry
	if err == nil {
		err = codec.Unmarshal(data, &stored)
	}
	if err != nil {
		_ = level.Error(logger).Log("event", "failed_entries", "outcome", "unreadable", "err", err)
	}
	f.entries = stored
	return f
}

// find returns the record of an entry, nil if the entry hasn't failed.
func (f *failedEntries) find(e *replica.Entry) *failedEntry {
	for i := range f.entries {
		if f.entries[i].Index == e.Index && f.entries[i].Term == e.Term {
			return &f.entries[i]
		}
	}
	return nil
}

// skips reports whether an entry has failed so often that it must be skipped, and logs it.
func (f *failedEntries) skips(e *replica.Entry) bool {
	failed := f.find(e)
	if failed == nil || failed.Attempts < maxApplyAttempts {
		return false
	}
	_ = level.Error(f.logger).Log("event", "entry_skipped", "index", e.Index, "term", e.Term, "attempts", failed.Attempts, "reason", failed.Reason)
	return true
}

// refuses reports whether a command is one that is skipped: a caller that got no response to it sends it again.
func (f *failedEntries) refuses(command []byte) bool {
	if len(f.entries) == 0 {
		return false
	}
	digest := xxhash.Sum64(command)
	return slices.ContainsFunc(f.entries, func(e failedEntry) bool { return e.Attempts >= maxApplyAttempts && e.Digest == digest })
}

// record stores that an entry has made the state machine panic, and returns the error of Run.
func (f *failedEntries) record(e *replica.Entry, cause any) error {
	reason := fmt.Sprint(cause)
	failed := f.find(e)
	if failed == nil {
		f.entries = append(f.entries[max(0, len(f.entries)-maxFailedEntries+1):], failedEntry{Index: e.Index, Term: e.Term, Digest: xxhash.Sum64(e.Data)})
		failed = &f.entries[len(f.entries)-1]
	}
	failed.Attempts++
	failed.Reason = reason[:min(len(reason), maxReasonBytes)]
	storeErr := f.store()
	_ = level.Error(f.logger).Log("event", "entry_failed", "index", e.Index, "term", e.Term, "attempt", failed.Attempts,
		"reason", failed.Reason, "stack", string(debug.Stack()), "err", storeErr)
	return errors.Mark(errors.Newf("entry %d of term %d can't be applied: %s", e.Index, e.Term, failed.Reason), ErrEntryFailed)
}

// store makes the failed entries durable.
func (f *failedEntries) store() error {
	if f.path == "" {
		return nil
	}
	data, err := codec.Marshal(f.entries)
	if err != nil {
		return errors.Wrap(err, "encode the failed entries")
	}
	file, err := vfs.WriteAtomically(f.files, f.path, data)
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close the file of failed entries")
}
