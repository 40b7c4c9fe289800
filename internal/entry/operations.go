package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

var _ apiv1.Operations = (*Entry)(nil)

// replaceAttemptTimeout bounds the replacement of an instance in one log, which waits
// until the new instance has caught up.
const replaceAttemptTimeout = 30 * time.Second

// maxEvents limits the events that one call of Events returns.
const maxEvents = 5000

// Workers lists the workers of the data centre that the request names, or of all data
// centres if it names none.
func (e *Entry) Workers(ctx context.Context, r *apiv1.WorkersRequest) (*apiv1.WorkersResponse, error) {
	listWorkers := func(ctx context.Context, c clients) (*apiv1.WorkersResponse, error) {
		return c.operations.Workers(ctx, r)
	}
	if r.DataCentre != "" {
		if !e.base.Directory.HasDataCentre(r.DataCentre) {
			return nil, fault.Field("data_centre", "no data centre %q", r.DataCentre)
		}
		return forward(ctx, e, r.DataCentre, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, listWorkers)
	}
	responses, unreachable, err := fanOut(ctx, e, listWorkers)
	if err != nil {
		return nil, err
	}
	merged := &apiv1.WorkersResponse{UnreachableDataCentres: unreachable}
	for _, response := range responses {
		merged.Workers = append(merged.Workers, response.Workers...)
	}
	return merged, nil
}

// Drain stops the placement of tasks on a worker. If the request names no data centre,
// Drain tries all data centres until one knows the worker.
func (e *Entry) Drain(ctx context.Context, r *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
	names := e.base.Settings.DataCentres()
	if r.DataCentre != "" {
		if !e.base.Directory.HasDataCentre(r.DataCentre) {
			return nil, fault.Field("data_centre", "no data centre %q", r.DataCentre)
		}
		names = []string{r.DataCentre}
	}
	var lookupErr error
	for _, name := range names {
		response, err := forward(ctx, e, name, directory.CallOptions{SearchTimeout: leaderSearchTimeout}, func(ctx context.Context, c clients) (*apiv1.DrainResponse, error) {
			return c.operations.Drain(ctx, r)
		})
		if err == nil {
			return response, nil
		}
		if !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.Unavailable) {
			return nil, err
		}
		// An unreachable data centre may know the worker, so Unavailable takes
		// precedence over the NotFound of another one.
		if lookupErr == nil || fault.Is(err, fault.Unavailable) {
			lookupErr = err
		}
	}
	return nil, lookupErr
}

// GetConfig returns the committed configuration. It fails immediately if this instance is
// partitioned from the majority of the voters.
func (e *Entry) GetConfig(ctx context.Context, r *apiv1.GetConfigRequest) (*apiv1.Config, error) {
	return forward(ctx, e, directory.ConfigurationLog, directory.CallOptions{}, func(ctx context.Context, c clients) (*apiv1.Config, error) {
		return c.operations.GetConfig(ctx, r)
	})
}

// SetConfig replaces the configuration by compare-and-set on its version.
func (e *Entry) SetConfig(ctx context.Context, r *apiv1.SetConfigRequest) (*apiv1.Config, error) {
	return forward(ctx, e, directory.ConfigurationLog, directory.CallOptions{}, func(ctx context.Context, c clients) (*apiv1.Config, error) {
		return c.operations.SetConfig(ctx, r)
	})
}

// ConfigHistory lists the committed versions of the configuration.
func (e *Entry) ConfigHistory(ctx context.Context, r *apiv1.ConfigHistoryRequest) (*apiv1.ConfigHistoryResponse, error) {
	return forward(ctx, e, directory.ConfigurationLog, directory.CallOptions{}, func(ctx context.Context, c clients) (*apiv1.ConfigHistoryResponse, error) {
		return c.operations.ConfigHistory(ctx, r)
	})
}

// Quotas lists the quotas and allotments of all data centres.
func (e *Entry) Quotas(ctx context.Context, r *apiv1.QuotasRequest) (*apiv1.QuotasResponse, error) {
	responses, unreachable, err := fanOut(ctx, e, func(ctx context.Context, c clients) (*apiv1.QuotasResponse, error) {
		return c.operations.Quotas(ctx, r)
	})
	if err != nil {
		return nil, err
	}
	merged := &apiv1.QuotasResponse{UnreachableDataCentres: unreachable}
	for _, response := range responses {
		merged.Quotas = append(merged.Quotas, response.Quotas...)
	}
	return merged, nil
}

// ReplaceInstance replaces a lost instance by a new one in every log in which the
// lost one was a voter: the log of its data centre, those of which it was a witness,
// and the configuration log. After an error it can be called again and continues.
func (e *Entry) ReplaceInstance(ctx context.Context, r *apiv1.ReplaceInstanceRequest) (*apiv1.ReplaceInstanceResponse, error) {
	if !e.base.Directory.HasDataCentre(r.DataCentre) {
		return nil, fault.Field("data_centre", "no data centre %q", r.DataCentre)
	}
	groups := []string{r.DataCentre}
	if old, err := e.base.Settings.Instance(r.OldInstance); err == nil {
		groups = append(groups, old.WitnessFor...)
		if old.ConfigVoter {
			groups = append(groups, directory.ConfigurationLog)
		}
	}
	var homeResponse *apiv1.ReplaceInstanceResponse
	for _, group := range groups {
		request := proto.Clone(r).(*apiv1.ReplaceInstanceRequest)
		request.Configuration = group == directory.ConfigurationLog
		options := directory.CallOptions{SearchTimeout: leaderSearchTimeout, AttemptTimeout: replaceAttemptTimeout}
		response, err := forward(ctx, e, group, options, func(ctx context.Context, c clients) (*apiv1.ReplaceInstanceResponse, error) {
			return c.operations.ReplaceInstance(ctx, request)
		})
		if err != nil {
			return nil, err
		}
		if homeResponse == nil {
			homeResponse = response
		}
	}
	return homeResponse, nil
}

// process is a cell or entry process that callAll can call. Its name is INSTANCE/cell or
// INSTANCE/entry.
type process struct {
	instance settings.Instance
	name     string
	baseURL  string
}

// cellProcesses returns the cell processes of the deployment, which hold the logs.
func (e *Entry) cellProcesses() []process {
	var cells []process
	for _, instance := range e.base.Settings.Instances {
		if instance.Cell != "" {
			cells = append(cells, process{instance, instance.ID + "/cell", "http://" + instance.Cell})
		}
	}
	return cells
}

// otherEntryProcesses returns the entry processes of the other instances.
func (e *Entry) otherEntryProcesses() []process {
	var entries []process
	for _, instance := range e.base.Settings.Instances {
		if instance.Entry != "" && instance.ID != e.base.Instance.ID {
			entries = append(entries, process{instance, instance.ID + "/entry", "http://" + instance.Entry})
		}
	}
	return entries
}

// callAll makes a call on processes in parallel with the credentials of the caller. It
// returns a response or an error for each process, at the index of the process.
func callAll[T any](ctx context.Context, e *Entry, processes []process, call func(context.Context, clients) (T, error)) ([]T, []error) {
	responses := make([]T, len(processes))
	errs := make([]error, len(processes))
	ctx, err := rpc.WithCallerBearer(ctx)
	var group sync.WaitGroup
	for i, p := range processes {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, directory.AttemptTimeout)
			defer cancel()
			if errs[i] = err; err == nil {
				responses[i], errs[i] = call(ctx, e.clientsOf(p.baseURL))
			}
		})
	}
	group.Wait()
	return responses, errs
}

// ConfigStatus returns which version of the configuration each process applies.
func (e *Entry) ConfigStatus(ctx context.Context, r *apiv1.ConfigStatusRequest) (*apiv1.ConfigStatusResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	ownConfig := &apiv1.InstanceConfig{
		Instance: e.base.Instance.ID + "/entry", DataCentre: e.base.Instance.DataCentre,
		Version: e.config.Current().Version, Reachable: true,
	}
	response := &apiv1.ConfigStatusResponse{Instances: []*apiv1.InstanceConfig{ownConfig}}
	if r.LocalOnly {
		return response, nil
	}
	processes := append(e.cellProcesses(), e.otherEntryProcesses()...)
	responses, errs := callAll(ctx, e, processes, func(ctx context.Context, c clients) (*apiv1.ConfigStatusResponse, error) {
		return c.operations.ConfigStatus(ctx, &apiv1.ConfigStatusRequest{LocalOnly: true})
	})
	for i, p := range processes {
		config := &apiv1.InstanceConfig{Instance: p.name, DataCentre: p.instance.DataCentre}
		if errs[i] == nil && len(responses[i].Instances) > 0 {
			config.Version, config.Reachable = responses[i].Instances[0].Version, true
			response.CommittedVersion = max(response.CommittedVersion, responses[i].CommittedVersion)
		}
		response.Instances = append(response.Instances, config)
	}
	slices.SortFunc(response.Instances, func(a, b *apiv1.InstanceConfig) int { return strings.Compare(a.Instance, b.Instance) })
	return response, nil
}

// Instances describes all instances. An unreachable one is described from the settings.
func (e *Entry) Instances(ctx context.Context, r *apiv1.InstancesRequest) (*apiv1.InstancesResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	processes := e.cellProcesses()
	responses, errs := callAll(ctx, e, processes, func(ctx context.Context, c clients) (*apiv1.InstancesResponse, error) {
		return c.operations.Instances(ctx, r)
	})
	response := &apiv1.InstancesResponse{}
	for i, p := range processes {
		if errs[i] == nil {
			response.Instances = append(response.Instances, responses[i].Instances...)
			continue
		}
		response.Instances = append(response.Instances, &apiv1.Instance{
			Id: p.instance.ID, DataCentre: p.instance.DataCentre, Address: p.instance.Cell, HasDisk: p.instance.DataFolder != "",
		})
	}
	slices.SortFunc(response.Instances, func(a, b *apiv1.Instance) int { return strings.Compare(a.Id, b.Id) })
	return response, nil
}

// Events returns the newest events of all processes, sorted by timestamp.
func (e *Entry) Events(ctx context.Context, r *apiv1.EventsRequest) (*apiv1.EventsResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit <= 0 || limit > maxEvents {
		limit = maxEvents
	}
	ownEvents := e.base.Events.Since(r.Subject, r.SinceUnixMs, limit)
	if r.LocalOnly {
		return &apiv1.EventsResponse{Events: event.EventsToAPI(ownEvents)}, nil
	}
	processes := append(e.cellProcesses(), e.otherEntryProcesses()...)
	responses, errs := callAll(ctx, e, processes, func(ctx context.Context, c clients) (*apiv1.EventsResponse, error) {
		return c.operations.Events(ctx, &apiv1.EventsRequest{Subject: r.Subject, SinceUnixMs: r.SinceUnixMs, Limit: int32(limit), LocalOnly: true})
	})
	response := &apiv1.EventsResponse{}
	eventLists := [][]event.Event{ownEvents}
	for i, p := range processes {
		if errs[i] != nil {
			response.UnreachableInstances = append(response.UnreachableInstances, p.name)
			continue
		}
		eventLists = append(eventLists, event.EventsFromAPI(responses[i].Events))
	}
	merged := event.Merge(eventLists...)
	response.Events = event.EventsToAPI(merged[max(0, len(merged)-limit):])
	return response, nil
}
