// Package wire converts messages of the API to and from the types of package state, and
// checks specs and request IDs before anything is stored.
package wire

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/routing"
)

const msPerHour = 3600e3

// Bounds on the fields of a request. A larger demand or run time is most likely in a wrong
// unit.
const (
	maxCPUMilli       = 1_000_000_000 // thousandths of a core
	maxMemoryMiB      = 1 << 40
	maxAccelerators   = 1_000_000 // devices
	maxRuntimeMs      = 366 * 24 * msPerHour
	maxNameBytes      = 128
	maxRequestIDBytes = 128
	maxAttempts       = 100
)

// CheckSpec checks a spec and converts it to a state.Spec. Errors are of kind Invalid and
// name the field.
func CheckSpec(s *apiv1.Spec, limits settings.Limits, now time.Time) (state.Spec, error) {
	if s == nil {
		return state.Spec{}, fault.Field("spec", "missing")
	}
	checks := []func(*apiv1.Spec, settings.Limits, time.Time) error{checkName, checkTasks, checkNeed, checkTimes, checkPayload}
	for _, check := range checks {
		if err := check(s, limits, now); err != nil {
			return state.Spec{}, err
		}
	}
	return state.Spec{
		Name: s.Name, Policy: placement.Policy(s.Policy), Tasks: int(s.Tasks), Need: ResourcesFromAPI(s.Need),
		Runtime: time.Duration(s.RuntimeMs) * time.Millisecond, Deadline: s.DeadlineUnixMs,
		Idempotent: s.Idempotent, Urgent: s.Urgent, Payload: s.Payload, MaxAttempts: int(s.MaxAttempts),
	}, nil
}

// Characters that a name must not contain. replacementCharacter stands for invalid UTF-8.
const (
	asciiDelete          = 0x7f
	replacementCharacter = '\uFFFD'
)

func checkName(s *apiv1.Spec, _ settings.Limits, _ time.Time) error {
	if s.Name == "" || len(s.Name) > maxNameBytes {
		return fault.Field("name", "must have 1 to %d bytes", maxNameBytes)
	}
	for _, r := range s.Name {
		if r < ' ' || r == asciiDelete || r == replacementCharacter {
			return fault.Field("name", "must be printable text")
		}
	}
	return nil
}

func checkTasks(s *apiv1.Spec, limits settings.Limits, _ time.Time) error {
	if s.Policy < apiv1.Policy_POLICY_SERVICE || s.Policy > apiv1.Policy_POLICY_GANG {
		return fault.Field("policy", "must be service, batch or gang")
	}
	if s.Tasks <= 0 || int(s.Tasks) > limits.MaxTasks {
		return fault.Field("tasks", "must be 1 to %d, not %d", limits.MaxTasks, s.Tasks)
	}
	if s.MaxAttempts < 0 || s.MaxAttempts > maxAttempts {
		return fault.Field("max_attempts", "must be 0 to %d", maxAttempts)
	}
	if s.Policy == apiv1.Policy_POLICY_SERVICE && !s.Idempotent {
		return fault.Field("idempotent", "tasks of a service are restarted, so a service must be idempotent")
	}
	return nil
}

func checkNeed(s *apiv1.Spec, _ settings.Limits, _ time.Time) error {
	n := s.Need
	switch {
	case n == nil:
		return fault.Field("need", "missing")
	case n.CpuMilli <= 0 || n.CpuMilli > maxCPUMilli:
		return fault.Field("need.cpu_milli", "must be positive and at most %d", int64(maxCPUMilli))
	case n.MemoryMib <= 0 || n.MemoryMib > maxMemoryMiB:
		return fault.Field("need.memory_mib", "must be positive and at most %d", int64(maxMemoryMiB))
	case n.Accelerators < 0 || n.Accelerators > maxAccelerators:
		return fault.Field("need.accelerators", "must be 0 to %d", int64(maxAccelerators))
	}
	return nil
}

func checkTimes(s *apiv1.Spec, _ settings.Limits, now time.Time) error {
	if s.Policy == apiv1.Policy_POLICY_SERVICE {
		if s.RuntimeMs != 0 || s.DeadlineUnixMs != 0 {
			return fault.Field("deadline_unix_ms", "a service has neither run time nor deadline")
		}
		return nil
	}
	if s.RuntimeMs <= 0 || s.RuntimeMs > maxRuntimeMs {
		return fault.Field("runtime_ms", "must be positive and at most a year")
	}
	if s.DeadlineUnixMs <= now.UnixMilli() {
		return fault.Field("deadline_unix_ms", "must be in the future")
	}
	if s.DeadlineUnixMs > now.UnixMilli()+maxRuntimeMs {
		return fault.Field("deadline_unix_ms", "must be within a year")
	}
	return nil
}

func checkPayload(s *apiv1.Spec, limits settings.Limits, _ time.Time) error {
	if int64(len(s.Payload)) > int64(limits.Payload) {
		return fault.Field("payload", "%d bytes, the limit is %d", len(s.Payload), int64(limits.Payload))
	}
	return nil
}

// CheckRequest checks a request ID and returns it with a digest of the request's content.
// Errors are of kind Invalid and name the field.
func CheckRequest(id, customer string, content proto.Message) (state.Request, error) {
	if id == "" || len(id) > maxRequestIDBytes {
		return state.Request{}, fault.Field("request_id", "must have 1 to %d bytes", maxRequestIDBytes)
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return state.Request{}, fault.Field("request", "%v", err)
	}
	return state.Request{ID: id, Customer: customer, Digest: xxhash.Sum64(encoded)}, nil
}

// SpecToAPI converts a spec to its API message.
func SpecToAPI(s state.Spec, dataCentre string) *apiv1.Spec {
	return &apiv1.Spec{
		Name: s.Name, Policy: apiv1.Policy(s.Policy), Tasks: int32(s.Tasks), Need: ResourcesToAPI(s.Need),
		RuntimeMs: s.Runtime.Milliseconds(), DeadlineUnixMs: s.Deadline, Idempotent: s.Idempotent, Urgent: s.Urgent,
		DataCentre: dataCentre, Payload: s.Payload, MaxAttempts: int32(s.MaxAttempts),
	}
}

// JobToAPI converts a job to its API message, without the payload. The message names
// dataCentre as the job's data centre, or after a handover the one that received the job.
func JobToAPI(j *state.Job, dataCentre string, withTasks bool) *apiv1.Job {
	queued, running, ended := j.Counts()
	job := &apiv1.Job{
		Id: j.ID, Customer: j.Customer, DataCentre: dataCentre, Spec: SpecToAPI(j.Spec, ""), State: apiv1.JobState(j.State),
		Reason: j.Reason, SubmittedUnixMs: j.Submitted, StartedUnixMs: j.Started, EndedUnixMs: j.Ended, Revision: j.Revision,
		TasksQueued: int32(queued), TasksRunning: int32(running), TasksEnded: int32(ended),
	}
	job.Spec.Payload = nil
	if j.HandoverDataCentre != "" && j.HandoverDone {
		job.DataCentre = j.HandoverDataCentre
	}
	if j.Closing || j.State.Ended() && j.State != state.JobFinished {
		job.ReasonKind = j.Kind.String()
	}
	if withTasks {
		job.Tasks = tasksToAPI(j)
	}
	return job
}

func tasksToAPI(j *state.Job) []*apiv1.Task {
	tasks := make([]*apiv1.Task, 0, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		tasks = append(tasks, &apiv1.Task{
			Index: int32(i), State: apiv1.TaskState(t.State), Attempt: t.Attempt, Worker: t.Worker,
			StartedUnixMs: t.Started, EndedUnixMs: t.Ended,
		})
	}
	return tasks
}

// RefToAPI converts a reference to an attempt to its API message.
func RefToAPI(ref state.AttemptRef) *apiv1.AttemptRef {
	return &apiv1.AttemptRef{Job: ref.Job, Task: ref.Task, Attempt: ref.Attempt}
}

// RefFromAPI converts an API message to a reference to an attempt.
func RefFromAPI(ref *apiv1.AttemptRef) state.AttemptRef {
	return state.AttemptRef{Job: ref.GetJob(), Task: ref.GetTask(), Attempt: ref.GetAttempt()}
}

// ResourcesToAPI converts resources to their API message.
func ResourcesToAPI(r placement.Resources) *apiv1.Resources {
	return &apiv1.Resources{CpuMilli: r.CPU, MemoryMib: r.Memory, Accelerators: r.Accelerators}
}

// ResourcesFromAPI converts an API message to resources.
func ResourcesFromAPI(r *apiv1.Resources) placement.Resources {
	return placement.Resources{CPU: r.GetCpuMilli(), Memory: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}

// LeaseOptions returns the durations of slot leases. The leader of a data centre and
// its entry instances must use the same ones.
func LeaseOptions(t settings.Timing) routing.LeaseOptions {
	options := routing.DefaultLeaseOptions()
	options.TTL = time.Duration(t.SlotLease)
	options.MaxRequestDuration = time.Duration(t.MaxRequest)
	options.Drift = time.Duration(t.Drift)
	options.MinionTTL = time.Duration(t.MinionTTL)
	return options
}
