package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A daemon's memory grows with each change of the configuration until the
// machine kills it. Every change is a command of several kilobytes, the log
// keeps thousands of entries before it makes a snapshot, and as many after it,
// so that a few days' changes are all held at once.
func TestLogOfLongCommandsIsCompacted(t *testing.T) {
	const size, bound, commands = 1 << 10, 16 << 10, 100
	c := newCluster(t, "a", Config{SnapshotBytes: bound})
	for i := range commands {
		c.set("document", fmt.Sprint(i)+strings.Repeat("x", size))
	}
	c.converged(3)
	for _, m := range c.running() {
		eventually(t, "a snapshot", func() bool { return m.Stats().Snapshots > 0 })
		eventually(t, "old entries gone", func() bool {
			s := m.Status()
			return s.Last-s.First < 3*bound/size
		})
	}
	must.Eq(t, fmt.Sprint(commands-1), strings.TrimRight(c.leader().machine.get("document"), "x"))
}
