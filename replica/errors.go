package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors that the core returns. Compare them with errors.Is.
var (
	// ErrConfig says that a Config can't be used.
	ErrConfig = errors.New("replica: bad configuration")
	// ErrStoredState says that the stored state contradicts itself.
	ErrStoredState = errors.New("replica: bad stored state")
	// ErrNotLeader says that this member doesn't lead, or may not decide at present.
	ErrNotLeader = errors.New("replica: not a leader that may decide")
	// ErrTransferring says that the leader is handing over its leadership.
	ErrTransferring = errors.New("replica: leadership is being transferred")
	// ErrBadTarget says that a member can't take over the leadership.
	ErrBadTarget = errors.New("replica: member cannot lead")
	// ErrChangePending says that an earlier membership change isn't committed yet.
	ErrChangePending = errors.New("replica: a membership change is pending")
	// ErrChangeTooLarge says that a new membership differs in more than one member.
	ErrChangeTooLarge = errors.New("replica: membership change of more than one member")
	// ErrNoChange says that the new membership equals the current one.
	ErrNoChange = errors.New("replica: membership unchanged")
	// ErrLosesQuorum says that too few voters of the new membership answer at present.
	ErrLosesQuorum = errors.New("replica: change would lose the quorum")
	// ErrNotCaughtUp says that a learner to be promoted lags behind the log.
	ErrNotCaughtUp = errors.New("replica: learner has not caught up")
	// ErrRemovesLeader says that the leader would take away its own vote; transfer first.
	ErrRemovesLeader = errors.New("replica: change removes the leader")
	// ErrBadSnapshot says that a snapshot index is not an applied, kept index.
	ErrBadSnapshot = errors.New("replica: bad snapshot index")
	// ErrBadMessage says that a message isn't for this member or is malformed.
	ErrBadMessage = errors.New("replica: bad message")
	// ErrForceStart says that this member may not be force-started.
	ErrForceStart = errors.New("replica: forced start not possible here")
)

// invariant panics when ok is false: going on would break a promise already
// given to a caller, so the process must stop with a message naming the breach.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("replica: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
