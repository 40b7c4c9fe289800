package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// FormatVersion is the version of commands and snapshots that this program
// writes. It reads every version up to its own and refuses later ones.
const FormatVersion = 1

// Command is one entry of the data centre's log. Exactly one of the pointers
// is set.
type Command struct {
	Version uint32 `cbor:"1,keyasint"`
	// Now is the proposer's wall clock in Unix ms. It judges deadlines and
	// dates events; no guard against double runs depends on it.
	Now int64 `cbor:"2,keyasint"`
	// By and Logical complete the event stamp of the proposer.
	Proposer string `cbor:"3,keyasint,omitempty"`
	Logical  uint32 `cbor:"4,keyasint,omitempty"`
	// Term is the leader's; ids carry the highest one seen.
	Term uint64 `cbor:"5,keyasint,omitempty"`

	Submit               *Submit               `cbor:"10,keyasint,omitempty"`
	Start                *Start                `cbor:"11,keyasint,omitempty"`
	End                  *End                  `cbor:"12,keyasint,omitempty"`
	WorkerUp             *WorkerUp             `cbor:"13,keyasint,omitempty"`
	WorkerDown           *WorkerDown           `cbor:"14,keyasint,omitempty"`
	Drain                *Drain                `cbor:"15,keyasint,omitempty"`
	Cancel               *Cancel               `cbor:"16,keyasint,omitempty"`
	Scale                *Scale                `cbor:"17,keyasint,omitempty"`
	Refuse               *Refuse               `cbor:"18,keyasint,omitempty"`
	Preempt              *Preempt              `cbor:"19,keyasint,omitempty"`
	RecordHandoverAnswer *RecordHandoverAnswer `cbor:"20,keyasint,omitempty"`
	AnswerHandoverOffer  *AnswerHandoverOffer  `cbor:"21,keyasint,omitempty"`
	AdoptConfig          *AdoptConfig          `cbor:"22,keyasint,omitempty"`
	Quota                *Quota                `cbor:"23,keyasint,omitempty"`
	Prune                *Prune                `cbor:"24,keyasint,omitempty"`
}

// Request identifies a mutating call so that a resent one gets the first
// answer. Digest tells another content under the same id apart.
type Request struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint,omitempty"`
	Digest   uint64 `cbor:"3,keyasint"`
}

// Submit records an admission or a refusal. Refusals are recorded too: a
// doubled copy of a refused request that arrives later must not be accepted
// after its sender was told that nothing will run.
type Submit struct {
	Request    Request       `cbor:"1,keyasint"`
	Spec       Spec          `cbor:"2,keyasint"`
	Refused    bool          `cbor:"3,keyasint,omitempty"`
	Kind       fault.Kind    `cbor:"4,keyasint,omitempty"`
	Detail     string        `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	HandoverTo string        `cbor:"7,keyasint,omitempty"`
	Customer   string        `cbor:"8,keyasint"`
}

// Start asks for attempts to be started.
type Start struct {
	Items []StartItem `cbor:"1,keyasint"`
}

// StartItem asks for a task of a job to be started on a worker.
type StartItem struct {
	Job    string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	// Raised is set where more than the declared need is to be held.
	RaisedNeed *placement.Resources `cbor:"3,keyasint,omitempty"`
}

// Report is one end of an attempt.
type Report struct {
	Ref     AttemptRef          `cbor:"1,keyasint"`
	Outcome Outcome             `cbor:"2,keyasint"`
	Detail  string              `cbor:"3,keyasint,omitempty"`
	Runtime time.Duration       `cbor:"4,keyasint,omitempty"`
	Peak    placement.Resources `cbor:"5,keyasint,omitempty"`
}

// End records reports of one worker incarnation.
type End struct {
	Worker      string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Reports     []Report `cbor:"3,keyasint"`
}

// WorkerUp records an announcement.
type WorkerUp struct {
	ID          string              `cbor:"1,keyasint"`
	Incarnation uint64              `cbor:"2,keyasint"`
	Rack        string              `cbor:"3,keyasint,omitempty"`
	Capacity    placement.Resources `cbor:"4,keyasint"`
}

// WorkerDown records that the lease of an incarnation has ended, counted by
// the owner with the drift bound, or that the worker has left with nothing running.
type WorkerDown struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Left        bool   `cbor:"3,keyasint,omitempty"`
}

// Drain takes a worker out of placement or puts it back.
type Drain struct {
	Request Request `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Undo    bool    `cbor:"3,keyasint,omitempty"`
}

// Cancel ends jobs of one customer: by ids, by name, or all.
type Cancel struct {
	Request  Request  `cbor:"1,keyasint"`
	Customer string   `cbor:"2,keyasint"`
	IDs      []string `cbor:"3,keyasint,omitempty"`
	Name     string   `cbor:"4,keyasint,omitempty"`
	All      bool     `cbor:"5,keyasint,omitempty"`
}

// Scale changes the number of tasks of a service.
type Scale struct {
	Request  Request `cbor:"1,keyasint"`
	Customer string  `cbor:"2,keyasint"`
	Job      string  `cbor:"3,keyasint"`
	Tasks    int     `cbor:"4,keyasint"`
}

// Refuse ends accepted work that can no longer make its deadline.
type Refuse struct {
	Job    string     `cbor:"1,keyasint"`
	Kind   fault.Kind `cbor:"2,keyasint"`
	Detail string     `cbor:"3,keyasint,omitempty"`
}

// Preempt asks for running tasks to be stopped in favour of urgent work.
type Preempt struct {
	Items []placement.Preemption `cbor:"1,keyasint"`
}

// Offered records the other data centre's committed answer to a handover.
type RecordHandoverAnswer struct {
	Job      string     `cbor:"1,keyasint"`
	To       string     `cbor:"2,keyasint"`
	Accepted bool       `cbor:"3,keyasint,omitempty"`
	Kind     fault.Kind `cbor:"4,keyasint,omitempty"`
	Detail   string     `cbor:"5,keyasint,omitempty"`
	// Withdrawn says that the other data centre has been told of the
	// customer's cancellation.
	Withdrawn bool `cbor:"7,keyasint,omitempty"`
	// Next is the data centre to try next after a refusal; empty ends the job.
	Next string `cbor:"6,keyasint,omitempty"`
}

// AnswerHandoverOffer records this data centre's answer to another's offer. The first
// answer for a job stands for every repeat of the offer.
type AnswerHandoverOffer struct {
	Job       string     `cbor:"1,keyasint"`
	Customer  string     `cbor:"2,keyasint"`
	From      string     `cbor:"3,keyasint"`
	Spec      Spec       `cbor:"4,keyasint"`
	Submitted int64      `cbor:"5,keyasint"`
	Refused   bool       `cbor:"6,keyasint,omitempty"`
	Kind      fault.Kind `cbor:"7,keyasint,omitempty"`
	Detail    string     `cbor:"8,keyasint,omitempty"`
}

// AdoptConfig brings a committed configuration version into force here.
type AdoptConfig struct {
	ConfigVersion uint64 `cbor:"1,keyasint"`
	Document      string `cbor:"2,keyasint"`
	Author        string `cbor:"3,keyasint,omitempty"`
	Accepted      int64  `cbor:"4,keyasint,omitempty"`
	// Quota is what the proposer read out of the document. It is part of the
	// command so that replicas with different programs hold the same ledger.
	Quota quota.Config `cbor:"5,keyasint,omitempty"`
}

// Quota is one step of a quota transfer. Exactly one of the pointers is set.
type Quota struct {
	// Give answers another data centre's ask, Take credits a received transfer,
	// Forget drops a transfer that the ask acknowledges.
	Give   *quota.DebitCommand    `cbor:"1,keyasint,omitempty"`
	Take   *quota.Transfer        `cbor:"2,keyasint,omitempty"`
	Forget *quota.TransferRequest `cbor:"3,keyasint,omitempty"`
}

// Prune forgets ended jobs and old request records.
type Prune struct {
	Before int64 `cbor:"1,keyasint"`
}

// Encode writes a command.
func (c *Command) Encode() ([]byte, error) {
	c.Version = FormatVersion
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// Decode reads a command of this or an earlier version.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	if c.Version == 0 || c.Version > FormatVersion {
		return nil, errors.Newf("command has format version %d, this program reads up to %d", c.Version, FormatVersion)
	}
	return c, nil
}
