package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/event"
)

// hintedError is an error with a hint that tells the user what to do next.
type hintedError struct {
	error
	hint string
}

func (e *hintedError) Unwrap() error { return e.error }

// withHint adds a hint to an error that has none yet.
func withHint(err error, hint string) error {
	var hinted *hintedError
	if err == nil || errors.As(err, &hinted) {
		return err
	}
	return &hintedError{error: err, hint: hint}
}

// withUsageHint adds a hint that refers to the help of a command.
func withUsageHint(err error, command string) error {
	return withHint(err, fmt.Sprintf("run \"%s help %s\" for an example", programName, command))
}

// defaultHints are the hints for errors of a kind to which the command adds no hint of
// its own.
var defaultHints = map[fault.Kind]string{
	fault.NotFound:            "check the id with \"bilberry status --ended\", \"bilberry workers\" or \"bilberry instances\"",
	fault.Denied:              "check whose token is used: customers change jobs (--customer name with --settings, or --token-file), operators run the system",
	fault.Conflict:            "read the current state first, then decide again",
	fault.Infeasible:          "make the job fit a worker: fewer processors, less memory or fewer tasks at once; see \"bilberry workers\"",
	fault.DeadlineUnreachable: "give a later deadline or fewer tasks, or retry later",
	fault.QuotaExceeded:       "wait for running work to end or ask for more quota; see \"bilberry quota\"",
	fault.Overloaded:          "retry later",
	fault.Unavailable:         "check the addresses and \"bilberry instances\"; the same call may be sent again",
	fault.NotRun:              "submit the job again",
	fault.Unknown:             "check on the worker whether the work was done before you repeat it",
	fault.Internal:            "check the logs of the entry instance",
}

// errorOutput is an error with its exit code as --json prints it.
type errorOutput struct {
	Kind         string `json:"kind"`
	Field        string `json:"field,omitempty"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Next         string `json:"next,omitempty"`
	ExitCode     int    `json:"exit_code"`
}

// fail prints an error and returns its exit code.
func (s *session) fail(err error) int {
	f := fault.From(err)
	output := errorOutput{
		Kind:         f.Kind.String(),
		Field:        f.Field,
		Message:      oneLine(f.Message),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
		Next:         defaultHints[f.Kind],
		ExitCode:     f.Kind.ExitCode(),
	}
	var hinted *hintedError
	if errors.As(err, &hinted) {
		output.Next = hinted.hint
	}
	if s.globals.json {
		s.failJSON(output)
	} else {
		s.failText(output)
	}
	return output.ExitCode
}

func (s *session) failJSON(output errorOutput) {
	text, err := json.Marshal(map[string]errorOutput{"error": output})
	if err != nil {
		s.failText(output)
		return
	}
	fmt.Fprintln(s.app.Stderr, string(text))
}

func (s *session) failText(output errorOutput) {
	cause := output.Message
	if output.Field != "" {
		cause = event.Printable(output.Field) + ": " + cause
	}
	fmt.Fprintf(s.app.Stderr, "%s: %s: %s", programName, output.Kind, cause)
	if output.RetryAfterMs > 0 {
		fmt.Fprintf(s.app.Stderr, " (again in %s)", formatMilliseconds(output.RetryAfterMs))
	}
	fmt.Fprintln(s.app.Stderr)
	if output.Next != "" {
		fmt.Fprintf(s.app.Stderr, "  next: %s\n", event.Printable(output.Next))
	}
}

// warn prints a warning to the error stream.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.app.Stderr, "%s: warning: %s\n", programName, oneLine(fmt.Sprintf(format, args...)))
}

// warnUnreachable warns that the named data centres or instances are missing from a
// response. kind is "data centres" or "instances".
func (s *session) warnUnreachable(kind string, names []string) {
	if len(names) > 0 {
		s.warn("%s not reached, missing from the response: %s", kind, strings.Join(names, ", "))
	}
}

// oneLine joins the words of a text with single spaces and replaces its control
// characters.
func oneLine(text string) string {
	return event.Printable(strings.Join(strings.Fields(text), " "))
}
