package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

// fakeEntry is an entry instance that responds as a test specifies and counts its
// requests. Calls that a test doesn't expect panic on the embedded nil interface.
type fakeEntry struct {
	apiv1.Scheduler
	apiv1.Operations
	apiv1.Workflows
	customers *apiv1.CustomersStatus
	submit    func(*apiv1.SubmitRequest) (*apiv1.SubmitResponse, error)
	cancel    func(*apiv1.CancelRequest) (*apiv1.CancelResponse, error)
	watch     func(*apiv1.WatchRequest) (*apiv1.StatusResponse, error)
	status    func(*apiv1.StatusRequest) (*apiv1.StatusResponse, error)
	setConfig func(*apiv1.SetConfigRequest) (*apiv1.Config, error)
	config    *apiv1.Config
	events    *apiv1.EventsResponse
	address   string

	mu    sync.Mutex
	calls int
	token string
}

func (f *fakeEntry) Home(context.Context, *apiv1.HomeRequest) (*apiv1.HomeResponse, error) {
	return &apiv1.HomeResponse{DataCentre: "hall"}, nil
}

func (f *fakeEntry) Submit(_ context.Context, request *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	response, err := f.submit(request)
	return response, fault.ToTwirp(err)
}
func (f *fakeEntry) Cancel(_ context.Context, request *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	response, err := f.cancel(request)
	return response, fault.ToTwirp(err)
}
func (f *fakeEntry) Watch(_ context.Context, request *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
	response, err := f.watch(request)
	return response, fault.ToTwirp(err)
}
func (f *fakeEntry) Status(_ context.Context, request *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	response, err := f.status(request)
	return response, fault.ToTwirp(err)
}
func (f *fakeEntry) SetConfig(_ context.Context, request *apiv1.SetConfigRequest) (*apiv1.Config, error) {
	response, err := f.setConfig(request)
	return response, fault.ToTwirp(err)
}
func (f *fakeEntry) GetConfig(context.Context, *apiv1.GetConfigRequest) (*apiv1.Config, error) {
	return f.config, nil
}
func (f *fakeEntry) Events(context.Context, *apiv1.EventsRequest) (*apiv1.EventsResponse, error) {
	return f.events, nil
}

func (f *fakeEntry) GetCustomers(context.Context, *apiv1.CustomersRequest) (*apiv1.CustomersStatus, error) {
	if f.customers == nil {
		return nil, fault.ToTwirp(fault.New(fault.Unavailable, "no leader is reached"))
	}
	return f.customers, nil
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.calls++
	f.token = r.Header.Get("Authorization")
	f.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, apiv1.SchedulerPathPrefix) {
		apiv1.NewSchedulerServer(f).ServeHTTP(w, r)
		return
	}
	if strings.HasPrefix(r.URL.Path, apiv1.WorkflowsPathPrefix) {
		apiv1.NewWorkflowsServer(f).ServeHTTP(w, r)
		return
	}
	apiv1.NewOperationsServer(f).ServeHTTP(w, r)
}

// start serves the fake entry instance on loopback over HTTP/2 without TLS.
func (f *fakeEntry) start(t *testing.T) *fakeEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: f, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.address = listener.Addr().String()
	return f
}

// result is the exit code and output of one command line.
type result struct {
	exitCode       int
	stdout, stderr string
}

// runner runs command lines against entry instances. It keeps the token and other files in a
// temporary folder.
type runner struct {
	folder     string
	isTerminal bool
	entries    []string
}

func newRunner(t *testing.T, fakes ...*fakeEntry) *runner {
	t.Helper()
	r := &runner{folder: t.TempDir()}
	for _, f := range fakes {
		r.entries = append(r.entries, f.address)
	}
	r.write(t, "token", "secret-token\n")
	return r
}

func (r *runner) write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(r.folder, name)
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func (r *runner) run(args ...string) result {
	var out, errs bytes.Buffer
	environment := map[string]string{
		envEntry:     strings.Join(r.entries, ","),
		envTokenFile: filepath.Join(r.folder, "token"),
	}
	app := &App{
		Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, IsTerminal: r.isTerminal, Now: time.Now,
		Getenv: func(name string) string { return environment[name] },
	}
	code := app.Run(context.Background(), args)
	return result{code, out.String(), errs.String()}
}

const validJob = "name = \"a\"\npolicy = \"batch\"\ncpu = \"1\"\nruntime = \"2s\"\ndeadline = \"+45s\"\n"

// An entry instance accepts a job and crashes before its response arrives. The command
// must send the same request with the same id and deadline to the next entry
// instance, or the job runs twice.
func TestLostResponseIsResentWithTheSameID(t *testing.T) {
	var sent []*apiv1.SubmitRequest
	crashing := (&fakeEntry{submit: func(request *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
		sent = append(sent, request)
		panic(http.ErrAbortHandler)
	}}).start(t)
	next := (&fakeEntry{submit: func(request *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
		sent = append(sent, request)
		return &apiv1.SubmitResponse{Id: "dc-1", DataCentre: "dc", State: apiv1.JobState_JOB_STATE_QUEUED}, nil
	}}).start(t)
	r := newRunner(t, crashing, next)
	got := r.run("submit", r.write(t, "job.toml", validJob))
	must.Eq(t, 0, got.exitCode)
	must.Eq(t, "dc-1 a in dc: queued\n", got.stdout)
	must.Len(t, 2, sent)
	must.Eq(t, sent[0].GetRequestId(), sent[1].GetRequestId())
	must.Eq(t, sent[0].GetSpec().GetDeadlineUnixMs(), sent[1].GetSpec().GetDeadlineUnixMs())
	must.StrHasPrefix(t, "cli-", sent[0].GetRequestId())
	must.Eq(t, "Bearer secret-token", next.token)
}

// No entry instance responds, so the outcome of the submission is unknown. The message
// must say how to send the same request again and must not claim that the job wasn't
// run.
func TestUnknownOutcomeOfSubmitExplainsResend(t *testing.T) {
	var id string
	crashing := (&fakeEntry{submit: func(request *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
		id = request.GetRequestId()
		panic(http.ErrAbortHandler)
	}}).start(t)
	r := newRunner(t, crashing)
	got := r.run("submit", r.write(t, "job.toml", validJob))
	must.Eq(t, fault.Unavailable.ExitCode(), got.exitCode)
	must.StrContains(t, got.stderr, "--home hall --request-id "+id+" --deadline 2")
	must.StrNotContains(t, got.stderr, "secret")
	must.Eq(t, "", got.stdout)
}

// An entry instance crashes during "config set". The message must say that the call may
// have been carried out and how to send the same request again.
func TestUnknownOutcomeOfConfigSetExplainsResend(t *testing.T) {
	var id string
	f := (&fakeEntry{setConfig: func(request *apiv1.SetConfigRequest) (*apiv1.Config, error) {
		id = request.GetRequestId()
		panic(http.ErrAbortHandler)
	}}).start(t)
	r := newRunner(t, f)
	got := r.run("config", "set", r.write(t, "c.toml", "# version 1\n"))
	must.Eq(t, fault.Unavailable.ExitCode(), got.exitCode)
	must.StrContains(t, got.stderr, "may have been carried out; send it again with --request-id "+id)
}

// An entry instance refuses a call. The command must report the refusal with its
// retry time and not try the next instance.
func TestRefusalIsNotRetriedAtOtherInstance(t *testing.T) {
	refusing := (&fakeEntry{status: func(*apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
		return nil, fault.Retry(fault.Denied, 1500*time.Millisecond, "no\nsuch \x1b[2Jtoken")
	}}).start(t)
	second := (&fakeEntry{}).start(t)
	got := newRunner(t, refusing, second).run("status")
	must.Eq(t, fault.Denied.ExitCode(), got.exitCode)
	must.Eq(t, 0, second.calls)
	must.StrHasPrefix(t, "bilberry: Denied: no such \uFFFD[2Jtoken (again in 1.5s)\n  next: ", got.stderr)
	got = newRunner(t, refusing).run("--json", "status")
	var shown map[string]errorOutput
	must.NoError(t, json.Unmarshal([]byte(got.stderr), &shown))
	must.Eq(t, "Denied", shown["error"].Kind)
	must.Eq(t, int64(1500), shown["error"].RetryAfterMs)
}

// maxErrorLineBytes bounds the first line of an error message, also for long arguments.
const maxErrorLineBytes = 500

// Typing errors and malicious arguments must be rejected as Invalid, with one line for the
// cause and one for the hint, before any instance is called.
func TestInvalidInputIsRejectedBeforeAnyCall(t *testing.T) {
	f := (&fakeEntry{}).start(t)
	r := newRunner(t, f)
	validJobFile := r.write(t, "good.toml", validJob)
	truncated := r.write(t, "half.toml", validJob[:len(validJob)-9])
	configFile := r.write(t, "conf.toml", "[[customer]]\nname = \"a\"\n")
	versioned := r.write(t, "versioned.toml", "# version 4\n")
	oversizedFile := r.write(t, "huge.toml", strings.Repeat("#", maxJobFileBytes+1))
	empty := r.write(t, "empty", "")
	longArgument := strings.Repeat("x", maxArgumentBytes+1)
	lines := [][]string{
		{}, {"nonsense"}, {"--nonsense"}, {"help", "nonsense"}, {"status", "--nonsense"}, {"status", "--limit"}, {"status", "--limit", "x"},
		{"status", "--limit", "0"}, {"status", "--limit=1", "--limit=1"}, {"status", "a", "a"}, {"status", ""}, {"status", longArgument}, {"status", "a\nb"}, {"status", "\xff"},
		{"status", "--timeout", "0s"}, {"status", "--timeout", "5"}, {"status", "--entry", "localhost:1"}, {"status", "--entry", ","},
		{"status", "--entry", "127.0.0.1:1,127.0.0.1:1"}, {"status", "--token-file", empty}, {"status", "--token-file", r.folder}, {"status", "--settings", truncated},
		{"submit"}, {"submit", "absent.toml"}, {"submit", r.folder}, {"submit", truncated}, {"submit", validJobFile, truncated}, {"submit", validJobFile, validJobFile}, {"submit", oversizedFile}, {"submit", "-"},
		{"submit", "--deadline", "-1s", validJobFile}, {"submit", "--deadline", "2001-01-01T00:00:00Z", validJobFile}, {"submit", "--request-id", "a b", validJobFile},
		{"watch"}, {"watch", "a", "b"}, {"explain"}, {"explain", "--", "--x", "y"},
		{"cancel"}, {"cancel", "--all", "a"}, {"cancel", "--all", "--name", "a"}, {"cancel", "--name", "", "--dry-run"}, {"cancel", ""}, {"cancel", "a", "a"},
		{"scale", "a"}, {"scale", "a", "-1"}, {"scale", "a", "1e3"}, {"scale", "a", "99999999999999999999"}, {"drain"}, {"drain", "a", "b"}, {"undrain", "a b"},
		{"config"}, {"config", "nonsense"}, {"config", "get", "x"}, {"config", "get", "--expect", "1"}, {"config", "set"}, {"config", "set", configFile}, {"config", "set", validJobFile, "--expect", "1"},
		{"config", "set", versioned, "--expect", "5"}, {"config", "set", configFile, "--expect", "-2"}, {"config", "history", "--limit", "-1"},
		{"quota", "x"}, {"workers", "x"}, {"instances", "x"}, {"version", "x"}, {"completion"}, {"completion", "fish"},
		{"timeline", "--job", "a", "--worker", "b"}, {"timeline", "--since", "-1s"}, {"timeline", "--since", "10"}, {"timeline", "x"},
		{"check-settings"}, {"check-settings", "absent"}, {"check-settings", truncated}, {"check-settings", validJobFile, validJobFile},
		{"replace-instance", "--data-centre", "d", "a", "b"}, {"replace-instance", "a", "b", "10.0.0.1:1"}, {"replace-instance", "--data-centre", "d", "a", "a", "10.0.0.1:1"},
		{"replace-instance", "--data-centre", "d", "a", "b", "host:1"}, {"replace-instance", "--data-centre", "d", "a", "b", "0.0.0.0:1"},
	}
	for _, args := range lines {
		got := r.run(args...)
		must.Eq(t, fault.Invalid.ExitCode(), got.exitCode, must.Sprintf("%q: %s", args, got.stderr))
		must.Eq(t, "", got.stdout)
		cause, next, _ := strings.Cut(got.stderr, "\n")
		must.StrHasPrefix(t, "bilberry: Invalid: ", cause)
		must.Less(t, maxErrorLineBytes, len(cause))
		must.StrHasPrefix(t, "  next: ", next, must.Sprintf("%q: %s", args, got.stderr))
		must.Eq(t, 2, strings.Count(got.stderr, "\n"))
	}
	must.Eq(t, 0, f.calls)
}

// Each command must print its help, with an example, for --help, for -h, and as "help
// COMMAND". The bash completion must contain each command.
func TestHelpOfEachCommandHasAnExample(t *testing.T) {
	r := newRunner(t)
	for _, c := range builtinCommands() {
		for _, args := range [][]string{{c.name, "--help"}, {"help", c.name}, {c.name, "x", "-h"}} {
			got := r.run(args...)
			must.Eq(t, 0, got.exitCode)
			_, example, _ := strings.Cut(got.stdout, "\nExample:\n")
			must.StrContains(t, example, "bilberry "+c.name)
		}
		must.StrContains(t, r.run("completion", "bash").stdout, "    "+c.name+") words=\"--help")
	}
}

// watchResponse returns a response with a job of four tasks. The number of ended tasks
// equals the revision.
func watchResponse(revision uint64, state apiv1.JobState, kind string) *apiv1.StatusResponse {
	return &apiv1.StatusResponse{Jobs: []*apiv1.Job{{Id: "dc-1", Revision: revision, State: state, ReasonKind: kind, TasksEnded: int32(revision), TasksQueued: 4 - int32(revision)}}}
}

// Scripts need the exit code of "watch" to tell how a job ended, also when the reason names
// no error kind or the server sends a state that this program doesn't know ("newer").
func TestWatchExitCodeTellsHowTheJobEnded(t *testing.T) {
	ends := map[string]struct {
		state apiv1.JobState
		kind  string
		code  int
	}{
		"finished": {apiv1.JobState_JOB_STATE_FINISHED, "", 0},
		"not run":  {apiv1.JobState_JOB_STATE_NOT_RUN, "", fault.NotRun.ExitCode()},
		"late":     {apiv1.JobState_JOB_STATE_NOT_RUN, "DeadlineUnreachable", fault.DeadlineUnreachable.ExitCode()},
		"unknown":  {apiv1.JobState_JOB_STATE_UNKNOWN, "", fault.Unknown.ExitCode()},
		"newer":    {apiv1.JobState(99), "", fault.Unknown.ExitCode()},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := (&fakeEntry{watch: func(request *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
				if request.GetAfterRevision() == 0 {
					return watchResponse(1, apiv1.JobState_JOB_STATE_RUNNING, ""), nil
				}
				return watchResponse(2, end.state, end.kind), nil
			}}).start(t)
			got := newRunner(t, f).run("watch", "dc-1")
			must.Eq(t, end.code, got.exitCode)
			must.StrContains(t, got.stdout, "dc-1  running  3 queued, 0 running, 1 ended\n")
			must.StrNotContains(t, got.stdout, "\x1b")
			terminal := newRunner(t, f)
			terminal.isTerminal = true
			must.StrContains(t, terminal.run("watch", "dc-1").stdout, "\x1b[32mrunning\x1b[0m  [#####...............]")
		})
	}
}

// A caller puts terminal control characters into its job's name. Listing jobs must
// replace them, or they take effect in the operator's terminal.
func TestTablesReplaceControlCharacters(t *testing.T) {
	f := (&fakeEntry{status: func(*apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
		return &apiv1.StatusResponse{Jobs: []*apiv1.Job{{Id: "a", Spec: &apiv1.Spec{Name: "\x1b[2Jx\ny"}}}, UnreachableDataCentres: []string{"dc2"}}, nil
	}}).start(t)
	r := newRunner(t, f)
	r.isTerminal = true
	got := r.run("status", "--no-colour", "--tasks")
	must.Eq(t, 0, got.exitCode)
	must.StrNotContains(t, got.stdout, "\x1b")
	must.StrContains(t, got.stderr, "dc2")
	must.True(t, json.Valid([]byte(r.run("status", "--json").stdout)))
}

// A data centre is unreachable during "cancel". The exit code must show that its jobs
// continue.
func TestPartialCancelIsAnError(t *testing.T) {
	f := (&fakeEntry{cancel: func(request *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
		return &apiv1.CancelResponse{Ids: []string{"a"}, UnreachableDataCentres: []string{"dc2"}}, nil
	}}).start(t)
	got := newRunner(t, f).run("cancel", "--all", "--dry-run")
	must.Eq(t, fault.Unavailable.ExitCode(), got.exitCode)
	must.Eq(t, "a\n1 job would be cancelled\n", got.stdout)
	must.StrContains(t, got.stderr, "dc2")
}

// Two operators read version 7 and write. The output of "get" contains the version,
// so the second write must be refused and must not undo the first.
func TestConfigSetRejectsStaleVersion(t *testing.T) {
	version := uint64(7)
	f := (&fakeEntry{config: &apiv1.Config{Version: 7, Document: "# version 3, old\n[[customer]]\nname = \"a\"", Author: "op\nx"}}).start(t)
	f.setConfig = func(request *apiv1.SetConfigRequest) (*apiv1.Config, error) {
		if request.GetExpectedVersion() != version {
			return nil, fault.New(fault.Conflict, "the current version is %d", version)
		}
		must.StrHasPrefix(t, "[[customer]]", request.GetDocument())
		version++
		return &apiv1.Config{Version: version}, nil
	}
	r := newRunner(t, f)
	file := r.write(t, "c.toml", r.run("config", "get").stdout)
	must.Eq(t, "version 8 is accepted\n", r.run("config", "set", file).stdout)
	got := r.run("config", "set", file)
	must.Eq(t, fault.Conflict.ExitCode(), got.exitCode)
	must.StrContains(t, got.stderr, "the current version is 8")
}

// Instances return events out of order and the same event twice, and one instance is
// unreachable. The timeline must be sorted, without duplicates, and warn about the missing
// instance. Writing it to a path that isn't a regular file must fail without leaving a
// temporary file.
func TestTimelineSortsAndDeduplicatesEvents(t *testing.T) {
	f := (&fakeEntry{events: &apiv1.EventsResponse{
		Events:               []*apiv1.Event{{WallMs: 2, Instance: "b", Kind: "second"}, {WallMs: 1, Instance: "a", Kind: "first"}, {WallMs: 2, Instance: "b", Kind: "second"}},
		UnreachableInstances: []string{"c"},
	}}).start(t)
	r := newRunner(t, f)
	got := r.run("timeline", "--job", "x")
	must.Eq(t, 0, got.exitCode)
	must.RegexMatch(t, regexp.MustCompile(`(?s)^1970[^\n]*first\n1970[^\n]*second\n$`), got.stdout)
	must.StrContains(t, got.stderr, "instances not reached, missing from the response: c")
	page := filepath.Join(r.folder, "line.html")
	must.Eq(t, 0, r.run("timeline", "--html", page).exitCode)
	content, err := os.ReadFile(page)
	must.NoError(t, err)
	must.StrContains(t, string(content), "</html>")
	must.Eq(t, fault.Invalid.ExitCode(), r.run("timeline", "--html", r.folder).exitCode)
	pipe := filepath.Join(r.folder, "pipe") // represents a device such as /dev/null
	must.NoError(t, syscall.Mkfifo(pipe, 0o600))
	must.Eq(t, fault.Invalid.ExitCode(), r.run("timeline", "--html", pipe).exitCode)
	leftovers, err := filepath.Glob(filepath.Join(r.folder, ".bilberry-*"))
	must.NoError(t, err)
	must.SliceEmpty(t, leftovers)
}

// Guards against an operator who can't tell no limit from a limit of 0, or a removed customer from a
// configured one, and against a leader that isn't reached but looks like a cell without customers.
func TestCustomersShowsLimitsAndWhatIsMissing(t *testing.T) {
	limit, none := &apiv1.Resources{CpuMilli: 2000, MemoryMib: -1, Accelerators: -1}, &apiv1.Resources{CpuMilli: -1, MemoryMib: -1, Accelerators: -1}
	r := newRunner(t, (&fakeEntry{customers: &apiv1.CustomersStatus{
		Term: 7, CountedSinceUnixMs: 1000, CountedForMs: 2500, Capacity: &apiv1.Resources{CpuMilli: 8000},
		Customers: []*apiv1.CustomerStatus{
			{Limit: none, Share: 0.5}, {Name: "a", Removed: true, Offered: 3, Limit: limit, QueuedCoreMs: 1500, WaitingJobs: 1, OldestWaitMs: 400},
		},
	}}).start(t))
	shown := r.run("customers").stdout
	must.StrContains(t, shown, "since 1970-01-01T00:00:01Z, for 2.5s, when the leader's term 7 began")
	must.RegexMatch(t, regexp.MustCompile(`\(none\) .* -  +0 .*50.0 %: 0 cores.* -\na \(removed\) +3 .* 2 cores  .* 1.5 .* 400ms\n`), shown)
	must.StrContains(t, r.run("customers", "--json").stdout, `"refused_cluster"`)
	unreached := newRunner(t, (&fakeEntry{}).start(t)).run("customers")
	must.Eq(t, result{fault.Unavailable.ExitCode(), "", unreached.stderr}, unreached)
	must.StrContains(t, unreached.stderr, "no leader is reached")
}

// Authors of scripts rely on docs/CLI.md, so it must list every exit code and command.
func TestCLIDocNamesEveryExitCodeAndCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/CLI.md")
	must.NoError(t, err)
	for _, kind := range fault.Kinds() {
		must.StrContains(t, string(page), fmt.Sprintf("| %d | %s | ", kind.ExitCode(), kind))
	}
	for _, c := range builtinCommands() {
		must.RegexMatch(t, regexp.MustCompile("`"+c.name+"[ `]"), string(page))
	}
}
