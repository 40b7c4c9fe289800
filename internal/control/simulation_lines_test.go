package control

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// simLog keeps the lines of the leaders and of the workers until a search has found
// something.
type simLog struct {
	mu   sync.Mutex
	text []string
	// read is how many of them were looked through for claims.
	scanned int
}

// virtualMS is the virtual time in milliseconds.
func virtualMS() any { return time.Now().UnixMilli() - simEpochMS }

// simEpochMS is when virtual time begins.
var simEpochMS = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

func (l *simLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, string(line))
	return len(line), nil
}

func (l *simLog) note(event string, w *simWorker, run workflow.Run, err error) {
	_, _ = fmt.Fprintf(l, "ms=%d worker=%s %s task=%s run=%d err=%v\n", virtualMS(), w.ID, event, run.Task, run.Number, err)
}

func (l *simLog) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(l, "ms=%d "+format+"\n", append([]any{virtualMS()}, args...)...)
}

// maxShownLines is how many lines a failure shows.
const maxShownLines = 60

// about returns the last lines that hold one of the words.
func (l *simLog) linesAbout(words ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.text {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return strings.Join(found[max(0, len(found)-maxShownLines):], "")
}

// claimKey names a run as the line does that it was found to have no owner.
func claimKey(run workflow.Run) string {
	return fmt.Sprintf("event=run_claimed task=%s run=%d worker=%s ", run.Task, run.Number, run.Worker)
}

// claims returns the lines on runs that were found to have no owner, but for those that
// may be.
func (l *simLog) claims(allowed map[string]bool) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ; l.scanned < len(l.text); l.scanned++ {
		line := l.text[l.scanned]
		at := strings.Index(line, "event=run_claimed")
		if at < 0 {
			continue
		}
		key, _, _ := strings.Cut(line[at:], "unaccounted_ms=")
		if !allowed[key] {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
