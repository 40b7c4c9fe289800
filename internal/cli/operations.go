package cli

import (
	"context"
	"flag"
	"io"
	"net/netip"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

func workersCommand() *command {
	var dataCentre string
	return &command{
		name:     "workers",
		synopsis: "Show the workers with their capacity and its use",
		usage:    "[--data-centre name]",
		example:  "bilberry workers --data-centre naas-hall",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dataCentre, "data-centre", "", "show only this data centre (`name`)")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := operationsCallWithTimeout(ctx, s, &apiv1.WorkersRequest{DataCentre: dataCentre}, func(api apiv1.Operations) func(context.Context, *apiv1.WorkersRequest) (*apiv1.WorkersResponse, error) {
				return api.Workers
			})
			if err != nil {
				return err
			}
			s.warnUnreachable("data centres", response.GetUnreachableDataCentres())
			return s.show(response, func(io.Writer) { s.showWorkers(response.GetWorkers()) })
		},
	}
}

// operationsCallWithTimeout calls a method of the Operations service with a new client,
// within --timeout.
func operationsCallWithTimeout[Req, Resp any](ctx context.Context, s *session, request Req, method func(apiv1.Operations) func(context.Context, Req) (Resp, error)) (Resp, error) {
	c, err := s.client()
	if err != nil {
		var none Resp
		return none, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	return operationsCall(ctx, c, request, method)
}

func (s *session) showWorkers(workers []*apiv1.WorkerInfo) {
	t := newTable("WORKER", "RACK", "DATA CENTRE", "CORES", "MEMORY", "ACCELERATORS", "TASKS", "STATE")
	for _, w := range workers {
		used, capacity := w.GetUsed(), w.GetCapacity()
		t.add(textCell("%s", w.GetId()), textCell("%s", w.GetRack()), textCell("%s", w.GetDataCentre()),
			usageCell(used.GetCpuMilli(), capacity.GetCpuMilli(), units.FormatCores),
			usageCell(used.GetMemoryMib(), capacity.GetMemoryMib(), formatMiB),
			usageCell(used.GetAccelerators(), capacity.GetAccelerators(), formatCount),
			textCell("%d", w.GetTasks()), workerStateCell(w))
	}
	t.print(s)
}

func usageCell(used, capacity int64, format func(int64) string) cell {
	return textCell("%s of %s", formatAmount(used, format), formatAmount(capacity, format))
}

func workerStateCell(w *apiv1.WorkerInfo) cell {
	switch {
	case !w.GetConnected():
		return cell{"lost", red}
	case w.GetSetAside():
		return cell{"set aside", yellow}
	case w.GetDraining():
		return cell{"draining", yellow}
	default:
		return cell{"ready", green}
	}
}

func quotaCommand() *command {
	return &command{
		name:     "quota",
		synopsis: "Show quotas, how they are split over data centres, and their use",
		example:  "bilberry quota --json",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := operationsCallWithTimeout(ctx, s, &apiv1.QuotasRequest{}, func(api apiv1.Operations) func(context.Context, *apiv1.QuotasRequest) (*apiv1.QuotasResponse, error) {
				return api.Quotas
			})
			if err != nil {
				return err
			}
			s.warnUnreachable("data centres", response.GetUnreachableDataCentres())
			return s.show(response, func(io.Writer) { s.showQuotas(response.GetQuotas()) })
		},
	}
}

func (s *session) showQuotas(quotas []*apiv1.Quota) {
	t := newTable("CUSTOMER", "DATA CENTRE", "LIMIT OVER ALL", "ALLOTTED HERE", "USED HERE")
	for _, q := range quotas {
		t.add(textCell("%s", q.GetCustomer()), textCell("%s", q.GetDataCentre()), textCell("%s", formatResources(q.GetLimit())),
			textCell("%s", formatResources(q.GetAllotment())), textCell("%s", formatResources(q.GetUsed())))
	}
	t.print(s)
}

func instancesCommand() *command {
	return &command{
		name:     "instances",
		synopsis: "Show the instances of the system and who leads",
		example:  "bilberry instances",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := operationsCallWithTimeout(ctx, s, &apiv1.InstancesRequest{}, func(api apiv1.Operations) func(context.Context, *apiv1.InstancesRequest) (*apiv1.InstancesResponse, error) {
				return api.Instances
			})
			if err != nil {
				return err
			}
			return s.show(response, func(io.Writer) { s.showInstances(response.GetInstances()) })
		},
	}
}

func (s *session) showInstances(instances []*apiv1.Instance) {
	t := newTable("INSTANCE", "DATA CENTRE", "ADDRESS", "ROLE", "TERM", "COMMITTED", "DISK", "STATE")
	for _, i := range instances {
		disk := "no"
		if i.GetHasDisk() {
			disk = "yes"
		}
		t.add(textCell("%s", i.GetId()), textCell("%s", i.GetDataCentre()), textCell("%s", i.GetAddress()), textCell("%s", i.GetRole()),
			textCell("%d", i.GetTerm()), textCell("%d", i.GetCommitIndex()), textCell("%s", disk), instanceStateCell(i))
	}
	t.print(s)
}

// showMembers prints the members of a replicated log. The response to a membership change
// contains their addresses but not their state, so the table has no STATE column.
func (s *session) showMembers(members []*apiv1.Instance) {
	t := newTable("MEMBER", "ADDRESS", "DISK")
	for _, m := range members {
		disk := "no"
		if m.GetHasDisk() {
			disk = "yes"
		}
		t.add(textCell("%s", m.GetId()), textCell("%s", m.GetAddress()), textCell("%s", disk))
	}
	t.print(s)
}

func instanceStateCell(i *apiv1.Instance) cell {
	switch {
	case !i.GetReachable():
		return cell{"not reached", red}
	case i.GetDegraded():
		return cell{"leader, no disk answers", yellow}
	case i.GetRecovering():
		return cell{"recovering", yellow}
	case i.GetLeader():
		return cell{"leader", green}
	default:
		return cell{"up", plain}
	}
}

func replaceInstanceCommand() *command {
	var id, dataCentre string
	var disk bool
	return &command{
		name:        "replace-instance",
		synopsis:    "Replace a voter of a data centre's log with a new instance",
		usage:       "--data-centre name [--disk] old new address",
		description: "Start the new instance first. The change is refused when it would leave the data\ncentre without a majority.",
		example:     "bilberry replace-instance --data-centre naas-hall --disk naas-2 naas-4 10.0.1.4:7402",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dataCentre, "data-centre", "", "`name` of the data centre (required)")
			f.BoolVar(&disk, "disk", false, "the new instance keeps its log on disk")
			requestIDFlag(f, &id)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args, "old", "new", "address"); err != nil {
				return err
			}
			if err := checkArgument("--data-centre", dataCentre); err != nil {
				return err
			}
			request := &apiv1.ReplaceInstanceRequest{
				DataCentre: dataCentre, OldInstance: args[0], NewInstance: args[1], NewAddress: args[2], NewHasDisk: disk,
			}
			return s.replaceInstance(ctx, request, id)
		},
	}
}

// replaceInstance checks the request, sends it and prints the new members.
func (s *session) replaceInstance(ctx context.Context, request *apiv1.ReplaceInstanceRequest, givenID string) error {
	if request.OldInstance == request.NewInstance {
		return fault.Field("new", "%q is the old instance", shorten(request.NewInstance))
	}
	address, err := netip.ParseAddrPort(request.NewAddress)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return fault.Field("address", "%q isn't an IP address with a port, such as \"10.0.0.1:7402\"", shorten(request.NewAddress))
	}
	id, err := requestID(givenID)
	if err != nil {
		return err
	}
	request.RequestId = id
	response, err := operationsCallWithTimeout(ctx, s, request, func(api apiv1.Operations) func(context.Context, *apiv1.ReplaceInstanceRequest) (*apiv1.ReplaceInstanceResponse, error) {
		return api.ReplaceInstance
	})
	if err != nil {
		return withResendHint(err, id)
	}
	return s.show(response, func(io.Writer) { s.showMembers(response.GetInstances()) })
}
