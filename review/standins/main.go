// Command standins plays the cases of the review: it starts the project's programs as separate
// processes, with stand-ins for clients, operators, workers and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The processes end with the thread that started them, so that thread has to last.
func init() { runtime.LockOSThread() }

func main() {
	cases := map[string]func(rec *recorder, repo string, trouble bool) (broken bool){"leave": leaveCase, "wave": waveCase, "foreign": foreignCase, "lasting": lastingCase, "idle": idleCase}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(exitCannotRun)
	}
	rec := newRecorder(os.Args[3])
	os.Exit(play(rec, func() bool { return cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0") }))
}

// play runs a case and returns its exit code.
func play(rec *recorder, run func() bool) (code int) {
	defer func() {
		switch err := recover().(type) {
		case nil:
		case caseError:
			rec.logf("the case couldn't run: %s", err.text)
			fmt.Println("the case couldn't run:", err.text)
			code = exitCannotRun
		default:
			panic(err)
		}
	}()
	if run() {
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
