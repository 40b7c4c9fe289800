package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a log of long commands that fills the memory until the operating
// system kills the process. A change of the configuration is a command of several
// kilobytes. If snapshots and compaction counted only entries, thousands of commands
// would stay in memory before a snapshot, and thousands more after it.
func TestLogOfLongCommandsIsCompacted(t *testing.T) {
	const commandBytes, snapshotBytes, commandCount = 1 << 10, 16 << 10, 100
	c := newCluster(t, "a", Config{SnapshotBytes: snapshotBytes})
	for i := range commandCount {
		c.set("document", fmt.Sprint(i)+strings.Repeat("x", commandBytes))
	}
	c.converged(3)
	taken := uint64(0)
	for _, m := range c.running() {
		// A member that was behind has a snapshot of another one.
		eventually(t, "a snapshot", func() bool { return m.Stats().Snapshots+m.Stats().Restores > 0 })
		eventually(t, "old entries to be dropped", func() bool {
			s := m.Status()
			return s.Last-s.First < 3*snapshotBytes/commandBytes
		})
		taken += m.Stats().Snapshots
	}
	must.Positive(t, taken, must.Sprint("snapshots that members have taken"))
	must.Eq(t, fmt.Sprint(commandCount-1), strings.TrimRight(c.leader().machine.get("document"), "x"))
}
