package control

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// simLog keeps the log lines of the leaders and the workers to print them if the
// simulation fails.
type simLog struct {
	mu    sync.Mutex
	lines []string
	// scanned is how many lines have been searched for orphaned runs.
	scanned int
}

// virtualMS returns the virtual time since the start of the simulation in milliseconds.
func virtualMS() any { return time.Now().UnixMilli() - simEpochMS }

// simEpochMS is when virtual time starts, in milliseconds of Unix time.
var simEpochMS = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

func (l *simLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

func (l *simLog) logRun(event string, w *simWorker, run workflow.Run, err error) {
	_, _ = fmt.Fprintf(l, "ms=%d worker=%s %s task=%s run=%d err=%v\n", virtualMS(), w.ID, event, run.Task, run.Number, err)
}

func (l *simLog) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(l, "ms=%d "+format+"\n", append([]any{virtualMS()}, args...)...)
}

// maxShownLines is how many log lines a failed simulation prints.
const maxShownLines = 60

// linesAbout returns the last maxShownLines lines that contain one of the words.
func (l *simLog) linesAbout(words ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return strings.Join(found[max(0, len(found)-maxShownLines):], "")
}

// orphanKey returns the text by which a log line names a run that was found to be orphaned.
func orphanKey(run workflow.Run) string {
	return fmt.Sprintf("event=run_claimed task=%s run=%d worker=%s ", run.Task, run.Number, run.Worker)
}

// unexpectedOrphans returns the log lines since the previous call about orphaned runs
// whose orphanKey is not in allowed.
func (l *simLog) unexpectedOrphans(allowed map[string]bool) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ; l.scanned < len(l.lines); l.scanned++ {
		line := l.lines[l.scanned]
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
