package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// endProof is what proves that an incarnation of a worker runs nothing any more. Neither silence nor an
// announcement proves that: a partition causes the one, and the other may be delayed or come from another
// program.
type endProof string

const (
	// proofOtherIncarnation and proofSuccessor: a process ends before another one responds at its address
	// or under its name.
	proofOtherIncarnation endProof = "another incarnation responds"
	proofSuccessor        endProof = "a later incarnation of the worker responds"
	// proofSupersededLease, proofLeavingLease: the worker ends all runs when its lease expires.
	proofSupersededLease endProof = "a later incarnation of the worker is known and the lease expired"
	proofLeavingLease    endProof = "the worker announced its shutdown and its lease expired"
	// proofNoRuns: the worker gets no tasks any more, and the ends of its runs are committed.
	proofNoRuns endProof = "the worker announced its shutdown and has no runs"
	// proofMachineDown: the deployment ends all runs on a machine before it confirms the order.
	proofMachineDown endProof = "the deployment has taken the machine down"
)

// hasSuccessor reports whether a later incarnation of the worker may carry out starts that were sent to the
// ended one.
func (p endProof) hasSuccessor() bool {
	return p == proofOtherIncarnation || p == proofSuccessor || p == proofSupersededLease
}

// proofAfterSilence returns what proves, after a poll without a response, that the incarnation has ended, or "" if
// it may still run something. t.mu must be held.
//
// An announced shutdown proves nothing: the worker runs on for seconds if a partition keeps the confirmation from
// it, and each of its tasks that was started elsewhere would run twice.
func (s *workerSession) proofAfterSilence(now time.Time) endProof {
	leaseExpired := now.After(s.leaseEnd)
	switch {
	case s.machineDown:
		return proofMachineDown
	case s.leaving && !s.hasRuns():
		return proofNoRuns
	case s.superseded && leaseExpired:
		return proofSupersededLease
	case s.leaving && leaseExpired:
		return proofLeavingLease
	}
	return ""
}

// takeProofAfterSilence returns what proves, after a poll without a response, that the incarnation has ended, and
// keeps all further starts from being sent then. Without such a proof it returns the ends of the runs that an expired
// lease has ended. t.mu must be held.
//
// An idle worker's lease expires although the worker is alive, since repeated polls don't extend it. The expiry is
// therefore checked together with the runs that it ends: the start of a run that the log gets later extends the lease.
func (s *workerSession) takeProofAfterSilence(now time.Time) (proof endProof, ends collectedEnds) {
	proof = s.proofAfterSilence(now)
	switch {
	case proof != "":
		s.setEnding()
	case now.After(s.leaseEnd):
		ends = s.collectEnds(workflow.OutcomeLost, allRuns)
	}
	return proof, ends
}
