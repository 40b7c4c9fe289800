package node

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// lineBuffer holds log lines. It is safe for concurrent use.
type lineBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// count returns how often a text was logged.
func (b *lineBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// Guards against a group that has lost all its state and starts anew in silence.
func TestLeaderOfGroupThatLostAllStateIsLogged(t *testing.T) {
	lines := new(lineBuffer)
	c := newCluster(t, "abc", Config{ExpectState: true, Logger: log.NewLogfmtLogger(lines)})
	c.setMany("k", 3)
	c.converged(3)
	must.Eq(t, 3, lines.count("event=log_empty"))
	must.Eq(t, 1, lines.count("event=state_lost"))
}

// Guards against a false alarm: one member has lost its disk and recovers from the others, and
// may lead later.
func TestLossOfOneDiskIsNotLoggedAsLossOfAllState(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	c.setMany("k", 3)
	c.converged(3)
	lines := new(lineBuffer)
	c.config.ExpectState, c.config.Logger = true, log.NewLogfmtLogger(lines)
	c.stop("a")
	must.NoError(t, os.RemoveAll(filepath.Join(c.folder, "a")))
	c.start("a")
	c.converged(3)
	for c.leader().cfg.ID != "a" {
		leader := c.leader().cfg.ID
		c.stop(leader)
		c.setMany("l", 1)
		c.start(leader)
		c.converged(3)
	}
	c.setMany("m", 3)
	must.Eq(t, 1, lines.count("event=log_empty"))
	must.Eq(t, 0, lines.count("event=state_lost"))
}
