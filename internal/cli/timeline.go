package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/event"
)

// timelineFlags are the flags of "bilberry timeline".
type timelineFlags struct {
	job, request, worker string
	since                time.Duration
	limit                int
	htmlFile             string
	// logFiles names log files, separated by commas, that are read instead of calling the
	// instances.
	logFiles string
}

// defaultTimelineLimit is the default of --limit: the largest number of events that each
// instance returns.
const defaultTimelineLimit = 5000

func timelineCommand() *command {
	var flags timelineFlags
	return &command{
		name:        "timeline",
		synopsis:    "Show what happened on all instances, in causal order",
		usage:       "[--job id | --request id | --worker id] [--since span] [--html file] [--log files]",
		description: "It warns about instances that couldn't be reached, whose events are missing.",
		example:     "bilberry timeline --since 10m --html line.html\nbilberry timeline --job naas-hall-1a2b",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&flags.job, "job", "", "only events of this job (`id`)")
			f.StringVar(&flags.request, "request", "", "only events of this request (`id`)")
			f.StringVar(&flags.worker, "worker", "", "only events of this worker (`id`)")
			f.DurationVar(&flags.since, "since", 0, "only events of the last `span`, such as 10m")
			f.IntVar(&flags.limit, "limit", defaultTimelineLimit, "show the newest events, at most this `number` from each instance")
			f.StringVar(&flags.logFiles, "log", "", "read log lines from these `files`, separated by commas, and call no instance")
			f.StringVar(&flags.htmlFile, "html", "", "write one self-contained HTML page to this `file` instead of printing")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			request, subject, err := flags.toRequest(s.app.Now())
			if err != nil {
				return err
			}
			if flags.logFiles != "" {
				return s.timelineOfLogs(flags.logFiles, request, subject, flags.htmlFile)
			}
			return s.timeline(ctx, request, subject, flags.htmlFile)
		},
	}
}

// toRequest checks the flags and converts them to a request. The second result
// describes the subject for people, such as "job a-1".
func (f *timelineFlags) toRequest(now time.Time) (*apiv1.EventsRequest, string, error) {
	if err := checkLimit(f.limit); err != nil {
		return nil, "", err
	}
	if f.since < 0 {
		return nil, "", fault.Field("--since", "is negative")
	}
	request := &apiv1.EventsRequest{Limit: int32(f.limit)}
	if f.since > 0 {
		request.SinceUnixMs = now.Add(-f.since).UnixMilli()
	}
	subject := ""
	for _, selector := range []struct{ name, value string }{{"job", f.job}, {"request", f.request}, {"worker", f.worker}} {
		if selector.value == "" {
			continue
		}
		if subject != "" {
			return nil, "", fault.New(fault.Invalid, "give at most one of: --job, --request, --worker")
		}
		if err := checkArgument("--"+selector.name, selector.value); err != nil {
			return nil, "", err
		}
		subject = selector.name + " " + selector.value
		request.Subject = selector.value
	}
	return request, subject, nil
}

// timeline fetches the events from the instances and shows them.
func (s *session) timeline(ctx context.Context, request *apiv1.EventsRequest, subject, htmlFile string) error {
	response, err := operationsCallWithTimeout(ctx, s, request, func(api apiv1.Operations) func(context.Context, *apiv1.EventsRequest) (*apiv1.EventsResponse, error) {
		return api.Events
	})
	if err != nil {
		return err
	}
	s.warnUnreachable("instances", response.GetUnreachableInstances())
	return s.showTimeline(response, subject, htmlFile)
}

// showTimeline prints the events of a response in causal order, or writes them to an
// HTML file.
func (s *session) showTimeline(response *apiv1.EventsResponse, subject, htmlFile string) error {
	events := event.Merge(event.EventsFromAPI(response.GetEvents()))
	if htmlFile == "" {
		response.Events = event.EventsToAPI(events)
		return s.show(response, func(out io.Writer) { s.writeEvents(out, events) })
	}
	page := event.Page{Title: strings.TrimSpace("Timeline " + subject), Unreachable: response.GetUnreachableInstances()}
	err := replaceFile(htmlFile, func(w io.Writer) error { return event.WriteHTML(w, page, events) })
	if err != nil {
		return fault.Field("--html", "%v", err)
	}
	if !s.globals.json {
		fmt.Fprintf(s.app.Stdout, "%d events written to %s\n", len(events), htmlFile)
	}
	return nil
}

// writeEvents prints events as text, or "no events".
func (s *session) writeEvents(out io.Writer, events []event.Event) {
	if len(events) == 0 {
		fmt.Fprintln(out, "no events")
		return
	}
	if err := event.WriteText(out, events); err != nil {
		s.warn("%v", err)
	}
}

// replaceFile writes a temporary file in the same folder and renames it to path when
// it is complete. A full disk or an interruption leaves the old file unchanged.
func replaceFile(path string, write func(io.Writer) error) (err error) {
	// Renaming over a device such as /dev/null would replace the device for all programs.
	if info, statErr := os.Stat(path); statErr == nil && !info.Mode().IsRegular() {
		return errors.Newf("%s exists and isn't a regular file", path)
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".bilberry-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.CombineErrors(err, os.Remove(temporary.Name()))
		}
	}()
	if err := write(temporary); err != nil {
		return errors.CombineErrors(err, temporary.Close())
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}
