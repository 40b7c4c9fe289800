package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Place is where a caller's request was sent: a host and a path, or the name of
// a queue and the ID of a job.
type JobAddress struct {
	Host  string `cbor:"1,keyasint,omitempty"`
	Path  string `cbor:"2,keyasint,omitempty"`
	Queue string `cbor:"3,keyasint,omitempty"`
	ID    string `cbor:"4,keyasint,omitempty"`
}

// SubmitCall hands a job in. The queue and the job's ID follow from Place.
type SubmitCall struct {
	Address  JobAddress        `cbor:"1,keyasint"`
	Payload  string            `cbor:"2,keyasint"`
	Steps    []workflow.Step   `cbor:"3,keyasint"`
	Schedule workflow.Schedule `cbor:"4,keyasint"`
}

// SubmitReply says that the job is stored.
type SubmitReply struct {
	Known bool `cbor:"1,keyasint,omitempty"`
}

// StateCall asks for a job, or for a queue when the path names no job.
type StateCall struct {
	Address JobAddress `cbor:"1,keyasint"`
}

// StateReply is how far a job has come, or how many jobs of a queue wait.
type StateReply struct {
	Queue   bool           `cbor:"1,keyasint,omitempty"`
	Waiting int            `cbor:"2,keyasint,omitempty"`
	Phase   workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// EndedCall asks an instance that needn't lead whether a job has ended.
type EndedCall struct {
	Address JobAddress `cbor:"1,keyasint"`
	// Version is the highest of the configuration that the asking instance has
	// answered by. One that has an older one doesn't answer: a caller must not see a
	// version that was dropped again.
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// EndedReply is the phase of a job that has ended; it never changes. Known is false
// where the leader has to be asked.
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
	// Sequence grows with each heartbeat of the incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Remaining is the least time that a draining worker still runs.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Report holds the worker's lists, where orders go out with the answers to
	// heartbeats.
	Report *Report `cbor:"4,keyasint,omitempty"`
}

// AnnouncementReply answers a heartbeat.
type AnnouncementReply struct {
	// HeartbeatAddress is the control address for the worker's next heartbeats.
	HeartbeatAddress string `cbor:"1,keyasint,omitempty"`
	// Orders are nil where workers are called.
	Orders *HeartbeatOrders `cbor:"2,keyasint,omitempty"`
}

// LeaveCall says that an incarnation ends.
type LeaveCall struct {
	Worker string `cbor:"1,keyasint"`
	// Name is the worker's own, for a call that doesn't say which of its lives ends: the
	// latest one.
	Name string `cbor:"2,keyasint,omitempty"`
}

// ConfigureCall hands in a version of the configuration.
type ConfigureCall struct {
	Document workflow.Document `cbor:"1,keyasint"`
}

// ConfigurationReply is the newest configuration.
type ConfigurationReply struct {
	Version uint64 `cbor:"1,keyasint"`
	Source  []byte `cbor:"2,keyasint"`
}

// FollowCall is how an instance that faces callers stays in touch with the
// leader, and offers itself for questions to the adviser.
type FollowCall struct {
	Address string `cbor:"1,keyasint"`
}

// FollowReply names the core's members, and the version of the configuration
// that is in force.
type FollowReply struct {
	Members []string `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	// Pause is when the instance is to announce itself next.
	Pause time.Duration `cbor:"3,keyasint,omitempty"`
}

// ExplainCall asks what a job waits for.
type ExplainCall struct {
	Address JobAddress `cbor:"1,keyasint"`
}

// ExplainReply is how far each step of a job is, and what keeps the ready ones
// from going on.
type ExplainReply struct {
	Queue   string            `cbor:"1,keyasint"`
	ID      string            `cbor:"2,keyasint"`
	Phase   workflow.Phase    `cbor:"3,keyasint"`
	Steps   []StepProgress    `cbor:"4,keyasint"`
	Waiting []StepExplanation `cbor:"5,keyasint,omitempty"`
}

// StepProgress counts the tasks of one step of one occurrence.
type StepProgress struct {
	Key      workflow.StepKey `cbor:"1,keyasint"`
	Tasks    int              `cbor:"2,keyasint"`
	Done     int              `cbor:"3,keyasint"`
	Running  int              `cbor:"4,keyasint"`
	Failures int              `cbor:"5,keyasint"`
	// Crashes are of the tasks that workers have crashed under.
	Crashes []TaskCrashes `cbor:"6,keyasint,omitempty"`
}

// TaskCrashes names the workers that crashed under a task, the earliest first.
type TaskCrashes struct {
	Task    int      `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
	// GivenUp says that the job was given up for this task.
	GivenUp bool `cbor:"3,keyasint,omitempty"`
}

// StepExplanation is what a ready step's tasks wait for.
type StepExplanation struct {
	Key workflow.StepKey `cbor:"1,keyasint"`
	// Tasks is how many of its tasks could start.
	Tasks  int             `cbor:"2,keyasint"`
	Reason dispatch.Reason `cbor:"3,keyasint"`
	// Workers counts the service's workers by what keeps each from a task.
	Workers []dispatch.ReasonCount `cbor:"4,keyasint"`
	// Permitted, Refused and Unknown count workers by the adviser's word.
	Permitted int `cbor:"5,keyasint"`
	Refused   int `cbor:"6,keyasint"`
	Unknown   int `cbor:"7,keyasint"`
}

// WaveCall starts a wave of maintenance.
type WaveCall struct {
	Wave workflow.Wave `cbor:"1,keyasint"`
}

// WaveStateCall asks for a wave.
type WaveStateCall struct {
	ID int64 `cbor:"1,keyasint"`
}

// WaveStateReply is how far a wave has come.
type WaveStateReply struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Maintenances are the stages of its machines, in the order of the wave.
	Maintenances []workflow.Maintenance `cbor:"2,keyasint,omitempty"`
}

// Names of the calls between instances.
const (
	MethodSubmit        = "submit"
	MethodState         = "state"
	MethodEnded         = "ended"
	MethodCancel        = "cancel"
	MethodAnnounce      = "announce"
	MethodLeave         = "leave"
	MethodConfigure     = "configure"
	MethodConfiguration = "configuration"
	MethodFollow        = "follow"
	MethodAsk           = "ask"
	MethodStartWave     = "start_wave"
	MethodWaveState     = "wave_state"
	MethodExplain       = "explain"
)
