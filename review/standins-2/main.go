// Command standins2 starts the two programs of the deploy file as processes and plays the clients, the operator and
// the workers of one case of the review. Its argument is the name of the case.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

var (
	current   *cluster
	currentMu sync.Mutex
)

// cannotRun ends the case without a result.
func cannotRun(cause string) {
	fmt.Fprintln(os.Stderr, "the case can't run:", cause)
	finish(exitCannotRun)
}

// finish ends all processes that the case has started, and the case.
func finish(code int) {
	currentMu.Lock()
	if current != nil {
		current.rec.end()
		current.stopAll()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(current.folder)
		}
	}
	os.Exit(code)
}

// record is the file in which the case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	ended   bool
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

func (r *record) ending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// listen serves a stand-in at a free port of an address.
func listen(ip string, handler http.Handler) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(rec *record, target, folder string, trouble bool) bool{
	"large-state":   largeState,
	"memory-limit":  memoryLimit,
	"moved-queue":   movedQueue,
	"foreign-ping":  foreignPing,
	"dropped-route": droppedRoute,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE TARGET RECORD")
		os.Exit(exitCannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case " + os.Args[1])
	}
	file, err := os.Create(os.Args[3])
	must(err)
	target, err := filepath.Abs(os.Args[2])
	must(err)
	folder, err := os.MkdirTemp("", "review-2-")
	must(err)
	rec := &record{file: file, started: time.Now()}
	time.AfterFunc(118*time.Second, func() { cannotRun("the time is over") })
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption %v", os.Args[1], trouble)
	if play(rec, target, folder, trouble) {
		rec.log("the rule held")
		finish(exitHeld)
	}
	rec.log("the rule was broken")
	finish(exitBroken)
}
