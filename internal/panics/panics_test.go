package panics

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// panicEnv makes the test binary panic in a goroutine of a Group.
const panicEnv = "PANICS_TEST_PANIC"

func TestMain(m *testing.M) {
	if os.Getenv(panicEnv) != "" {
		panicInGroup()
	}
	os.Exit(m.Run())
}

// panicInGroup panics in a Group and reports the panic to standard output.
func panicInGroup() {
	SetReporter(func(r Report) { _, _ = os.Stdout.WriteString(r.Reason + "|" + r.Place) })
	group, _ := NewGroup(context.Background())
	group.Go(failingPart)
	_ = group.Wait()
}

func failingPart() error { panic(errors.New("first line\nsecond line")) }

// Guards against a panic that is only in the runtime's text, and against a report that replaces this text or the
// exit code.
func TestPanicIsReportedAndEndsProcessAsUsual(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), panicEnv+"=1")
	var runtimeText strings.Builder
	cmd.Stderr = &runtimeText
	reported, err := cmd.Output()
	var exit *exec.ExitError
	must.True(t, errors.As(err, &exit))
	must.Eq(t, 2, exit.ExitCode())
	must.StrHasPrefix(t, "first line; second line|internal/panics.failingPart panics_test.go:", string(reported))
	must.StrContains(t, runtimeText.String(), "panic: first line")
	must.StrContains(t, runtimeText.String(), "panics.failingPart")
}

func TestGroupReturnsFirstError(t *testing.T) {
	group, ctx := NewGroup(t.Context())
	failure := errors.New("failed")
	group.Go(func() error { return failure })
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	must.EqError(t, group.Wait(), "failed")
}

// Guards against a report without bound, which other lines would have to make room for.
func TestReportIsBounded(t *testing.T) {
	must.LessEq(t, maxLineBytes+len("..."), len(OneLine(strings.Repeat("ä\n", maxLineBytes))))
	must.Eq(t, "a; b", OneLine("a\n\tb\n"))
	frame := modulePath + "replica.Step()\n\t/replica/core.go:1 +0x1\n"
	must.Eq(t, maxFrames-1, strings.Count(Place(strings.Repeat(frame, 100)), " < "))
}
