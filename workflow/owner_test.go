package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/customer"
)

// digest returns the digest of a key as a call carries it.
func digest(key string) *customer.Digest {
	d := customer.DigestOf(key)
	return &d
}

// limited returns a customer with one key, which is its name, and a CPU limit in thousandths of a core.
func limited(name string, milliCPU int64) customer.Customer {
	return customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(name)}, Limit: Resources{MilliCPU: milliCPU}}
}

// configureCustomers puts a version with these customers in force.
func (s *State) configureCustomers(version uint64, customers ...customer.Customer) {
	s.Apply(9, &Command{Configuration: &Document{Version: version, Source: []byte("{}"), KeysRequired: true, Customers: customers}})
}

// newOwnedState returns a state with the workers w1 and w2 of eight cores each, customers a and b
// with limits of three cores and ten, and a job j of customer a.
func newOwnedState(t testing.TB, steps ...Step) *State {
	s := newState(t)
	s.configureCustomers(1, limited("a", 3000), limited("b", 10_000))
	s.Apply(2, &Command{DeleteJobs: []string{"j"}})
	result := s.Apply(3, &Command{Submit: &Submission{ID: "j", Queue: "q", Steps: steps, Policy: Policy{MaxAttempts: 2}, Customer: "a"}})
	must.Eq(t, SubmitAccepted, result.Submit)
	return s
}

// restored returns the state after a snapshot, as a new leader or a restarted instance has it.
func (s *State) restored(t testing.TB) *State {
	snapshot, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(snapshot)
	must.NoError(t, err)
	return restored
}

// Guards against a customer that runs more than its limit: a start that was decided under another
// limit, or by a leader that didn't know of starts in flight, is refused at its commit.
func TestStartBeyondCustomerLimitIsRefused(t *testing.T) {
	s := newOwnedState(t, smallStep(6))
	runs := s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2), key(0, 3))
	must.SliceLen(t, 3, runs)
	s = s.restored(t)
	must.SliceEmpty(t, s.startRuns("w2", key(0, 3)))
	s.finishRun(runs[0], OutcomeDone)
	must.SliceLen(t, 1, s.startRuns("w2", key(0, 3), key(0, 4)))
}

// Guards against a lost run that is forgotten in the usage while it may be alive: a run counts
// until its end is known, whatever becomes of its job.
func TestRunCountsUntilItsEndIsKnown(t *testing.T) {
	s := newOwnedState(t, smallStep(3))
	runs := s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2))
	s.Apply(4, &Command{Cancel: "j"})
	must.Eq(t, 3000, s.CustomerUsage()["a"].MilliCPU)
	s.finishRun(runs[0], OutcomeStopped)
	must.Eq(t, 2000, s.CustomerUsage()["a"].MilliCPU)
	s.Apply(5, &Command{GoneWorker: "w1"})
	must.MapEmpty(t, s.CustomerUsage())
}

// Guards against a gang that starts in part at its customer's limit.
func TestGangBeyondCustomerLimitIsRefusedWhole(t *testing.T) {
	gang := smallStep(3)
	gang.Gang = true
	s := newOwnedState(t, gang)
	s.configureCustomers(2, limited("a", 2999))
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2)))
	s.configureCustomers(3, limited("a", 3000))
	must.SliceLen(t, 3, s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2)))
}

// Guards against a lowered limit that is passed by new starts, and a raised one that is used late.
func TestChangedLimitHoldsForTheNextStart(t *testing.T) {
	s := newOwnedState(t, smallStep(6))
	must.SliceLen(t, 2, s.startRuns("w1", key(0, 0), key(0, 1)))
	s.configureCustomers(2, limited("a", 1000))
	must.SliceEmpty(t, s.startRuns("w1", key(0, 2)))
	must.Eq(t, 2000, s.CustomerUsage()["a"].MilliCPU, must.Sprint("what runs goes on"))
	s.configureCustomers(3, limited("a", 0))
	must.SliceLen(t, 4, s.startRuns("w1", key(0, 2), key(0, 3), key(0, 4), key(0, 5)))
}

// Guards against a key of an older version that still identifies a customer, and against queues that
// open to everybody when a version leaves the customers out.
func TestKeysOfTheNewestVersionIdentify(t *testing.T) {
	s := NewState()
	closed, open := &Queue{}, &Queue{Open: true}
	identify := func(queue *Queue, key *customer.Digest) string {
		name, ok := s.Identify(queue, key)
		if !ok {
			return "refused"
		}
		return name
	}
	must.Eq(t, "", identify(closed, digest("k")), must.Sprint("no customers, no keys"))
	withKey := func(name, key string) customer.Customer {
		return customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(key)}}
	}
	s.configureCustomers(1, withKey("a", "k"), customer.Customer{Name: "b"})
	must.Eq(t, "a", identify(closed, digest("k")))
	must.Eq(t, "refused", identify(closed, digest("l")))
	must.Eq(t, "refused", identify(closed, nil))
	must.Eq(t, "", identify(open, nil))
	must.Eq(t, "a", identify(open, digest("k")))
	s.configureCustomers(2, customer.Customer{Name: "a"}, withKey("b", "k"))
	must.Eq(t, "b", identify(closed, digest("k")), must.Sprint("the key moved"))
	s.configureCustomers(3, customer.Customer{Name: "a"}, customer.Customer{Name: "b"})
	must.Eq(t, "refused", identify(closed, digest("k")), must.Sprint("the last key was removed"))
	s = s.restored(t)
	must.Eq(t, "refused", identify(closed, digest("k")))
	s.Apply(9, &Command{Configuration: &Document{Version: 4, Source: []byte("{}")}})
	must.Eq(t, "refused", identify(closed, nil))
}

// Guards against a job that another customer takes over, or sees, by its id.
func TestJobHasOneOwner(t *testing.T) {
	s := newOwnedState(t, smallStep(1))
	submit := func(customer string) SubmitResult {
		return s.Apply(4, &Command{Submit: &Submission{ID: "j", Queue: "q", Steps: []Step{smallStep(1)}, Customer: customer}}).Submit
	}
	must.Eq(t, SubmitKnown, submit("a"))
	must.Eq(t, SubmitConflict, submit("b"))
	job := s.Jobs["j"]
	must.True(t, job.VisibleTo("a"))
	must.False(t, job.VisibleTo("b"))
	must.False(t, job.VisibleTo(""))
}

// Guards against accepted work that can't be read or reached after customers were introduced: a job
// that an earlier version of the program stored belongs to nobody.
func TestJobStoredWithoutOwnerIsVisible(t *testing.T) {
	s := newState(t, smallStep(1)).restored(t)
	s.configureCustomers(1, limited("a", 1000))
	must.Eq(t, "", s.Jobs["j"].Customer)
	must.True(t, s.Jobs["j"].VisibleTo("a"))
}

// Guards against usage that differs from the sum of the runs that may be alive, after any commands
// and after a restart, and against a limit that is passed by a start.
func TestUsageMatchesRunsAfterRandomCommands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newOwnedState(t, smallStep(8))
		for version := uint64(2); version < 40; version++ {
			index := rapid.IntRange(0, 7).Draw(r, "task")
			before := s.CustomerUsage()["a"].MilliCPU
			limit := s.Customer("a").Limit.MilliCPU
			switch rapid.IntRange(0, 4).Draw(r, "command") {
			case 0, 1:
				started := s.startRuns(rapid.SampledFrom([]string{"w1", "w2"}).Draw(r, "worker"), key(0, index))
				if len(started) > 0 {
					must.LessEq(r, limit, before+1000)
				}
			case 2:
				for _, runs := range s.Runs {
					if run, ok := runs[key(0, index)]; ok {
						s.finishRun(run, rapid.SampledFrom([]Outcome{OutcomeStopped, OutcomeLost, OutcomeDone}).Draw(r, "outcome"))
					}
				}
			case 3:
				s.configureCustomers(version, limited("a", rapid.Int64Range(1, 8000).Draw(r, "limit")))
			case 4:
				s = s.restored(t)
			}
			live := int64(0)
			for _, runs := range s.Runs {
				live += int64(len(runs))
			}
			must.Eq(r, 1000*live, s.CustomerUsage()["a"].MilliCPU)
		}
	})
}
