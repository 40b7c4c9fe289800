package node

import (
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Guards against failed entries that can't be read again, because the text of a panic isn't UTF-8 or is cut within a
// character.
func TestFailedEntriesAreReadWhateverPanicsSay(t *testing.T) {
	for name, reason := range map[string]string{
		"not UTF-8":              "worker \xff\xfe is unknown",
		"cut within a character": strings.Repeat("a", maxReasonBytes-1) + "é",
	} {
		lines, folder := new(lineBuffer), t.TempDir()
		logger := log.NewLogfmtLogger(lines)
		entry := replica.Entry{Index: 5, Term: 2}
		for range maxApplyAttempts {
			f := openFailedEntries(vfs.OS{}, folder, logger)
			must.False(t, f.skips(&entry), must.Sprint(name))
			must.Error(t, f.record(&entry, reason))
		}
		f := openFailedEntries(vfs.OS{}, folder, logger)
		must.True(t, f.skips(&entry), must.Sprint(name))
		must.NotEq(t, "", f.find(&entry).Reason, must.Sprint(name))
		must.Zero(t, lines.count("unreadable"), must.Sprint(name))
	}
}
