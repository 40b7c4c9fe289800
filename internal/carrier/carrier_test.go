package carrier

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/workflow"
)

func TestOrdersAndOutcomesSurviveEncoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(5)
		order := control.StartOrder{
			Run:     workflow.Run{Task: workflow.TaskKey{StepKey: workflow.StepKey{Job: "j", Occurrence: 1, Step: 2}, Index: 3}, Number: 4, Worker: "w"},
			Payload: "payload", LeaseEndMS: 9, Fence: 5, Checkpoint: "c", Ticket: "t",
		}
		clock, err := c.forwarder.Start(t.Context(), control.Target{Worker: "w", Address: "a"}, order)
		must.NoError(t, err)
		must.Eq(t, workerClockMS, clock)
		must.Eq(t, []control.StartOrder{order}, c.workers["carrier-0"].starts)

		report, err := c.forwarder.Poll(t.Context(), control.Target{Worker: "w"}, control.PollOrder{LastEnd: 41})
		must.NoError(t, err)
		must.Eq(t, 42, report.Ended[0].Position)
		must.Eq(t, workflow.OutcomeDone, report.Ended[0].Outcome)
		must.Eq(t, 40, report.Running[0].Percent)

		c.workers["carrier-0"].startErr = &control.RefusedError{Reason: control.RefusedTicket}
		_, err = c.forwarder.Start(t.Context(), control.Target{Worker: "w"}, order)
		var refused *control.RefusedError
		must.True(t, errors.As(err, &refused))
		must.Eq(t, control.RefusedTicket, refused.Reason)
		c.workers["carrier-0"].startErr = control.ErrOtherIncarnation
		_, err = c.forwarder.Start(t.Context(), control.Target{Worker: "w"}, order)
		must.True(t, errors.Is(err, control.ErrOtherIncarnation))
		c.endTerm()
	})
}

// A new leader is still processing the heartbeats of a carrier's first reply when it sends
// its first order. The leader must send the order through the carrier and not call the worker
// directly.
func TestFirstOrderOfNewLeaderGoesThroughResponsiveCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.carriers["carrier-0"].cfg.CollectHeartbeats = func() []control.BufferedHeartbeat { return []control.BufferedHeartbeat{{Worker: "w"}} }
		c.forwarder.cfg.ApplyHeartbeats = func([]control.BufferedHeartbeat) { time.Sleep(networkDelay) }
		c.lead(5)
		must.Eq(t, 1, c.startMany(1))
		must.Eq(t, 1, c.workers["carrier-0"].started())
		c.endTerm()
		// Lets ApplyHeartbeats return.
		time.Sleep(2 * networkDelay)
	})
}

func TestLeaderCallsWorkersDirectlyWithoutCarriers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0)
		c.lead(1)
		must.Eq(t, 10, c.startMany(10))
		must.Eq(t, 10, c.workers["leader"].started())
		c.endTerm()
	})
}

func TestCarrierInDataCentreOfWorkerIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.lead(1)
		for i := range 30 {
			to := control.Target{Worker: fmt.Sprint(i), DataCentre: "dc-carrier-1"}
			_, err := c.forwarder.Start(t.Context(), to, control.StartOrder{})
			must.NoError(t, err)
		}
		must.Eq(t, 30, c.workers["carrier-1"].started())
		c.endTerm()
	})
}

// Each of 1100 workers gets a start every second. A leader that calls each worker itself
// spends most of its processor time on these calls. The number of messages to carriers must be
// about the same for 100 workers and for 1100.
func TestLeaderMessagesDoNotGrowWithWorkers(t *testing.T) {
	// Each worker gets one start a round.
	const rounds = 10
	const roundPause = 100 * time.Millisecond
	messages := func(workers int) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4)
			c.lead(1)
			before := c.callsOf(MethodCarry) + c.callsOf(MethodCollect)
			for range rounds {
				must.Eq(t, workers, c.startMany(workers))
				time.Sleep(roundPause)
			}
			sent = c.callsOf(MethodCarry) + c.callsOf(MethodCollect) - before
			for name, starts := range c.startsByInstance() {
				if name != "leader" {
					must.Between(t, rounds*workers/8, starts, rounds*workers/2, must.Sprint(name))
				}
			}
			c.endTerm()
		})
		return sent
	}
	messagesFor100Workers, messagesFor1100Workers := messages(100), messages(1100)
	must.LessEq(t, 500, messagesFor1100Workers)
	must.LessEq(t, 2*messagesFor100Workers, messagesFor1100Workers)
}

// A carrier stops responding while orders are in flight. Their callers must get an error
// before the call timeout, because the orders may have been executed. Other carriers must call
// the workers of the unresponsive carrier.
func TestWorkersOfUnresponsiveCarrierMoveToOtherCarriers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.lead(1)
		c.setFault(c.unresponsive, "carrier-1", true)
		started := time.Now()
		succeeded := c.startMany(300)
		must.Between(t, 150, succeeded, 250)
		must.Less(t, startTimeout, time.Since(started), must.Sprint("callers must not wait for the full call timeout"))
		must.Eq(t, 300, c.startMany(300))
		must.Eq(t, 0, c.workers["carrier-1"].started())

		c.setFault(c.unresponsive, "carrier-1", false)
		time.Sleep(settleTime)
		must.Eq(t, 300, c.startMany(300))
		must.Positive(t, c.workers["carrier-1"].started(), must.Sprint("a recovered carrier must get orders"))
		c.endTerm()
	})
}

// A carrier's process has ended and its host refuses connections. The orders can't have
// arrived, so the leader must call the workers itself, and no order may fail.
func TestOrdersThatCantHaveArrivedAreSentByTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		c.setFault(c.refusing, "carrier-0", true)
		must.Eq(t, 20, c.startMany(20))
		must.Eq(t, 20, c.workers["leader"].started())
		c.endTerm()
	})
}

// The reply to a collect call is lost. The carrier must list the same outcomes in the next
// reply; otherwise the leader can't tell whether the workers executed the orders, and the orders
// become overdue.
func TestOutcomesOfLostReplyAreListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		carrier := newTestCarrier(&fakeWorkers{}, "dc")
		_, err := carrier.Carry(t.Context(), &CarryCall{Term: 2, Orders: []Order{{ID: 8, Stop: &control.StopOrder{}, CallTimeout: time.Second}}})
		must.NoError(t, err)
		known := CollectCall{Term: 2, Incarnation: carrier.incarnation}
		lost, err := carrier.Collect(t.Context(), &known)
		must.NoError(t, err)
		must.SliceLen(t, 1, lost.Outcomes)
		again, err := carrier.Collect(t.Context(), &known)
		must.NoError(t, err)
		must.Eq(t, lost, again)
		next, err := carrier.Collect(t.Context(), &CollectCall{Term: 2, Acknowledged: again.LastNumber, Incarnation: again.Incarnation})
		must.NoError(t, err)
		must.SliceEmpty(t, next.Outcomes)
	})
}

// A carrier restarts and numbers its outcomes from 1 again. If the leader still acknowledged
// numbers of the previous incarnation, it would miss all outcomes up to that number.
func TestOutcomesOfRestartedCarrierAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		must.Eq(t, 50, c.startMany(50))
		c.restart("carrier-0")
		time.Sleep(settleTime)
		must.Eq(t, 5, c.startMany(5))
		must.Eq(t, 55, c.workers["carrier-0"].started())
		c.endTerm()
	})
}

// A former leader that was partitioned still sends orders. A carrier that has received a
// message of the next leader must execute none of them and must return the later term.
func TestCarrierRefusesEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &fakeWorkers{}
		carrier := newTestCarrier(workers, "dc")
		_, err := carrier.Collect(t.Context(), &CollectCall{Term: 7})
		must.NoError(t, err)
		reply, err := carrier.Carry(t.Context(), &CarryCall{Term: 6, Orders: []Order{{ID: 1, Start: &control.StartOrder{}, CallTimeout: time.Second}}})
		must.NoError(t, err)
		must.Eq(t, 7, reply.Term)
		collected, err := carrier.Collect(t.Context(), &CollectCall{Term: 6})
		must.NoError(t, err)
		must.Eq(t, 7, collected.Term)
		synctest.Wait()
		must.Eq(t, 0, workers.started())
	})
}

// A carrier holds an outcome of the previous term when the next leader makes its first
// collect call. The next leader may have given the same ID to another order, so the carrier
// must drop the outcome.
func TestOutcomesOfEarlierTermAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		carrier := newTestCarrier(&fakeWorkers{}, "dc")
		_, err := carrier.Carry(t.Context(), &CarryCall{Term: 1, Orders: []Order{{ID: 1, Start: &control.StartOrder{}, CallTimeout: time.Second}}})
		must.NoError(t, err)
		collected, err := carrier.Collect(t.Context(), &CollectCall{Term: 2, Incarnation: carrier.incarnation})
		must.NoError(t, err)
		must.SliceEmpty(t, collected.Outcomes)
		must.SliceEmpty(t, carrier.outcomes)
	})
}

// A carrier accepts orders and responds to collect calls, but its calls to workers hang. It
// must get no further orders while its orders are overdue.
func TestBackloggedCarrierGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.lead(1)
		c.workers["carrier-0"].hangStarts = true
		go c.startMany(40)
		// overdueMargin lets the orders become overdue for certain.
		const overdueMargin = 10 * time.Millisecond
		time.Sleep(overdueAfter + overdueMargin)
		before := c.workers["carrier-0"].started()
		must.Positive(t, before)
		must.Eq(t, 40, c.startMany(40))
		must.Eq(t, before, c.workers["carrier-0"].started())
		time.Sleep(settleTime)
		c.endTerm()
	})
}

func TestCancelledOrderIsNoLongerPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		c.workers["carrier-0"].hangStarts = true
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := c.forwarder.Start(ctx, control.Target{Worker: "w"}, control.StartOrder{})
		must.True(t, errors.Is(err, errNoResponse))
		must.Eq(t, 0, c.forwarder.routes[0].pendingOrders())
		time.Sleep(settleTime)
		c.endTerm()
	})
}

// An instance leads again while the goroutine of its earlier term is still ending. That
// goroutine must not remove the routes of the current term.
func TestEndOfTermKeepsRoutesOfNextTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.lead(1)
		c.lead(3)
		time.Sleep(2 * membershipInterval)
		must.Eq(t, 20, c.startMany(20))
		must.Eq(t, 0, c.workers["leader"].started())
		c.endTerm()
		time.Sleep(2 * membershipInterval)
		must.Eq(t, 20, c.startMany(20))
		must.Eq(t, 20, c.workers["leader"].started())
	})
}

// A carrier holds the outcome of a poll for a closed route: its instance leaves and returns
// within a term while the worker holds the poll. A start goes through the new route and hangs
// while the poll ends. If each route numbered its orders from 1, the start would get the
// outcome of the poll, and the task would never run.
func TestOutcomeOfClosedRouteMatchesNoOtherOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		workers := c.workers["carrier-0"]
		// pollHold is 100 ms longer than two calls of setMembers, so that the poll ends while
		// the start hangs.
		const pollHold = 4*membershipInterval + 100*time.Millisecond
		const pollTimeout = 10 * membershipInterval
		workers.pollHold = pollHold
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), pollTimeout)
			defer cancel()
			_, _ = c.forwarder.Poll(ctx, control.Target{Worker: "w"}, control.PollOrder{})
		}()
		c.setMembers("leader")
		c.setMembers("leader", "carrier-0")
		workers.hangStarts = true
		must.True(t, errors.Is(c.start("hangs"), errNoResponse))
		time.Sleep(pollTimeout)
		c.endTerm()
		time.Sleep(settleTime)
	})
}
