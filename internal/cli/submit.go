package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/jobfile"
)

// maxJobFileBytes bounds the size of a job file.
const maxJobFileBytes = 1 << 20

// stdinName is the file argument for the standard input.
const stdinName = "-"

func submitCommand() *command {
	var wait bool
	var deadline string
	var earlier earlierCall
	return &command{
		name:     "submit",
		synopsis: "Submit jobs described in TOML files",
		usage:    "[--wait] [--deadline when] file...",
		description: "All files are read and checked before the first is sent. The name \"-\" means the\n" +
			"standard input. With --wait the exit code tells how the jobs ended.",
		example: "bilberry submit --wait --deadline +10m recalculation.toml",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&wait, "wait", false, "wait until the jobs have ended")
			f.StringVar(&deadline, "deadline", "", "`when` the work must be done: \"+45s\" or an RFC 3339 time; replaces the deadline in the file")
			requestIDFlag(f, &earlier.requestID)
			f.StringVar(&earlier.home, "home", "", "`data centre` that handles the request id; use it with --request-id")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			specs, err := s.readJobs(args, deadline)
			if err != nil {
				return err
			}
			if earlier.requestID != "" && len(specs) > 1 {
				return fault.Field("--request-id", "is the id of one call; give one file")
			}
			if (earlier.requestID == "") != (earlier.home == "") {
				return fault.Field("--home", "must be given together with --request-id, because only the home data centre knows a request id")
			}
			accepted, err := s.submitAll(ctx, specs, earlier)
			if err != nil || !wait {
				return err
			}
			return s.waitAll(ctx, accepted)
		},
	}
}

// earlierCall identifies an earlier submission whose outcome is unknown.
type earlierCall struct{ requestID, home string }

// readJobs reads and checks all job files, and returns an error if any is invalid. A
// deadline that isn't empty replaces those in the files.
func (s *session) readJobs(files []string, deadline string) ([]*apiv1.Spec, error) {
	if len(files) == 0 {
		return nil, fault.Field("file", "is missing")
	}
	now := s.app.Now()
	seen := make(map[string]bool)
	var specs []*apiv1.Spec
	for _, file := range files {
		if seen[file] {
			return nil, fault.Field("file", "%q is given twice", shorten(file))
		}
		seen[file] = true
		content, err := s.readInput(file, maxJobFileBytes)
		if err != nil {
			return nil, err
		}
		spec, err := jobfile.ParseWithDeadline(file, content, deadline, now)
		if err != nil {
			return nil, err
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// readInput reads a file of at most limit bytes, or the standard input for "-".
func (s *session) readInput(name string, limit int64) ([]byte, error) {
	reader := s.app.Stdin
	if name != stdinName {
		info, err := os.Stat(name)
		if err != nil {
			return nil, fault.New(fault.Invalid, "%v", err)
		}
		if info.IsDir() {
			return nil, fault.New(fault.Invalid, "%s is a folder", name)
		}
		file, err := os.Open(name)
		if err != nil {
			return nil, fault.New(fault.Invalid, "%v", err)
		}
		defer file.Close()
		reader = file
	}
	content, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	if int64(len(content)) > limit {
		return nil, fault.New(fault.Invalid, "%s has more than %d bytes", name, limit)
	}
	return content, nil
}

// submitAll submits jobs one after the other and stops at the first error. It returns the
// responses for the accepted jobs.
func (s *session) submitAll(ctx context.Context, specs []*apiv1.Spec, earlier earlierCall) ([]*apiv1.SubmitResponse, error) {
	c, err := s.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	var accepted []*apiv1.SubmitResponse
	for _, spec := range specs {
		response, err := submitOne(ctx, c, spec, earlier)
		if err != nil {
			return accepted, s.warnPartial(err, len(accepted), len(specs))
		}
		accepted = append(accepted, response)
		if err := s.showAccepted(spec, response); err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

// submitOne submits one job. When the outcome is unknown, the error's hint tells how
// to send the same request again.
func submitOne(ctx context.Context, c *client, spec *apiv1.Spec, earlier earlierCall) (*apiv1.SubmitResponse, error) {
	id, err := requestID(earlier.requestID)
	if err != nil {
		return nil, err
	}
	request := &apiv1.SubmitRequest{RequestId: id, Spec: spec, Home: earlier.home}
	if request.Home == "" {
		if request.Home, err = homeOf(ctx, c, spec); err != nil {
			return nil, err
		}
	}
	response, err := schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
		return api.Submit
	})
	if err == nil || !fault.Is(err, fault.Unavailable) {
		return response, err
	}
	hint := "the job may have been accepted; send it again with --home " + request.Home + " --request-id " + id
	if spec.DeadlineUnixMs != 0 {
		// The hint contains the absolute deadline: a relative one would be later in the
		// second call, which is refused if it differs from the first.
		hint += " --deadline " + time.UnixMilli(spec.DeadlineUnixMs).UTC().Format(time.RFC3339Nano)
	}
	return nil, withHint(err, hint)
}

// homeOf returns the home of a submission, the data centre that deduplicates submissions
// by request id: the data centre in the job file, or else that of the first entry
// instance that responds. With the home in the request, the submission can be retried at
// any entry instance.
func homeOf(ctx context.Context, c *client, spec *apiv1.Spec) (string, error) {
	if spec.DataCentre != "" {
		return spec.DataCentre, nil
	}
	response, err := schedulerCall(ctx, c, &apiv1.HomeRequest{}, func(api apiv1.Scheduler) func(context.Context, *apiv1.HomeRequest) (*apiv1.HomeResponse, error) {
		return api.Home
	})
	return response.GetDataCentre(), err
}

// warnPartial warns that some files were accepted before the error, which it returns.
func (s *session) warnPartial(err error, accepted, total int) error {
	if accepted > 0 {
		s.warn("%d of %d files were accepted before the error", accepted, total)
	}
	return err
}

func (s *session) showAccepted(spec *apiv1.Spec, response *apiv1.SubmitResponse) error {
	return s.show(response, func(out io.Writer) {
		state := jobStateCell(response.GetState())
		fmt.Fprintln(out, oneLine(fmt.Sprintf("%s %s in %s:", response.GetId(), spec.GetName(), response.GetDataCentre())), s.paint(state.colour, state.text))
	})
}

// waitAll watches one job after the other until each has ended, while the jobs run
// concurrently. It returns the first error.
func (s *session) waitAll(ctx context.Context, accepted []*apiv1.SubmitResponse) error {
	var first error
	for _, response := range accepted {
		if err := s.watch(ctx, response.GetId()); err != nil && first == nil {
			first = err
		}
	}
	return first
}
