package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

// maxCount is the largest number of tasks that "scale" accepts, and the largest --max-down
// of "wave start".
const maxCount = 100_000

// withResendHint adds a hint to an Unavailable error that tells how to send the same call
// again. It returns other errors unchanged.
func withResendHint(err error, id string) error {
	if !fault.Is(err, fault.Unavailable) {
		return err
	}
	return withHint(err, "the call may have been carried out; send it again with --request-id "+id)
}

// sendChange sends a call that changes state. The call has a request id, so that it can
// be sent again without being carried out twice when its response is lost. givenID is the
// value of --request-id; if it is empty, the call gets a new id.
func sendChange[Resp any](ctx context.Context, s *session, givenID string, send func(ctx context.Context, c *client, id string) (Resp, error)) (Resp, error) {
	var none Resp
	id, err := requestID(givenID)
	if err != nil {
		return none, err
	}
	c, err := s.client()
	if err != nil {
		return none, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	response, err := send(ctx, c, id)
	return response, withResendHint(err, id)
}

func cancelCommand() *command {
	var name, id string
	var all, dryRun bool
	return &command{
		name:        "cancel",
		synopsis:    "Cancel jobs by id, by name, or all of a customer",
		usage:       "[--dry-run] id... | --name name | --all",
		description: "--all means all jobs of the token's customer. The exit code is not zero when a data\ncentre couldn't be reached, because its jobs continue.",
		example:     "bilberry cancel --dry-run --name nightly-folio\nbilberry cancel naas-hall-1a2b naas-hall-1a2c",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "name", "", "cancel all jobs of this `name`")
			f.BoolVar(&all, "all", false, "cancel all jobs of the customer")
			f.BoolVar(&dryRun, "dry-run", false, "show what would be cancelled, and cancel nothing")
			requestIDFlag(f, &id)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			request := &apiv1.CancelRequest{Ids: args, Name: name, AllOfCustomer: all, DryRun: dryRun}
			if err := checkSelectors(request); err != nil {
				return err
			}
			return s.cancel(ctx, request, id)
		},
	}
}

// checkSelectors requires exactly one selector, so that a mistake such as an empty
// shell variable before --all doesn't cancel more jobs than intended.
func checkSelectors(request *apiv1.CancelRequest) error {
	selectors := 0
	for _, given := range []bool{len(request.Ids) > 0, request.Name != "", request.AllOfCustomer} {
		if given {
			selectors++
		}
	}
	if selectors != 1 {
		return fault.New(fault.Invalid, "give exactly one of: ids, --name, --all")
	}
	if request.Name != "" {
		return checkArgument("--name", request.Name)
	}
	return requireDistinct("id", request.Ids)
}

// cancel sends the request and prints the ids of the cancelled jobs. It returns an
// Unavailable error when some data centres weren't reached.
func (s *session) cancel(ctx context.Context, request *apiv1.CancelRequest, givenID string) error {
	response, err := sendChange(ctx, s, givenID, func(ctx context.Context, c *client, id string) (*apiv1.CancelResponse, error) {
		request.RequestId = id
		return schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
			return api.Cancel
		})
	})
	if err != nil {
		return err
	}
	err = s.show(response, func(out io.Writer) { showCancelled(out, response, request.DryRun) })
	if err != nil || len(response.GetUnreachableDataCentres()) == 0 {
		return err
	}
	return withResendHint(fault.New(fault.Unavailable, "not cancelled in data centres that weren't reached: %s",
		strings.Join(response.GetUnreachableDataCentres(), ", ")), request.RequestId)
}

func showCancelled(out io.Writer, response *apiv1.CancelResponse, dryRun bool) {
	outcome := "cancelled"
	noun := "jobs"
	if len(response.GetIds()) == 1 {
		noun = "job"
	}
	if dryRun {
		outcome = "would be cancelled"
	}
	for _, id := range response.GetIds() {
		fmt.Fprintln(out, oneLine(id))
	}
	fmt.Fprintf(out, "%d %s %s\n", len(response.GetIds()), noun, outcome)
}

func scaleCommand() *command {
	var id string
	return &command{
		name:     "scale",
		synopsis: "Change the number of tasks of a service",
		usage:    "id tasks",
		example:  "bilberry scale naas-hall-1a2b 12",
		flags:    func(f *flag.FlagSet) { requestIDFlag(f, &id) },
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args, "id", "tasks"); err != nil {
				return err
			}
			tasks, err := strconv.Atoi(args[1])
			if err != nil || tasks < 1 || tasks > maxCount {
				return fault.Field("tasks", "%q isn't a number from 1 to %d", shorten(args[1]), maxCount)
			}
			return s.scale(ctx, &apiv1.ScaleRequest{Id: args[0], Tasks: int32(tasks)}, id)
		},
	}
}

func (s *session) scale(ctx context.Context, request *apiv1.ScaleRequest, givenID string) error {
	response, err := sendChange(ctx, s, givenID, func(ctx context.Context, c *client, id string) (*apiv1.ScaleResponse, error) {
		request.RequestId = id
		return schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.ScaleRequest) (*apiv1.ScaleResponse, error) {
			return api.Scale
		})
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { s.showJobs(out, []*apiv1.Job{response.GetJob()}, false) })
}

func drainCommand() *command {
	return newDrainCommand("drain", "Give a worker no new tasks", false)
}

func undrainCommand() *command {
	return newDrainCommand("undrain", "Give a drained worker tasks again", true)
}

// newDrainCommand returns the drain command, or undrain when undo is true.
func newDrainCommand(name, synopsis string, undo bool) *command {
	var id, dataCentre string
	return &command{
		name:     name,
		synopsis: synopsis,
		usage:    "[--data-centre name] worker",
		example:  "bilberry " + name + " --data-centre naas-hall naas-w07",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dataCentre, "data-centre", "", "`name` of the worker's data centre; found by querying all data centres if left out")
			requestIDFlag(f, &id)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args, "worker"); err != nil {
				return err
			}
			return s.drain(ctx, &apiv1.DrainRequest{Worker: args[0], Undo: undo, DataCentre: dataCentre}, id)
		},
	}
}

func (s *session) drain(ctx context.Context, request *apiv1.DrainRequest, givenID string) error {
	response, err := sendChange(ctx, s, givenID, func(ctx context.Context, c *client, id string) (*apiv1.DrainResponse, error) {
		request.RequestId = id
		return operationsCall(ctx, c, request, func(api apiv1.Operations) func(context.Context, *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
			return api.Drain
		})
	})
	if err != nil {
		return err
	}
	return s.show(response, func(io.Writer) { s.showWorkers([]*apiv1.WorkerInfo{response.GetWorker()}) })
}
