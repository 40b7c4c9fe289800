package lease

import (
	"cmp"
	"slices"
	"strings"
)

// MaxAttemptRecords is how many attempts, running and ended together, a Guard
// records. Further starts are refused with ErrFull until the owner acknowledges
// ended attempts.
const MaxAttemptRecords = 4096

// Refusal is the error with which a Guard refuses a command or a call of End. It is
// one of a fixed set of constants.
type Refusal uint8

// The refusals.
const (
	// ErrOtherIncarnation: the command is for another incarnation. Ignore it.
	ErrOtherIncarnation Refusal = iota + 1
	// ErrOldTerm: the command's leader term is lower than one that the worker has
	// seen. Ignore the command.
	ErrOldTerm
	// ErrDuplicate: the command was processed before. Ignore it.
	ErrDuplicate
	// ErrSequenceGap: an earlier command has not arrived. The command isn't processed;
	// the owner sends both commands again.
	ErrSequenceGap
	// ErrRunning: the attempt is already running. The command counts as
	// processed.
	ErrRunning
	// ErrEnded: the attempt has run and ended. The command counts as processed;
	// report the end again.
	ErrEnded
	// ErrStopped: the attempt was stopped before it started and can never
	// start. The command counts as processed; report NOT_STARTED again.
	ErrStopped
	// ErrFull: MaxAttemptRecords attempts are recorded. The command isn't
	// processed; the owner sends it again.
	ErrFull
	// ErrNotRunning: End was called for an attempt that isn't running.
	ErrNotRunning
)

// refusalTexts are the error texts of the refusals.
var refusalTexts = [...]string{
	ErrOtherIncarnation: "command is for another incarnation",
	ErrOldTerm:          "command is of an earlier term",
	ErrDuplicate:        "command was processed before",
	ErrSequenceGap:      "an earlier command is missing",
	ErrRunning:          "attempt is already running",
	ErrEnded:            "attempt has ended",
	ErrStopped:          "attempt was stopped before it started",
	ErrFull:             "too many attempts are recorded",
	ErrNotRunning:       "attempt is not running",
}

// Error returns the refusal as a sentence.
func (r Refusal) Error() string {
	return "lease: " + refusalTexts[r]
}

// Attempt identifies one attempt to run a task, by the job, the task's index in the
// job and the number of the attempt.
type Attempt struct {
	Job     string `cbor:"1,keyasint"`
	Task    int32  `cbor:"2,keyasint,omitempty"`
	Attempt int32  `cbor:"3,keyasint,omitempty"`
}

// Compare orders attempts by job, task and attempt.
func (a Attempt) Compare(b Attempt) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// Position is the position of a command among the commands to one incarnation of a
// worker: the leader term and the command's number, which counts from 1 in each term.
type Position struct {
	Term   uint64
	Number uint64
}

// Compare orders positions by term, then by number.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Number, q.Number))
}

// Header identifies a command by the incarnation that it is for and its position.
type Header struct {
	// Incarnation is the incarnation for which the attempt was committed, even
	// if the owner knows of a higher one.
	Incarnation uint64
	Position    Position
}

// phase tells whether a recorded attempt is running, has ended or was stopped before
// it started.
type phase uint8

const (
	running phase = iota + 1
	ended
	stoppedBeforeStart
)

// attemptRecord is a Guard's record of one attempt.
type attemptRecord struct {
	phase phase
	// acknowledged reports whether the owner has committed the end. Once it is
	// true, dropAfter is the position of the last command that the owner had
	// issued by the commit; the record is dropped when the Guard's position
	// reaches it.
	acknowledged bool
	dropAfter    Position
}

// Guard decides, on a worker, which commands are executed. It is not safe for
// concurrent use.
type Guard struct {
	incarnation uint64
	// position is the position of the last processed command.
	position Position
	attempts map[Attempt]*attemptRecord
	// acknowledged counts the acknowledged attempts that are still recorded.
	acknowledged int
}

// NewGuard returns a Guard for an incarnation in which no attempt has run.
func NewGuard(incarnation uint64) *Guard {
	return &Guard{incarnation: incarnation, attempts: map[Attempt]*attemptRecord{}}
}

// Restart starts a higher incarnation. The caller must have stopped all tasks.
// The attempt records are dropped, because every command of the old incarnation is
// refused with ErrOtherIncarnation from now on.
func (g *Guard) Restart(incarnation uint64) {
	invariant(incarnation > g.incarnation, "incarnation %d is not higher than %d", incarnation, g.incarnation)
	*g = *NewGuard(incarnation)
}

// Incarnation returns the current incarnation.
func (g *Guard) Incarnation() uint64 {
	return g.incarnation
}

// Position returns the position of the last processed command. Renewals carry it.
func (g *Guard) Position() Position {
	return g.position
}

// ObserveTerm records the term of a leader's response, with or without commands.
// Commands of earlier terms are refused from then on. It returns ErrOldTerm if
// the response itself is of an earlier term; the caller must ignore such a response
// and the lease that it grants.
//
// A renewal that carries the leader's own term proves that no command of an
// earlier term will be accepted any more. Only an announcement sent with such a
// renewal shows the leader which attempts may still start.
func (g *Guard) ObserveTerm(term uint64) error {
	if term < g.position.Term {
		return ErrOldTerm
	}
	if term > g.position.Term {
		g.advance(Position{Term: term})
	}
	return nil
}

// Start decides on a start command. If it returns nil, the attempt counts as running,
// and the caller must start it or call End. Any error is a Refusal.
//
// Guards against running a task a second time: a start may be delivered twice, or
// come from a replaced leader after its successor has moved the task, or arrive
// after the attempt has run and ended, or after the owner got proof that it never
// started.
func (g *Guard) Start(h Header, a Attempt) error {
	if err := g.checkHeader(h); err != nil {
		return err
	}
	record := g.attempts[a]
	if record == nil && len(g.attempts) >= MaxAttemptRecords {
		return ErrFull
	}
	g.advance(h.Position)
	if record != nil {
		return record.refusal()
	}
	g.attempts[a] = &attemptRecord{phase: running}
	return nil
}

// refusal returns why a recorded attempt can't start.
func (record *attemptRecord) refusal() Refusal {
	switch record.phase {
	case running:
		return ErrRunning
	case ended:
		return ErrEnded
	default:
		return ErrStopped
	}
}

// StopResult is the result of a stop command.
type StopResult uint8

// The results of a stop.
const (
	// StopRunning: the attempt is running; the caller stops it and then calls
	// End.
	StopRunning StopResult = iota + 1
	// StopBeforeStart: the attempt has not started and never will; the caller
	// reports NOT_STARTED.
	StopBeforeStart
	// StopEnded: the attempt had ended; the caller reports its end again.
	StopEnded
)

// Stop decides on a stop command. Any error is a Refusal. StopBeforeStart proves that
// the attempt never starts: the attempt is recorded as stopped from now on, and this
// incarnation can't have run it and dropped its record already, because Acknowledge
// drops a record only when no command for the attempt can follow.
func (g *Guard) Stop(h Header, a Attempt) (StopResult, error) {
	if err := g.checkHeader(h); err != nil {
		return 0, err
	}
	record := g.attempts[a]
	if record == nil && len(g.attempts) >= MaxAttemptRecords {
		return 0, ErrFull
	}
	g.advance(h.Position)
	if record == nil {
		g.attempts[a] = &attemptRecord{phase: stoppedBeforeStart}
		return StopBeforeStart, nil
	}
	switch record.phase {
	case running:
		return StopRunning, nil
	case ended:
		return StopEnded, nil
	default:
		return StopBeforeStart, nil
	}
}

// End records that a running attempt has ended, for any reason. It returns
// ErrNotRunning if the attempt isn't running.
func (g *Guard) End(a Attempt) error {
	record := g.attempts[a]
	if record == nil || record.phase != running {
		return ErrNotRunning
	}
	record.phase = ended
	return nil
}

// Acknowledge records that the owner has committed the ends of attempts. until is
// the highest command that the owner had issued to this incarnation when it
// committed them (Outbox.Position of the leader that acknowledges), or the
// leader's term with number 0 if it has issued none.
//
// The record of an attempt is dropped once the guard's own position has reached
// until. That is safe: neither this leader, after the commit, nor a later leader,
// whose state has the commit, issues a command for the attempt. So every copy of
// such a command is at or before until, and commands at or before the guard's
// position are refused by term and number alone. Dropping the record at the
// acknowledgement would not be safe: a start that was issued a second time under
// a later number may still be in flight. Terms start at 1; an acknowledgement whose
// until has term 0 carries no position and is ignored.
func (g *Guard) Acknowledge(acknowledged []Attempt, until Position) {
	if until.Term == 0 {
		return
	}
	for _, a := range acknowledged {
		record := g.attempts[a]
		if record == nil || record.phase == running || record.acknowledged {
			continue
		}
		record.acknowledged = true
		record.dropAfter = until
		g.acknowledged++
	}
	// The acknowledgement proves that there is a leader of until.Term.
	if until.Term > g.position.Term {
		g.advance(Position{Term: until.Term})
		return
	}
	g.dropObsoleteRecords()
}

// Running returns the running attempts, sorted, for an announcement.
func (g *Guard) Running() []Attempt {
	return g.attemptsWhere(func(record *attemptRecord) bool { return record.phase == running })
}

// Unacknowledged returns, sorted, the ended and stopped attempts whose reports
// the owner has not acknowledged.
func (g *Guard) Unacknowledged() []Attempt {
	return g.attemptsWhere(func(record *attemptRecord) bool { return record.phase != running && !record.acknowledged })
}

// AttemptCount returns the number of recorded attempts.
func (g *Guard) AttemptCount() int {
	return len(g.attempts)
}

// attemptsWhere returns, sorted, the attempts for whose records wanted returns true.
func (g *Guard) attemptsWhere(wanted func(*attemptRecord) bool) []Attempt {
	var matching []Attempt
	for a, record := range g.attempts {
		if wanted(record) {
			matching = append(matching, a)
		}
	}
	slices.SortFunc(matching, Attempt.Compare)
	return matching
}

// checkHeader returns the Refusal of a command that must be refused for its header
// alone: it is for another incarnation, of an earlier term, a duplicate, or not the
// next in sequence. Otherwise it returns nil.
func (g *Guard) checkHeader(h Header) error {
	if h.Incarnation != g.incarnation {
		return ErrOtherIncarnation
	}
	if h.Position.Term < g.position.Term {
		return ErrOldTerm
	}
	expected := uint64(1)
	if h.Position.Term == g.position.Term {
		expected = g.position.Number + 1
	}
	if h.Position.Number < expected {
		return ErrDuplicate
	}
	if h.Position.Number > expected {
		return ErrSequenceGap
	}
	return nil
}

// advance moves the position forward and drops the attempt records that are no longer
// needed.
func (g *Guard) advance(to Position) {
	invariant(to.Compare(g.position) > 0, "the guard's position moved back")
	g.position = to
	g.dropObsoleteRecords()
}

// dropObsoleteRecords drops the records of acknowledged attempts all of whose
// commands are refused by position.
func (g *Guard) dropObsoleteRecords() {
	if g.acknowledged == 0 {
		return
	}
	for a, record := range g.attempts {
		if record.acknowledged && record.dropAfter.Compare(g.position) <= 0 {
			delete(g.attempts, a)
			g.acknowledged--
		}
	}
}
