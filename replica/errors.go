package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors that the core returns. Compare them with errors.Is.
var (
	// ErrConfig says that a Config or a membership is invalid.
	ErrConfig = errors.New("replica: invalid configuration")
	// ErrStoredState says that the stored state contradicts itself.
	ErrStoredState = errors.New("replica: invalid stored state")
	// ErrNotLeader says that this member doesn't lead or may not decide at the
	// moment.
	ErrNotLeader = errors.New("replica: not a leader that may decide")
	// ErrTransferring says that the leader is transferring its leadership.
	ErrTransferring = errors.New("replica: leadership is being transferred")
	// ErrBadTransferee says that a member can't become leader by a transfer.
	ErrBadTransferee = errors.New("replica: member cannot lead")
	// ErrChangePending says that an earlier membership change isn't committed yet.
	ErrChangePending = errors.New("replica: a membership change is pending")
	// ErrChangeTooLarge says that a new membership differs in more than one member.
	ErrChangeTooLarge = errors.New("replica: membership change of more than one member")
	// ErrNoChange says that the new membership equals the current one.
	ErrNoChange = errors.New("replica: membership unchanged")
	// ErrLosesQuorum says that too few voters of the new membership are responsive.
	ErrLosesQuorum = errors.New("replica: change would lose the quorum")
	// ErrNotCaughtUp says that a learner to be promoted lags behind the log.
	ErrNotCaughtUp = errors.New("replica: learner has not caught up")
	// ErrRemovesLeader says that the change would remove the leader's own vote.
	// Transfer the leadership first.
	ErrRemovesLeader = errors.New("replica: change removes the leader")
	// ErrBadSnapshot says that a snapshot index isn't applied or no longer in the
	// log.
	ErrBadSnapshot = errors.New("replica: invalid snapshot index")
	// ErrBadMessage says that a message is addressed to another member or malformed.
	ErrBadMessage = errors.New("replica: invalid message")
	// ErrForceStart says that this member may not be force-started.
	ErrForceStart = errors.New("replica: member may not be force-started")
)

// invariant panics with the broken invariant when ok is false. Continuing would break
// a guarantee already given to a caller, so the process must stop.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("replica: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
