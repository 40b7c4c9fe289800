package lease

import (
	"cmp"
	"slices"
	"strings"
)

// MaxRememberedAttempts is how many attempts a Guard remembers, running and ended
// together. Beyond it starts are refused with ErrFull until the owner
// acknowledges ends.
const MaxRememberedAttempts = 4096

// Refusal is why a Guard refuses a command. The list is closed.
type Refusal uint8

// Refusals.
const (
	// ErrOtherIncarnation: the command is for another incarnation. Ignore it.
	ErrOtherIncarnation Refusal = iota + 1
	// ErrOldTerm: a leader of a newer term has been heard from. Ignore the command.
	ErrOldTerm
	// ErrDuplicate: the command is a copy of a processed one. Ignore it.
	ErrDuplicate
	// ErrSequenceGap: an earlier command is missing. The owner sends both again.
	ErrSequenceGap
	// ErrRunning: the attempt runs already. The command counts as processed.
	ErrRunning
	// ErrEnded: the attempt has run and ended. The command counts as processed;
	// report the end again.
	ErrEnded
	// ErrStopped: the attempt was stopped before it started and never will
	// start. The command counts as processed; report NOT_STARTED again.
	ErrStopped
	// ErrFull: MaxRememberedAttempts are remembered. The command is not processed; the
	// owner sends it again.
	ErrFull
	// ErrNotRunning: End was called for an attempt that isn't running.
	ErrNotRunning
)

// refusalTexts are the messages of the refusals.
var refusalTexts = [...]string{
	ErrOtherIncarnation: "command is for another incarnation",
	ErrOldTerm:          "command is of an older term",
	ErrDuplicate:        "command was processed before",
	ErrSequenceGap:      "an earlier command is missing",
	ErrRunning:          "attempt is running already",
	ErrEnded:            "attempt has ended",
	ErrStopped:          "attempt was stopped before it started",
	ErrFull:             "too many attempts are remembered",
	ErrNotRunning:       "attempt is not running",
}

// Error gives the refusal as a sentence.
func (r Refusal) Error() string {
	return "lease: " + refusalTexts[r]
}

// Attempt names one try of one task.
type Attempt struct {
	Job     string `cbor:"1,keyasint"`
	Task    int32  `cbor:"2,keyasint,omitempty"`
	Attempt int32  `cbor:"3,keyasint,omitempty"`
}

// Compare orders attempts by job, task and attempt.
func (a Attempt) Compare(b Attempt) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// Position is a place in the commands of one incarnation. The number counts
// from 1 in each term.
type Position struct {
	Term   uint64
	Number uint64
}

// Compare orders positions by term, then number.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Number, q.Number))
}

// Header is what every command carries.
type Header struct {
	// Incarnation is the one that the attempt was committed for, even when the
	// owner knows of a later one by now.
	Incarnation uint64
	Position    Position
}

// phase is how far an attempt has come.
type phase uint8

const (
	running phase = iota + 1
	ended
	stoppedBeforeStart
)

// memory is what a Guard remembers of one attempt.
type attemptRecord struct {
	phase phase
	// acknowledged says that the owner has committed the end; until is then the
	// highest command that it had issued.
	acknowledged bool
	forgetAfter  Position
}

// Guard is the worker's decision on commands. It is not safe for concurrent
// use.
type Guard struct {
	incarnation uint64
	position    Position
	attempts    map[Attempt]*attemptRecord
	// acknowledged counts the attempts that wait only for their position.
	acknowledged int
}

// NewGuard returns a Guard for an incarnation in which nothing has run.
func NewGuard(incarnation uint64) *Guard {
	return &Guard{incarnation: incarnation, attempts: map[Attempt]*attemptRecord{}}
}

// Restart begins a higher incarnation. The caller has stopped all tasks. What
// was remembered is dropped: it was to refuse commands of the old incarnation,
// and those are refused by their incarnation now.
func (g *Guard) Restart(incarnation uint64) {
	invariant(incarnation > g.incarnation, "incarnation %d after %d", incarnation, g.incarnation)
	*g = *NewGuard(incarnation)
}

// Incarnation returns the present incarnation.
func (g *Guard) Incarnation() uint64 {
	return g.incarnation
}

// Position returns the last command processed; renewals carry it.
func (g *Guard) Position() Position {
	return g.position
}

// Observe notes the term of a leader's answer, with or without commands. From
// then on commands of older terms are refused. It returns ErrOldTerm when the
// answer itself is older; such an answer must be ignored, its grant included.
//
// A renewal that carries the leader's own term proves that no command of an
// earlier term will be taken any more, so only an announcement sent with it
// tells the leader what may still start.
func (g *Guard) ObserveTerm(term uint64) error {
	if term < g.position.Term {
		return ErrOldTerm
	}
	if term > g.position.Term {
		g.advance(Position{Term: term})
	}
	return nil
}

// Start decides whether an attempt may be started now. On nil the attempt
// counts as running, and the caller must start it or call End. Any error is a
// Refusal.
//
// Failures guarded against: a start is delivered twice, or by a deposed leader
// after its successor has moved the task, or after the attempt has run and
// ended, or after the owner was given proof that it never started; each would
// run a task a second time.
func (g *Guard) Start(h Header, a Attempt) error {
	if err := g.check(h); err != nil {
		return err
	}
	m := g.attempts[a]
	if m == nil && len(g.attempts) >= MaxRememberedAttempts {
		return ErrFull
	}
	g.advance(h.Position)
	if m != nil {
		return m.refusal()
	}
	g.attempts[a] = &attemptRecord{phase: running}
	return nil
}

// refusal says why an attempt that is remembered can't be started.
func (m *attemptRecord) refusal() Refusal {
	switch m.phase {
	case running:
		return ErrRunning
	case ended:
		return ErrEnded
	default:
		return ErrStopped
	}
}

// StopResult is what a stop command found.
type StopResult uint8

// Results of a stop.
const (
	// StopRunning: the attempt runs; the caller stops it and then calls End.
	StopRunning StopResult = iota + 1
	// StopBeforeStart is the proof that the attempt never started and never
	// will; the caller reports NOT_STARTED.
	StopBeforeStart
	// StopEnded: the attempt had ended; the caller reports its end again.
	StopEnded
)

// Stop decides on a stop command. Any error is a Refusal. The proof
// StopBeforeStart holds because the attempt is remembered as stopped from now
// on, and because the incarnation has not run and forgotten it: see Forget.
func (g *Guard) Stop(h Header, a Attempt) (StopResult, error) {
	if err := g.check(h); err != nil {
		return 0, err
	}
	m := g.attempts[a]
	if m == nil && len(g.attempts) >= MaxRememberedAttempts {
		return 0, ErrFull
	}
	g.advance(h.Position)
	if m == nil {
		g.attempts[a] = &attemptRecord{phase: stoppedBeforeStart}
		return StopBeforeStart, nil
	}
	switch m.phase {
	case running:
		return StopRunning, nil
	case ended:
		return StopEnded, nil
	default:
		return StopBeforeStart, nil
	}
}

// End notes that a running attempt has ended, in whatever way.
func (g *Guard) End(a Attempt) error {
	m := g.attempts[a]
	if m == nil || m.phase != running {
		return ErrNotRunning
	}
	m.phase = ended
	return nil
}

// Forget notes that the owner has committed the ends of attempts. until is the
// highest command that it had issued to this incarnation when the ends were
// committed (Outbox.Position of the leader that acknowledges): the leader's term
// with number 0 when it has issued none.
//
// An attempt is forgotten once the guard's own position has reached until.
// That is enough: the leader issues no command for the attempt after the
// commit, and neither does a later leader, whose state holds the commit. So
// every copy of such a command is at or before until, and at the guard's
// position or before it commands are refused by number and term alone. The
// acknowledgement by itself is not enough: a start that was issued a second
// time under a later number may still be under way. An acknowledgement without
// a term is therefore ignored; terms start at 1.
func (g *Guard) Acknowledge(acknowledged []Attempt, until Position) {
	if until.Term == 0 {
		return
	}
	for _, a := range acknowledged {
		m := g.attempts[a]
		if m == nil || m.phase == running || m.acknowledged {
			continue
		}
		m.acknowledged = true
		m.forgetAfter = until
		g.acknowledged++
	}
	// The acknowledgement itself comes from the leader of until.Term.
	if until.Term > g.position.Term {
		g.advance(Position{Term: until.Term})
		return
	}
	g.dropForgettable()
}

// Running returns the attempts that run, in order, for an announcement.
func (g *Guard) Running() []Attempt {
	return g.attemptsWhere(func(m *attemptRecord) bool { return m.phase == running })
}

// Unacknowledged returns the ended and stopped attempts whose reports the
// owner has not acknowledged, in order.
func (g *Guard) Unacknowledged() []Attempt {
	return g.attemptsWhere(func(m *attemptRecord) bool { return m.phase != running && !m.acknowledged })
}

// Remembered is the number of attempts that the guard remembers.
func (g *Guard) AttemptCount() int {
	return len(g.attempts)
}

// list returns the attempts whose memory is wanted, in order.
func (g *Guard) attemptsWhere(wanted func(*attemptRecord) bool) []Attempt {
	var list []Attempt
	for a, m := range g.attempts {
		if wanted(m) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, Attempt.Compare)
	return list
}

// check refuses commands by header alone.
func (g *Guard) check(h Header) error {
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

// advance moves the position on and forgets what it makes forgettable.
func (g *Guard) advance(to Position) {
	invariant(to.Compare(g.position) > 0, "the guard's position went back")
	g.position = to
	g.dropForgettable()
}

// sweep forgets the acknowledged attempts whose commands are all refused by
// position.
func (g *Guard) dropForgettable() {
	if g.acknowledged == 0 {
		return
	}
	for a, m := range g.attempts {
		if m.acknowledged && m.forgetAfter.Compare(g.position) <= 0 {
			delete(g.attempts, a)
			g.acknowledged--
		}
	}
}
