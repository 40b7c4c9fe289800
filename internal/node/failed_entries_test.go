package node

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// badCommand is a command that makes the state machine panic.
var badCommand = []byte("not a command")

// restartEnded starts the members again that have ended by an entry that can't be applied.
func (c *cluster) restartEnded() {
	c.t.Helper()
	for _, m := range c.running() {
		select {
		case err := <-m.runErr:
			must.True(c.t, errors.Is(err, ErrEntryFailed), must.Sprint(err))
			m.cancel()
			c.start(m.cfg.ID)
		default:
		}
	}
}

// commitAndSkipBadCommand commits a command that can't be applied, and waits until a leader commits commands again. Members
// that end are started again.
func (c *cluster) commitAndSkipBadCommand() {
	c.t.Helper()
	_, err := c.leader().Propose(c.t.Context(), badCommand)
	must.True(c.t, errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
	skipped := func() bool {
		c.restartEnded()
		running := c.running()
		for _, m := range running {
			if m.Stats().EntriesSkipped == 0 && m.Stats().Restores == 0 {
				return false
			}
		}
		return true
	}
	eventually(c.t, "the entry to be skipped everywhere", skipped)
}

// Guards against one entry that ends every member of the group, and again at each start.
func TestEntryThatCannotBeAppliedIsSkipped(t *testing.T) {
	lines := new(lineBuffer)
	c := newCluster(t, "abc", Config{Logger: log.NewLogfmtLogger(lines)})
	c.setMany("before", 10)
	c.commitAndSkipBadCommand()
	c.setMany("after", 10)
	c.converged(3)
	must.Eq(t, "9", c.leader().machine.get("before9"))
	must.LessEq(t, maxApplyAttempts*3, lines.count("event=entry_failed"))
}

// Guards against a caller that ends every member again and again, as it repeats the command to which it got no response.
func TestRepeatedCommandThatCannotBeAppliedIsRefused(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	c.commitAndSkipBadCommand()
	c.setMany("after", 10)
	for range 5 {
		_, err := c.leader().Propose(t.Context(), badCommand)
		must.True(t, errors.Is(err, ErrEntrySkipped), must.Sprint(err))
	}
	c.converged(3)
}

// Guards against members that disagree on an entry that was skipped: one of them starts without state, and all of them
// start again.
func TestSkippedEntryStaysSkipped(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	c.setMany("before", 10)
	c.commitAndSkipBadCommand()
	c.setMany("after", 10)
	c.converged(3)
	c.stop("a")
	must.NoError(t, os.RemoveAll(filepath.Join(c.folder, "a")))
	c.start("a")
	c.converged(3)
	c.stopAll()
	for _, id := range []string{"a", "b", "c"} {
		c.start(id)
	}
	c.setMany("later", 10)
	c.converged(3)
}

// Guards against an entry that is skipped although it failed only once, as by a fault of the machine.
func TestEntryThatFailsOnceIsAppliedAtTheNextStart(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	leader := c.leader()
	leader.machine.mu.Lock()
	leader.machine.onApply = func() { panic("a fault that passes") }
	leader.machine.mu.Unlock()
	_, err := leader.Propose(t.Context(), encodeSet("k", "v"))
	must.True(t, errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
	eventually(t, "the next start of the leader", func() bool {
		c.restartEnded()
		return !slices.Contains(c.running(), leader)
	})
	c.setMany("after", 10)
	c.converged(3)
	for _, m := range c.running() {
		must.Zero(t, m.Stats().EntriesSkipped)
	}
}
