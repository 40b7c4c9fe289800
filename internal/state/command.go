package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// FormatVersion is the version of the commands and snapshots that this program
// writes. It reads all versions up to this one and refuses later ones.
const FormatVersion = 1

// Command is one entry of the data centre's log. Exactly one of the pointers is
// set.
type Command struct {
	Version uint32 `cbor:"1,keyasint"`
	// Now is the proposer's wall clock in Unix ms. Deadlines and backoffs are
	// compared with this time, and events get it. No protection against running a
	// task twice depends on the clock.
	Now int64 `cbor:"2,keyasint"`
	// Proposer and Logical complete the timestamp (hybrid logical clock) of
	// events.
	Proposer string `cbor:"3,keyasint,omitempty"`
	Logical  uint32 `cbor:"4,keyasint,omitempty"`
	// Term is the term of the proposing leader. Job IDs contain the highest
	// term seen.
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

// Request identifies a mutating call, so that a resent call gets the first response.
// Digest is a hash of the content; it shows when a call with other content uses the same
// ID.
type Request struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint,omitempty"`
	Digest   uint64 `cbor:"3,keyasint"`
}

// Submit records the admission or refusal of a job. Refusals are recorded too: a
// delayed duplicate of a refused request must not be accepted after its sender got
// the response that nothing will run.
type Submit struct {
	Request    Request       `cbor:"1,keyasint"`
	Spec       Spec          `cbor:"2,keyasint"`
	Refused    bool          `cbor:"3,keyasint,omitempty"`
	Kind       fault.Kind    `cbor:"4,keyasint,omitempty"`
	Detail     string        `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// HandoverTo is the data centre that the job is offered to; empty to queue the
	// job in this one.
	HandoverTo string `cbor:"7,keyasint,omitempty"`
	Customer   string `cbor:"8,keyasint"`
}

// Start starts attempts.
type Start struct {
	Items []StartItem `cbor:"1,keyasint"`
}

// StartItem starts a task of a job on a worker.
type StartItem struct {
	Job    string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	// RaisedNeed is the amount to reserve if that is more than the declared need;
	// nil otherwise.
	RaisedNeed *placement.Resources `cbor:"3,keyasint,omitempty"`
}

// Report is the end of an attempt, as its worker reports it.
type Report struct {
	Ref     AttemptRef `cbor:"1,keyasint"`
	Outcome Outcome    `cbor:"2,keyasint"`
	Detail  string     `cbor:"3,keyasint,omitempty"`
	// Runtime is the measured run time of the attempt, and Peak its maximum use.
	Runtime time.Duration       `cbor:"4,keyasint,omitempty"`
	Peak    placement.Resources `cbor:"5,keyasint,omitempty"`
}

// End records the reports of one worker incarnation.
type End struct {
	Worker      string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Reports     []Report `cbor:"3,keyasint"`
}

// WorkerUp records the announcement of a worker.
type WorkerUp struct {
	ID          string              `cbor:"1,keyasint"`
	Incarnation uint64              `cbor:"2,keyasint"`
	Rack        string              `cbor:"3,keyasint,omitempty"`
	Capacity    placement.Resources `cbor:"4,keyasint"`
}

// WorkerDown records that an incarnation has ended: its lease expired, with an
// allowance for clock drift, the worker left with nothing running, or it runs
// attempts that the state does not know.
type WorkerDown struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Left is set if the worker left.
	Left bool `cbor:"3,keyasint,omitempty"`
}

// Drain takes a worker out of placement or, with Undo, puts it back.
type Drain struct {
	Request Request `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Undo    bool    `cbor:"3,keyasint,omitempty"`
}

// Cancel ends jobs of one customer: by IDs, by name, or all.
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

// Refuse ends an accepted job that can no longer meet its deadline.
type Refuse struct {
	Job    string     `cbor:"1,keyasint"`
	Kind   fault.Kind `cbor:"2,keyasint"`
	Detail string     `cbor:"3,keyasint,omitempty"`
}

// Preempt stops running tasks in favour of urgent ones.
type Preempt struct {
	Items []placement.Preemption `cbor:"1,keyasint"`
}

// RecordHandoverAnswer records the committed answer of another data centre to a
// handover offer of this one.
type RecordHandoverAnswer struct {
	Job      string     `cbor:"1,keyasint"`
	To       string     `cbor:"2,keyasint"`
	Accepted bool       `cbor:"3,keyasint,omitempty"`
	Kind     fault.Kind `cbor:"4,keyasint,omitempty"`
	Detail   string     `cbor:"5,keyasint,omitempty"`
	// Withdrawn is set if the offer was sent again to withdraw the job, after the
	// customer cancelled it. The other data centre thus knows of the cancellation.
	Withdrawn bool `cbor:"7,keyasint,omitempty"`
	// Next is the data centre that gets the next offer after a refusal. If it
	// is empty, the job ends.
	Next string `cbor:"6,keyasint,omitempty"`
}

// AnswerHandoverOffer records this data centre's answer to a handover offer of
// another one. The first answer for a job also answers every duplicate of the
// offer.
type AnswerHandoverOffer struct {
	Job      string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	From     string `cbor:"3,keyasint"`
	Spec     Spec   `cbor:"4,keyasint"`
	// Submitted is when the customer submitted the job, in Unix ms.
	Submitted int64      `cbor:"5,keyasint"`
	Refused   bool       `cbor:"6,keyasint,omitempty"`
	Kind      fault.Kind `cbor:"7,keyasint,omitempty"`
	Detail    string     `cbor:"8,keyasint,omitempty"`
}

// AdoptConfig puts a committed configuration version into force in this data
// centre.
type AdoptConfig struct {
	ConfigVersion uint64 `cbor:"1,keyasint"`
	Document      string `cbor:"2,keyasint"`
	Author        string `cbor:"3,keyasint,omitempty"`
	// Accepted is when the version was accepted, in Unix ms.
	Accepted int64 `cbor:"4,keyasint,omitempty"`
	// Quota is the quota section that the proposer parsed from the document. It is
	// part of the command so that replicas running different program versions hold
	// the same ledger.
	Quota quota.Config `cbor:"5,keyasint,omitempty"`
}

// Quota is one step of a quota transfer. Exactly one of the pointers is set.
type Quota struct {
	// Debit debits this data centre for a transfer that another one requested,
	// Credit credits a received transfer, and Acknowledge removes a transfer that
	// the request acknowledges.
	Debit       *quota.DebitCommand    `cbor:"1,keyasint,omitempty"`
	Credit      *quota.Transfer        `cbor:"2,keyasint,omitempty"`
	Acknowledge *quota.TransferRequest `cbor:"3,keyasint,omitempty"`
}

// Prune deletes the jobs that ended, and the request records and handover answers
// that were made, before Before (Unix ms).
type Prune struct {
	Before int64 `cbor:"1,keyasint"`
}

// Encode returns the command encoded in the current format version.
func (c *Command) Encode() ([]byte, error) {
	c.Version = FormatVersion
	encoded, err := cbor.Marshal(c)
	return encoded, errors.Wrap(err, "encode command")
}

// Decode decodes a command of this or an earlier format version.
func Decode(encoded []byte) (*Command, error) {
	c := new(Command)
	if err := codec.Unmarshal(encoded, c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	if c.Version == 0 || c.Version > FormatVersion {
		return nil, errors.Newf("command has format version %d, this program reads up to %d", c.Version, FormatVersion)
	}
	return c, nil
}
