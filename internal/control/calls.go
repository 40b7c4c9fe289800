package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// JobAddress identifies a queue, and a job of it if it names one. It holds either the
// host and the path to which a caller's request was sent, or the name of the queue.
type JobAddress struct {
	Host  string `cbor:"1,keyasint,omitempty"`
	Path  string `cbor:"2,keyasint,omitempty"`
	Queue string `cbor:"3,keyasint,omitempty"`
	// ID is the ID of the job, empty if there is none. With a path, it is what the path ends with: the
	// interface that received the request knows the form of an ID, and the configuration where the
	// prefix of a queue ends. The address names a job only if the ID follows the prefix.
	ID string `cbor:"4,keyasint,omitempty"`
}

// Prefix returns the path without the ID of the job.
func (a *JobAddress) Prefix() string { return strings.TrimSuffix(a.Path, a.ID) }

// find returns the queue and the ID of the job that the address names, a nil queue if there is none and
// an empty ID for the queue itself.
//
// What follows the longest prefix must be an ID. A path below a queue that was removed begins with the
// prefix of a shorter one too, and the rest of it would be taken for the ID of another job.
func (a *JobAddress) find(d *workflow.Document) (queue *workflow.Queue, id string) {
	if a.Queue != "" {
		queue, _ = d.Queue(a.Queue)
		return queue, a.ID
	}
	queue, rest, _ := d.Resolve(a.Host, a.Path)
	if rest != "" && rest != a.ID {
		return nil, ""
	}
	return queue, rest
}

// Principal is on whose behalf a call is made. The zero value is a caller without a key.
type Principal struct {
	// Key is the digest of the key that the caller presented, nil for none.
	Key *customer.Digest `cbor:"1,keyasint,omitempty"`
	// Operator says that an operator of the system calls, who needs no key and sees the jobs of all
	// customers. What an operator submits belongs to nobody.
	Operator bool `cbor:"2,keyasint,omitempty"`
}

// SubmitCall submits a job. Address determines the queue and the ID of the job.
type SubmitCall struct {
	Address   JobAddress        `cbor:"1,keyasint"`
	Payload   string            `cbor:"2,keyasint"`
	Steps     []workflow.Step   `cbor:"3,keyasint"`
	Schedule  workflow.Schedule `cbor:"4,keyasint"`
	Principal Principal         `cbor:"5,keyasint"`
	// AlikeSince, unless 0, is a version of the configuration. The call is refused if an older one than
	// that in force, but not older than AlikeSince, handles it differently.
	AlikeSince uint64 `cbor:"6,keyasint,omitempty"`
}

// SubmitReply confirms that the job is stored. Known says that it was stored before.
type SubmitReply struct {
	Known bool `cbor:"1,keyasint,omitempty"`
}

// StateCall requests the state of a job, or of a queue if the address names no job.
type StateCall struct {
	Address   JobAddress `cbor:"1,keyasint"`
	Principal Principal  `cbor:"2,keyasint"`
}

// StateReply holds the phase of a job, or, if Queue is true, the number of waiting jobs
// of a queue.
type StateReply struct {
	Queue   bool           `cbor:"1,keyasint,omitempty"`
	Waiting int            `cbor:"2,keyasint,omitempty"`
	Phase   workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// EndedCall asks an instance, which needn't be the leader, whether a job has ended.
type EndedCall struct {
	Address JobAddress `cbor:"1,keyasint"`
	// Version is the highest version of the configuration that the calling instance has used
	// in responses to callers. An instance with an older version doesn't report the job as
	// ended, because a caller must not see a version that was rolled back.
	Version   uint64    `cbor:"2,keyasint,omitempty"`
	Principal Principal `cbor:"3,keyasint"`
}

// EndedReply holds the phase of an ended job, which never changes. Known is false if the
// call has to be sent to the leader.
type EndedReply struct {
	Known bool           `cbor:"1,keyasint,omitempty"`
	Phase workflow.Phase `cbor:"2,keyasint,omitempty"`
}

// CancelCall cancels a job.
type CancelCall struct {
	Address   JobAddress `cbor:"1,keyasint"`
	Principal Principal  `cbor:"2,keyasint"`
	// AlikeSince is as in SubmitCall.
	AlikeSince uint64 `cbor:"3,keyasint,omitempty"`
}

// Empty is a request or a response without content.
type Empty struct{}

// Announcement is a worker's heartbeat.
type Announcement struct {
	Worker workflow.Worker `cbor:"1,keyasint"`
	// Sequence increases with each heartbeat of the incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Remaining is the shortest time for which a draining worker keeps running.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Report is the worker's report. It is sent if orders are delivered in the responses to
	// heartbeats.
	Report *Report `cbor:"4,keyasint,omitempty"`
}

// AnnouncementReply is the response to a heartbeat.
type AnnouncementReply struct {
	// HeartbeatAddress is where the worker sends its next heartbeats.
	HeartbeatAddress string `cbor:"1,keyasint,omitempty"`
	// Orders holds the orders for the worker. It is nil if the leader calls workers.
	Orders *HeartbeatOrders `cbor:"2,keyasint,omitempty"`
}

// LeaveCall announces that an incarnation of a worker shuts down.
type LeaveCall struct {
	Worker string `cbor:"1,keyasint"`
	// Name is the worker's name. If Worker doesn't identify an incarnation, the latest
	// incarnation with this name shuts down.
	Name string `cbor:"2,keyasint,omitempty"`
}

// LeaveReply is the response to LeaveCall.
type LeaveReply struct {
	// RunsEnding says that the shutdown isn't confirmed yet, because runs on the worker are being
	// stopped. The call is to be repeated.
	RunsEnding bool `cbor:"1,keyasint,omitempty"`
}

// ConfigureCall submits a version of the configuration.
type ConfigureCall struct {
	Document workflow.Document `cbor:"1,keyasint"`
}

// ConfigurationReply holds the configuration in force.
type ConfigurationReply struct {
	Version uint64 `cbor:"1,keyasint"`
	Source  []byte `cbor:"2,keyasint"`
}

// AnnounceInstanceCall announces to the leader an instance that serves callers. From then
// on the leader may send adviser queries through it.
type AnnounceInstanceCall struct {
	Address string `cbor:"1,keyasint"`
}

// AnnounceInstanceReply holds the addresses of the core members and the version of the
// configuration that is in force.
type AnnounceInstanceReply struct {
	Members []string `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	// Pause is the time until the next announcement of the instance is due.
	Pause time.Duration `cbor:"3,keyasint,omitempty"`
}

// ExplainCall asks why the ready steps of a job wait.
type ExplainCall struct {
	Address   JobAddress `cbor:"1,keyasint"`
	Principal Principal  `cbor:"2,keyasint"`
}

// ExplainReply holds the progress of each step of a job, and the reasons why its ready
// steps don't run.
type ExplainReply struct {
	Queue   string            `cbor:"1,keyasint"`
	ID      string            `cbor:"2,keyasint"`
	Phase   workflow.Phase    `cbor:"3,keyasint"`
	Steps   []StepProgress    `cbor:"4,keyasint"`
	Waiting []StepExplanation `cbor:"5,keyasint,omitempty"`
	// ExpectedWait is how long a new job of the queue and customer is expected to wait, and
	// Bottleneck for what; both are unset without load control.
	ExpectedWait time.Duration `cbor:"6,keyasint,omitempty"`
	Bottleneck   string        `cbor:"7,keyasint,omitempty"`
}

// StepProgress counts the tasks of one step in one occurrence of a job.
type StepProgress struct {
	Key      workflow.StepKey `cbor:"1,keyasint"`
	Tasks    int              `cbor:"2,keyasint"`
	Done     int              `cbor:"3,keyasint"`
	Running  int              `cbor:"4,keyasint"`
	Failures int              `cbor:"5,keyasint"`
	// Crashes lists the tasks under which workers have crashed.
	Crashes []TaskCrashes `cbor:"6,keyasint,omitempty"`
}

// TaskCrashes names the workers that crashed under a task, the earliest first.
type TaskCrashes struct {
	Task    int      `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
	// GivenUp says that the job failed because of this task.
	GivenUp bool `cbor:"3,keyasint,omitempty"`
}

// StepExplanation holds the reasons why the tasks of a ready step wait.
type StepExplanation struct {
	Key workflow.StepKey `cbor:"1,keyasint"`
	// Tasks is the number of tasks of the step that could start.
	Tasks  int             `cbor:"2,keyasint"`
	Reason dispatch.Reason `cbor:"3,keyasint"`
	// Workers counts the workers of the service by the reason why they get no task of the
	// step.
	Workers []dispatch.ReasonCount `cbor:"4,keyasint"`
	// Permitted, Refused and Unknown count workers: those on which the adviser permits the
	// step, those on which it doesn't, and those about which no response is known.
	Permitted int `cbor:"5,keyasint"`
	Refused   int `cbor:"6,keyasint"`
	Unknown   int `cbor:"7,keyasint"`
	// SlowWorkers are the slow workers of the service, at most maxExplainedSlowWorkers of them,
	// and SlowCount is how many there are.
	SlowWorkers []SlowWorker `cbor:"8,keyasint,omitempty"`
	SlowCount   int          `cbor:"9,keyasint,omitempty"`
}

// SlowWorker is a slow worker with its speed relative to that of the median worker. Uncertainty is
// the relative error of the speed, and Runs is the number of runs that it follows from; both
// are 0 for a speed that an earlier leader has learned.
type SlowWorker struct {
	Worker      string  `cbor:"1,keyasint"`
	Speed       float64 `cbor:"2,keyasint"`
	Uncertainty float64 `cbor:"3,keyasint,omitempty"`
	Runs        int     `cbor:"4,keyasint,omitempty"`
}

// String returns the speed as explanations show it.
func (w SlowWorker) String() string {
	return fmt.Sprintf("slow: %.2f of the median worker's speed, uncertain by %.0f %% after %d runs", w.Speed, 100*w.Uncertainty, w.Runs)
}

// WaveCall starts a maintenance wave.
type WaveCall struct {
	Wave workflow.Wave `cbor:"1,keyasint"`
}

// WaveStateCall requests the progress of a maintenance wave.
type WaveStateCall struct {
	ID int64 `cbor:"1,keyasint"`
}

// WaveStateReply holds the progress of a maintenance wave.
type WaveStateReply struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Maintenances are the maintenance stages of the wave's machines, in the order of the
	// wave.
	Maintenances []workflow.Maintenance `cbor:"2,keyasint,omitempty"`
}

// CustomersReply holds the figures of all customers, sorted by name.
type CustomersReply struct {
	// Term is the leader's term in the log. The counters start with it: at CountedSinceMS, in Unix
	// milliseconds by the leader's clock, which is CountedFor ago.
	Term           uint64           `cbor:"1,keyasint"`
	CountedSinceMS int64            `cbor:"2,keyasint"`
	CountedFor     time.Duration    `cbor:"3,keyasint"`
	Customers      []CustomerStatus `cbor:"4,keyasint,omitempty"`
	// Capacity is that of the workers that the last full decision could use; it is unset before the
	// first one of the term.
	Capacity workflow.Resources `cbor:"5,keyasint"`
}

// CustomerStatus holds the figures of one customer.
type CustomerStatus struct {
	// Name is empty for work without a customer. What such work has running isn't counted.
	Name string `cbor:"1,keyasint,omitempty"`
	// Removed says that the configuration in force has no customer with this name any more.
	Removed     bool             `cbor:"2,keyasint,omitempty"`
	Submissions SubmissionCounts `cbor:"3,keyasint"`
	// Running is what counts against Limit. A field of Limit is 0 for none.
	Running workflow.Resources `cbor:"4,keyasint"`
	Limit   workflow.Resources `cbor:"5,keyasint"`
	Weight  float64            `cbor:"6,keyasint,omitempty"`
	// Share is the part that the weight gives the customer, from 0 to 1, among the customers that
	// have queued tasks and itself. Due is this part of the capacity, at most the limit.
	Share float64            `cbor:"7,keyasint,omitempty"`
	Due   workflow.Resources `cbor:"8,keyasint"`
	// QueuedTasks haven't started, including those of steps that aren't ready; tasks of scheduled
	// occurrences count once these are due. QueuedCoreMS is their work by their estimates, without
	// long-running tasks, whose work is unknown.
	QueuedTasks  int   `cbor:"9,keyasint,omitempty"`
	QueuedCoreMS int64 `cbor:"10,keyasint,omitempty"`
	// WaitingJobs counts the accepted jobs of which no task has started, and OldestWait is the age of
	// the oldest of them.
	WaitingJobs int           `cbor:"11,keyasint,omitempty"`
	OldestWait  time.Duration `cbor:"12,keyasint,omitempty"`
}

// SubmissionCounts counts the submissions of a customer that reached the leader in its term. Each call
// counts, so a job that is refused and submitted again counts twice. Repeated calls for a job that is
// committed or being committed don't count.
type SubmissionCounts struct {
	// Admitted also counts jobs whose commit failed afterwards.
	Admitted int64 `cbor:"1,keyasint,omitempty"`
	// RefusedQueue counts refusals because the queue is full, RefusedLimit those because of the
	// customer's limit, and RefusedCluster those because of the expected wait for the cluster, or because the leader is short of processor.
	RefusedQueue   int64 `cbor:"2,keyasint,omitempty"`
	RefusedLimit   int64 `cbor:"3,keyasint,omitempty"`
	RefusedCluster int64 `cbor:"4,keyasint,omitempty"`
}

// Refused returns the number of refused submissions.
func (c SubmissionCounts) Refused() int64 { return c.RefusedQueue + c.RefusedLimit + c.RefusedCluster }

// Offered returns the number of admitted and refused submissions.
func (c SubmissionCounts) Offered() int64 { return c.Admitted + c.Refused() }

// Method names of the calls between instances.
const (
	MethodSubmit           = "submit"
	MethodState            = "state"
	MethodEnded            = "ended"
	MethodCancel           = "cancel"
	MethodAnnounce         = "announce"
	MethodLeave            = "leave"
	MethodConfigure        = "configure"
	MethodConfiguration    = "configuration"
	MethodAnnounceInstance = "follow"
	MethodQueryAdviser     = "ask"
	MethodStartWave        = "start_wave"
	MethodWaveState        = "wave_state"
	MethodExplain          = "explain"
	MethodCustomers        = "customers"
)
