package node

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// lockedFor is how long another process has a log locked in this test.
const lockedFor = 3 * lockRetryInterval

// Guards against a member that ends at its start because an earlier process of its instance is
// still stopping and has the log locked.
func TestStartWaitsForLockOfStoppingProcess(t *testing.T) {
	folder := t.TempDir()
	lock, err := vfs.OS{}.Lock(filepath.Join(folder, "lock"))
	must.NoError(t, err)
	time.AfterFunc(lockedFor, func() { _ = lock.Close() })
	g, err := Open(t.Context(), soleMemberConfig(vfs.OS{}, folder))
	must.NoError(t, err)
	must.NoError(t, g.closeLog())
}
