package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

func customersCommand() *command {
	return &command{
		name:     "customers",
		synopsis: "Show what customers have submitted, running and queued, and their limits",
		description: "For cells whose log spans their data centres; --entry takes their api addresses.\n" +
			"Submissions are counted by the leader since its term began; each retry counts.",
		example: "bilberry customers --json",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := workflowsCall(ctx, s, &apiv1.CustomersRequest{}, func(api apiv1.Workflows) func(context.Context, *apiv1.CustomersRequest) (*apiv1.CustomersStatus, error) {
				return api.GetCustomers
			})
			if err != nil {
				return err
			}
			return s.show(response, func(out io.Writer) { s.showCustomers(out, response) })
		},
	}
}

// showCustomers prints one row for each customer, and since when submissions are counted.
func (s *session) showCustomers(out io.Writer, status *apiv1.CustomersStatus) {
	fmt.Fprintf(out, "submissions are counted since %s, for %s, when the leader's term %d began\n",
		formatUnixTime(status.GetCountedSinceUnixMs()), formatMilliseconds(status.GetCountedForMs()), status.GetTerm())
	t := newTable("CUSTOMER", "OFFERED", "ADMITTED", "REFUSED BY QUEUE", "BY LIMIT", "BY CLUSTER", "RUNNING", "LIMIT", "WEIGHT", "DUE",
		"QUEUED TASKS", "CORE SECONDS", "WAITING JOBS", "OLDEST WAIT")
	for _, c := range status.GetCustomers() {
		t.add(customerCell(c), textCell("%d", c.GetOffered()), textCell("%d", c.GetAdmitted()), textCell("%d", c.GetRefusedQueue()),
			textCell("%d", c.GetRefusedLimit()), textCell("%d", c.GetRefusedCluster()), textCell("%s", formatResources(c.GetRunning())),
			textCell("%s", formatLimit(c.GetLimit())), textCell("%g", c.GetWeight()), textCell("%s", formatDue(c, status.GetCapacity())),
			textCell("%d", c.GetQueuedTasks()), textCell("%s", units.FormatCores(c.GetQueuedCoreMs())),
			textCell("%d", c.GetWaitingJobs()), textCell("%s", formatOldestWait(c)))
	}
	t.print(s)
}

// customerCell names a customer, and marks one that isn't configured any more.
func customerCell(c *apiv1.CustomerStatus) cell {
	switch {
	case c.GetName() == "":
		return cell{"(none)", plain}
	case c.GetRemoved():
		return cell{c.GetName() + " (removed)", yellow}
	}
	return cell{c.GetName(), plain}
}

// formatLimit formats the resources that have a limit; "-" if none has.
func formatLimit(limit *apiv1.Resources) string {
	var parts []string
	if n := limit.GetCpuMilli(); n >= 0 {
		parts = append(parts, units.FormatCores(n)+" cores")
	}
	if n := limit.GetMemoryMib(); n >= 0 {
		parts = append(parts, formatMiB(n))
	}
	if n := limit.GetAccelerators(); n >= 0 {
		parts = append(parts, formatCount(n)+" accelerators")
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// formatDue formats a customer's share, with the resources that it gives if the capacity is known.
func formatDue(c *apiv1.CustomerStatus, capacity *apiv1.Resources) string {
	share := fmt.Sprintf("%.1f %%", 100*c.GetShare())
	if capacity.GetCpuMilli() == 0 {
		return share
	}
	return share + ": " + formatResources(c.GetDue())
}

// formatOldestWait formats the age of a customer's oldest waiting job; "-" if none waits.
func formatOldestWait(c *apiv1.CustomerStatus) string {
	if c.GetWaitingJobs() == 0 {
		return "-"
	}
	return formatMilliseconds(c.GetOldestWaitMs())
}
