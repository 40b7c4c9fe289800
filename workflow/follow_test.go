package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// followPath is the prefix of the queue whose policy the tests change.
const followPath = "/q/"

// acceptedPolicy is the policy of the queue when jobs are accepted, changedPolicy one that differs in each field.
var (
	acceptedPolicy = Policy{Service: "old", Priority: 1, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 100}
	changedPolicy  = Policy{Service: "new", Priority: 2, MaxAttempts: 5, Stretch: 4, ObjectiveMS: 900, Advice: &AdvicePolicy{BaseMS: 1, TicketValidityMS: 7}}
)

// withPolicy returns a document in which the queue has a policy.
func withPolicy(p Policy) Document {
	queue := queueAt(followPath)
	queue.Policy = p
	return Document{Queues: []Queue{queueAt("/other/"), queue}}
}

// configureNext commits a document as the next version.
func (s *State) configureNext(d Document) {
	d.Version, d.Source = s.Configuration.Version+1, []byte("{}")
	s.Apply(d.Version, &Command{Configuration: &d})
}

// submitTo commits a submission that was proposed with a policy.
func (s *State) submitTo(id string, p Policy) {
	s.Apply(1, &Command{Submit: &Submission{ID: id, Queue: "h" + followPath, Steps: []Step{smallStep(1)}, Policy: p}})
}

// checkFollows checks that a job has what follows its queue from want, and what its caller was promised from promised.
func checkFollows(t *testing.T, job *Job, promised, want Policy) {
	t.Helper()
	expected := promised
	expected.Service, expected.Priority, expected.Advice = want.Service, want.Priority, want.Advice
	must.Eq(t, expected, job.Policy)
}

// Guards against accepted jobs that wait for the workers, the order or the adviser of a queue that has changed since, and
// against a change of what their callers were promised.
func TestAcceptedJobFollowsPolicyOfItsQueue(t *testing.T) {
	s := configured(withPolicy(acceptedPolicy))
	s.submitTo("j", acceptedPolicy)
	s.configureNext(withPolicy(changedPolicy))
	checkFollows(t, s.Jobs["j"], acceptedPolicy, changedPolicy)
	s.configureNext(withPolicy(acceptedPolicy))
	checkFollows(t, s.Jobs["j"], acceptedPolicy, acceptedPolicy)
}

// Guards against a job that is accepted under the policy by which its call was resolved, although a newer one was
// committed first.
func TestJobCommittedAfterChangeFollowsNewPolicy(t *testing.T) {
	s := configured(withPolicy(acceptedPolicy), withPolicy(changedPolicy))
	s.submitTo("j", acceptedPolicy)
	checkFollows(t, s.Jobs["j"], acceptedPolicy, changedPolicy)
}

// Guards against jobs of a removed queue that lose the workers which last ran its jobs, and against a queue that is
// there again without its jobs.
func TestJobOfRemovedQueueKeepsLastPolicyUntilQueueIsBack(t *testing.T) {
	s := configured(withPolicy(acceptedPolicy))
	s.submitTo("j", acceptedPolicy)
	s.configureNext(withPolicy(changedPolicy))
	s.configureNext(Document{Queues: []Queue{queueAt("/other/")}})
	s.submitTo("late", acceptedPolicy)
	checkFollows(t, s.Jobs["j"], acceptedPolicy, changedPolicy)
	s = s.copied(t)
	back := acceptedPolicy
	back.Service = "third"
	s.configureNext(withPolicy(back))
	for _, id := range []string{"j", "late"} {
		checkFollows(t, s.Jobs[id], acceptedPolicy, back)
	}
}

// Guards against members that differ after an upgrade: one restores a snapshot in which jobs kept the policy of their
// acceptance, the other applies the same commands itself.
func TestSnapshotWithPoliciesOfAcceptanceEqualsAppliedCommands(t *testing.T) {
	s := configured(withPolicy(acceptedPolicy))
	s.submitTo("j", acceptedPolicy)
	s.configureNext(withPolicy(changedPolicy))
	want := s.canonical(t)
	s.Jobs["j"].Policy = acceptedPolicy
	must.Eq(t, want, s.copied(t).canonical(t))
}
