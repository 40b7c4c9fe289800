package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// SimCarrierCounts counts how often the simulated orders reached the states in which a run could
// be started twice. It is safe for concurrent use.
type SimCarrierCounts struct {
	// total gets the counts too; nil for the total itself.
	total *SimCarrierCounts

	mu sync.Mutex
	// waiting counts the calls of each start for which a leader waits.
	waiting map[workflow.Run]int
	counts  [simStateCount]int
}

// simState is a state in which a run could be started twice.
type simState uint8

const (
	// idlePollFailed: the end of a carrier failed the poll of an idle worker.
	idlePollFailed simState = iota
	// pollAfterLease: a poll got no response while the lease was over.
	pollAfterLease
	// unsentAfterLease: meanwhile a start was committed and not sent yet.
	unsentAfterLease
	// inFlightAfterIdleLease: meanwhile a start was in flight that had extended the lease.
	inFlightAfterIdleLease
	// orderHeldAtEnd: a carrier ended while it held an order other than a poll.
	orderHeldAtEnd
	// startAfterGivenUp: a carrier got a start after the leader had given up waiting for its outcome.
	startAfterGivenUp
	// startCarriedOutLate: it sent that start to the worker. Carriers avoid it.
	startCarriedOutLate

	simStateCount
)

func (s simState) String() string {
	return [simStateCount]string{
		"polls of idle workers failed by a carrier's end", "unanswered polls after the lease", "of these with an unsent start",
		"with a start in flight", "orders held by an ended carrier", "starts that arrived after the leader had given up", "of these sent",
	}[s]
}

func (c *SimCarrierCounts) add(state simState, n int) {
	c.mu.Lock()
	c.counts[state] += n
	c.mu.Unlock()
	if c.total != nil {
		c.total.add(state, n)
	}
}

// AddHeldOrders counts the orders that a carrier held when it ended.
func (c *SimCarrierCounts) AddHeldOrders(n int) { c.add(orderHeldAtEnd, n) }

// CheckArrival counts a start that has just reached a carrier if no leader waits for it.
func (c *SimCarrierCounts) CheckArrival(run workflow.Run) { c.addUnlessAwaited(startAfterGivenUp, run) }

// CheckCall counts a start that a carrier is about to send if no leader waits for it, and reports
// whether one does.
func (c *SimCarrierCounts) CheckCall(run workflow.Run) (awaited bool) {
	return c.addUnlessAwaited(startCarriedOutLate, run)
}

func (c *SimCarrierCounts) addUnlessAwaited(state simState, run workflow.Run) (awaited bool) {
	c.mu.Lock()
	awaited = c.waiting[run] > 0
	c.mu.Unlock()
	if !awaited {
		c.add(state, 1)
	}
	return awaited
}

func (c *SimCarrierCounts) beginStart(run workflow.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[workflow.Run]int{}
	}
	c.waiting[run]++
}

func (c *SimCarrierCounts) endStart(run workflow.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[run]--; c.waiting[run] == 0 {
		delete(c.waiting, run)
	}
}

// unansweredPoll is a poll without a response.
type unansweredPoll struct {
	// failedByCarrier says that the worker was idle and that the end of a carrier failed the poll.
	failedByCarrier bool
	// idleLeaseOver says that the lease which the worker had when the poll was sent is over.
	idleLeaseOver bool
	session       sessionView
}

func (c *SimCarrierCounts) addUnansweredPoll(poll unansweredPoll) {
	if poll.failedByCarrier {
		c.add(idlePollFailed, 1)
	}
	leaseOver := time.Now().After(poll.session.leaseEnd)
	if leaseOver {
		c.add(pollAfterLease, 1)
	}
	if leaseOver && poll.session.unsentStarts > 0 {
		c.add(unsentAfterLease, 1)
	}
	if poll.idleLeaseOver && poll.session.startsInFlight > 0 {
		c.add(inFlightAfterIdleLease, 1)
	}
}

// String returns the counts with the names of the states.
func (c *SimCarrierCounts) String() (text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for state := range simStateCount {
		text += fmt.Sprintf("%s: %d; ", state, c.counts[state])
	}
	return text
}

// requireAll fails the test if a state wasn't reached that carriers can't avoid.
func (c *SimCarrierCounts) requireAll(t *testing.T) {
	t.Log("reached in total: ", c)
	for state := range simStateCount {
		if c.counts[state] == 0 && state != startCarriedOutLate {
			t.Errorf("no seed has reached the state %q", state)
		}
	}
}
