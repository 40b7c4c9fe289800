package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// JobAddress says where a caller's request was sent: a host and a path, or the name of a
// queue and the ID of a job.
type JobAddress struct {
	Host  string `cbor:"1,keyasint,omitempty"`
	Path  string `cbor:"2,keyasint,omitempty"`
	Queue string `cbor:"3,keyasint,omitempty"`
	ID    string `cbor:"4,keyasint,omitempty"`
}

// SubmitCall submits a job. Address determines the queue and the ID of the job.
type SubmitCall struct {
	Address  JobAddress        `cbor:"1,keyasint"`
	Payload  string            `cbor:"2,keyasint"`
	Steps    []workflow.Step   `cbor:"3,keyasint"`
	Schedule workflow.Schedule `cbor:"4,keyasint"`
}

// SubmitReply says that the job is stored. Known says that it was stored before.
type SubmitReply struct {
	Known bool `cbor:"1,keyasint,omitempty"`
}

// StateCall asks for the state of a job, or of a queue if the path names no job.
type StateCall struct {
	Address JobAddress `cbor:"1,keyasint"`
}

// StateReply is the phase of a job, or the number of waiting jobs of a queue.
type StateReply struct {
	Queue   bool           `cbor:"1,keyasint,omitempty"`
	Waiting int            `cbor:"2,keyasint,omitempty"`
	Phase   workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// EndedCall asks an instance, which needn't lead, whether a job has ended.
type EndedCall struct {
	Address JobAddress `cbor:"1,keyasint"`
	// Version is the highest version of the configuration by which the calling instance has
	// answered callers. An instance with an older one doesn't answer, because a caller must
	// not see a version that was rolled back.
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// EndedReply is the phase of an ended job, which never changes. Known is false if only the
// leader can answer.
type EndedReply struct {
	Known bool           `cbor:"1,keyasint,omitempty"`
	Phase workflow.Phase `cbor:"2,keyasint,omitempty"`
}

// CancelCall cancels a job.
type CancelCall struct {
	Address JobAddress `cbor:"1,keyasint"`
}

// Empty is a reply without content.
type Empty struct{}

// Announcement is a worker's heartbeat.
type Announcement struct {
	Worker workflow.Worker `cbor:"1,keyasint"`
	// Sequence increases with each heartbeat of the incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Remaining is the shortest time for which a draining worker keeps running.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Report is the worker's report. It is sent if orders are delivered in the answers to
	// heartbeats.
	Report *Report `cbor:"4,keyasint,omitempty"`
}

// AnnouncementReply answers a heartbeat.
type AnnouncementReply struct {
	// HeartbeatAddress is where the worker sends its next heartbeats.
	HeartbeatAddress string `cbor:"1,keyasint,omitempty"`
	// Orders is nil if the leader calls workers.
	Orders *HeartbeatOrders `cbor:"2,keyasint,omitempty"`
}

// LeaveCall announces that an incarnation shuts down.
type LeaveCall struct {
	Worker string `cbor:"1,keyasint"`
	// Name is the worker's name. It means the latest incarnation if Worker doesn't
	// identify one.
	Name string `cbor:"2,keyasint,omitempty"`
}

// ConfigureCall submits a version of the configuration.
type ConfigureCall struct {
	Document workflow.Document `cbor:"1,keyasint"`
}

// ConfigurationReply is the newest configuration.
type ConfigurationReply struct {
	Version uint64 `cbor:"1,keyasint"`
	Source  []byte `cbor:"2,keyasint"`
}

// AnnounceInstanceCall announces an instance that serves callers to the leader. The leader may send
// adviser queries through it from then on.
type AnnounceInstanceCall struct {
	Address string `cbor:"1,keyasint"`
}

// AnnounceInstanceReply names the core members and the version of the configuration that is in force.
type AnnounceInstanceReply struct {
	Members []string `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	// Pause is the time until the next announcement of the instance is due.
	Pause time.Duration `cbor:"3,keyasint,omitempty"`
}

// ExplainCall asks what a job is waiting for.
type ExplainCall struct {
	Address JobAddress `cbor:"1,keyasint"`
}

// ExplainReply is the progress of each step of a job, and the reasons why its ready steps
// don't run.
type ExplainReply struct {
	Queue   string            `cbor:"1,keyasint"`
	ID      string            `cbor:"2,keyasint"`
	Phase   workflow.Phase    `cbor:"3,keyasint"`
	Steps   []StepProgress    `cbor:"4,keyasint"`
	Waiting []StepExplanation `cbor:"5,keyasint,omitempty"`
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

// StepExplanation says what the tasks of a ready step are waiting for.
type StepExplanation struct {
	Key workflow.StepKey `cbor:"1,keyasint"`
	// Tasks is the number of tasks of the step that could start.
	Tasks  int             `cbor:"2,keyasint"`
	Reason dispatch.Reason `cbor:"3,keyasint"`
	// Workers counts the workers of the service by the reason why they get no task of the
	// step.
	Workers []dispatch.ReasonCount `cbor:"4,keyasint"`
	// Permitted, Refused and Unknown count workers by the adviser's answer.
	Permitted int `cbor:"5,keyasint"`
	Refused   int `cbor:"6,keyasint"`
	Unknown   int `cbor:"7,keyasint"`
}

// WaveCall starts a maintenance wave.
type WaveCall struct {
	Wave workflow.Wave `cbor:"1,keyasint"`
}

// WaveStateCall asks for the progress of a maintenance wave.
type WaveStateCall struct {
	ID int64 `cbor:"1,keyasint"`
}

// WaveStateReply is the progress of a maintenance wave.
type WaveStateReply struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Maintenances are the maintenance stages of the wave's machines, in the order of the
	// wave.
	Maintenances []workflow.Maintenance `cbor:"2,keyasint,omitempty"`
}

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
)
