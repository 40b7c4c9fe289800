package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/conf"
)

// configActions are the action words of "bilberry config".
var configActions = []string{"get", "set", "status", "history"}

// configFlags are the flags of "bilberry config".
type configFlags struct {
	expectedVersion int64
	limit           int
	requestID       string
}

// versionUnset is the value of --expect when the flag isn't given.
const versionUnset = -1

func configCommand() *command {
	flags := configFlags{expectedVersion: versionUnset}
	return &command{
		name:     "config",
		synopsis: "Read, write and follow the shared configuration",
		usage:    "get | set file | status | history",
		description: "\"get\" writes the document with its version in the first line. \"set\" takes that line,\n" +
			"or --expect, as the version that the change is based on. If another write has\n" +
			"happened since, \"set\" is refused with Conflict and changes nothing. \"status\" shows\n" +
			"the version that each instance applies.",
		example: "bilberry config get > quotas.toml\nbilberry config set quotas.toml",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&flags.expectedVersion, "expect", versionUnset, "set: the `version` that was read")
			f.IntVar(&flags.limit, "limit", 20, "history: show at most this `number` of versions")
			requestIDFlag(f, &flags.requestID)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) == 0 {
				return fault.New(fault.Invalid, "give one of: %s", strings.Join(configActions, ", "))
			}
			return s.config(ctx, &flags, args[0], args[1:])
		},
	}
}

// config executes one action of "bilberry config".
func (s *session) config(ctx context.Context, flags *configFlags, action string, args []string) error {
	if action == "set" {
		return s.configSet(ctx, flags, args)
	}
	if flags.expectedVersion != versionUnset || flags.requestID != "" {
		return fault.New(fault.Invalid, "--expect and --request-id belong to \"config set\"")
	}
	actions := map[string]func(context.Context, *client, *configFlags) error{
		"get": s.configGet, "status": s.configStatus, "history": s.configHistory,
	}
	run, ok := actions[action]
	if !ok {
		return unknownAction("config", action, configActions)
	}
	if err := requireArgs(args); err != nil {
		return err
	}
	if err := checkLimit(flags.limit); err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	return run(ctx, c, flags)
}

func (s *session) configGet(ctx context.Context, c *client, _ *configFlags) error {
	response, err := operationsCall(ctx, c, &apiv1.GetConfigRequest{}, func(api apiv1.Operations) func(context.Context, *apiv1.GetConfigRequest) (*apiv1.Config, error) {
		return api.GetConfig
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { writeDocument(out, response) })
}

// writeDocument writes a first line with the version, which "config set" reads, and the
// document. A version line of the document itself is left out.
func writeDocument(out io.Writer, config *apiv1.Config) {
	fmt.Fprintf(out, "# version %d", config.GetVersion())
	if config.GetAuthor() != "" {
		fmt.Fprintf(out, ", by %s at %s", oneLine(config.GetAuthor()), formatUnixTime(config.GetAcceptedUnixMs()))
	}
	fmt.Fprintln(out)
	document := stripVersion(config.GetDocument())
	fmt.Fprint(out, document)
	if document != "" && !strings.HasSuffix(document, "\n") {
		fmt.Fprintln(out)
	}
}

// versionLine matches the first line that writeDocument writes.
var versionLine = regexp.MustCompile(`\A# version (\d{1,19})\b[^\n]*(\n|\z)`)

// stripVersion returns a document without its version line, if it has one.
func stripVersion(document string) string {
	return document[len(versionLine.FindString(document)):]
}

// configSet checks a document and writes it if the expected version is still current.
func (s *session) configSet(ctx context.Context, flags *configFlags, args []string) error {
	if err := requireArgs(args, "file"); err != nil {
		return err
	}
	content, err := s.readInput(args[0], conf.MaxDocumentBytes)
	if err != nil {
		return err
	}
	document := stripVersion(string(content))
	if _, err := conf.Parse(document); err != nil {
		return err
	}
	expected, err := expectedVersion(flags, string(content))
	if err != nil {
		return err
	}
	id, err := requestID(flags.requestID)
	if err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	request := &apiv1.SetConfigRequest{RequestId: id, ExpectedVersion: expected, Document: document}
	response, err := operationsCall(ctx, c, request, func(api apiv1.Operations) func(context.Context, *apiv1.SetConfigRequest) (*apiv1.Config, error) {
		return api.SetConfig
	})
	if fault.Is(err, fault.Conflict) {
		return withHint(err, "read the current version with \"bilberry config get\" and repeat the change on it")
	}
	if err != nil {
		return withResendHint(err, id)
	}
	return s.show(response, func(out io.Writer) { fmt.Fprintf(out, "version %d is accepted\n", response.GetVersion()) })
}

// expectedVersion returns the version on which a new document is based: the value
// of --expect or of the document's first line. It returns an Invalid error when
// both are missing or when they differ.
func expectedVersion(flags *configFlags, document string) (uint64, error) {
	match := versionLine.FindStringSubmatch(document)
	if flags.expectedVersion < versionUnset {
		return 0, fault.Field("--expect", "is negative")
	}
	if match == nil && flags.expectedVersion == versionUnset {
		return 0, withHint(fault.Field("--expect", "is missing, and the file doesn't begin with \"# version N\""),
			"see the current version with \"bilberry config get\"")
	}
	if match == nil {
		return uint64(flags.expectedVersion), nil
	}
	version, err := strconv.ParseUint(match[1], 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "the file's version %s is too large", match[1])
	}
	if flags.expectedVersion != versionUnset && uint64(flags.expectedVersion) != version {
		return 0, fault.Field("--expect", "is %d, but the file says version %d", flags.expectedVersion, version)
	}
	return version, nil
}

func (s *session) configStatus(ctx context.Context, c *client, _ *configFlags) error {
	response, err := operationsCall(ctx, c, &apiv1.ConfigStatusRequest{}, func(api apiv1.Operations) func(context.Context, *apiv1.ConfigStatusRequest) (*apiv1.ConfigStatusResponse, error) {
		return api.ConfigStatus
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) {
		fmt.Fprintf(out, "committed version: %d\n", response.GetCommittedVersion())
		t := newTable("INSTANCE", "DATA CENTRE", "VERSION", "STATE")
		for _, i := range response.GetInstances() {
			t.add(textCell("%s", i.GetInstance()), textCell("%s", i.GetDataCentre()), textCell("%d", i.GetVersion()), configStateCell(response, i))
		}
		t.print(s)
	})
}

func configStateCell(response *apiv1.ConfigStatusResponse, i *apiv1.InstanceConfig) cell {
	switch {
	case !i.GetReachable():
		return cell{"not reached", red}
	case i.GetVersion() < response.GetCommittedVersion():
		return cell{"behind", yellow}
	default:
		return cell{"in force", green}
	}
}

func (s *session) configHistory(ctx context.Context, c *client, flags *configFlags) error {
	request := &apiv1.ConfigHistoryRequest{Limit: int32(flags.limit)}
	response, err := operationsCall(ctx, c, request, func(api apiv1.Operations) func(context.Context, *apiv1.ConfigHistoryRequest) (*apiv1.ConfigHistoryResponse, error) {
		return api.ConfigHistory
	})
	if err != nil {
		return err
	}
	return s.show(response, func(io.Writer) {
		t := newTable("VERSION", "ACCEPTED", "AUTHOR", "BYTES")
		for _, version := range response.GetVersions() {
			t.add(textCell("%d", version.GetVersion()), textCell("%s", formatUnixTime(version.GetAcceptedUnixMs())),
				textCell("%s", version.GetAuthor()), textCell("%d", len(version.GetDocument())))
		}
		t.print(s)
	})
}
