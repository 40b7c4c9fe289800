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

		report, err := c.forwarder.Poll(t.Context(), control.Target{Worker: "w"}, control.PollOrder{Seen: 41})
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

// Guards against a new leader that calls workers by itself though its carrier has answered:
// what the answer tells of heartbeats is taken in first.
func TestFirstOrderOfNewLeaderGoesThroughResponsiveCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.carriers["carrier-0"].cfg.CollectHeartbeats = func() []control.BufferedHeartbeat { return []control.BufferedHeartbeat{{Worker: "w"}} }
		c.forwarder.cfg.ApplyHeartbeats = func([]control.BufferedHeartbeat) { time.Sleep(networkDelay) }
		c.lead(5)
		must.Eq(t, 1, c.startMany(1))
		must.Eq(t, 1, c.workers["carrier-0"].started())
		c.endTerm()
		// What is being taken in ends too.
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

// Eleven hundred workers are told to start something every second. The leader called
// each of them itself, which took most of its processor; the messages to its carriers
// are as many for a hundred workers as for a thousand.
func TestLeaderMessagesDoNotGrowWithWorkers(t *testing.T) {
	messages := func(workers int) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4)
			c.lead(1)
			before := c.callsOf(MethodCarry) + c.callsOf(MethodCollect)
			for range 10 {
				must.Eq(t, workers, c.startMany(workers))
				time.Sleep(100 * time.Millisecond)
			}
			sent = c.callsOf(MethodCarry) + c.callsOf(MethodCollect) - before
			for name, starts := range c.startsByInstance() {
				if name != "leader" {
					must.Between(t, 10*workers/8, starts, 10*workers/2, must.Sprint(name))
				}
			}
			c.endTerm()
		})
		return sent
	}
	few, many := messages(100), messages(1100)
	must.LessEq(t, 500, many)
	must.LessEq(t, 2*few, many)
}

// A carrier is killed with orders on their way. Whoever waits learns soon that they may
// have been carried out, and its workers are called by the others.
func TestWorkersOfUnresponsiveCarrierMoveToOtherCarriers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.lead(1)
		c.setFault(c.unresponsive, "carrier-1", true)
		started := time.Now()
		answered := c.startMany(300)
		must.Between(t, 150, answered, 250)
		must.Less(t, 600*time.Millisecond, time.Since(started), must.Sprint("nobody waits for the whole time of a call"))
		must.Eq(t, 300, c.startMany(300))
		must.Eq(t, 0, c.workers["carrier-1"].started())

		c.setFault(c.unresponsive, "carrier-1", false)
		time.Sleep(time.Second)
		must.Eq(t, 300, c.startMany(300))
		must.Positive(t, c.workers["carrier-1"].started(), must.Sprint("a carrier that is back gets work"))
		c.endTerm()
	})
}

// A carrier's process is gone and its machine refuses connections: its orders can't have
// arrived, and the leader carries them itself without anybody noticing.
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

// The answer to a question for outcomes gets lost. They are listed again: without that
// each order in it would count as perhaps carried out, and its worker as doubtful.
func TestLostOutcomesAreListedAgain(t *testing.T) {
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
		next, err := carrier.Collect(t.Context(), &CollectCall{Term: 2, Acknowledged: again.Last, Incarnation: again.Incarnation})
		must.NoError(t, err)
		must.SliceEmpty(t, next.Outcomes)
	})
}

// A carrier is restarted and counts its outcomes from the beginning. A leader that told
// it what it had seen before missed all of them until the count was as high again.
func TestOutcomesOfRestartedCarrierAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		must.Eq(t, 50, c.startMany(50))
		c.restart("carrier-0")
		time.Sleep(time.Second)
		must.Eq(t, 5, c.startMany(5))
		must.Eq(t, 55, c.workers["carrier-0"].started())
		c.endTerm()
	})
}

// An instance that was cut off still takes itself for the leader. A carrier that has
// heard of the next one carries nothing for it, and tells it the later term.
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

// An outcome of the last term reaches the leader of the next one, which has given an
// order the same number.
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

// A carrier takes orders, answers that it is there, and its workers get nothing: it is
// behind. It gets no further orders until it has caught up.
func TestBackloggedCarrierGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.lead(1)
		c.workers["carrier-0"].hangStarts = true
		go c.startMany(40)
		time.Sleep(overdueAfter + 10*time.Millisecond)
		before := c.workers["carrier-0"].started()
		must.Positive(t, before)
		must.Eq(t, 40, c.startMany(40))
		must.Eq(t, before, c.workers["carrier-0"].started())
		time.Sleep(time.Second)
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
		must.True(t, errors.Is(err, errNoAnswer))
		must.Eq(t, 0, c.forwarder.routes[0].pendingOrders())
		time.Sleep(time.Second)
		c.endTerm()
	})
}

// The leadership passes back and forth, and the goroutine that kept the routes of an
// earlier term takes away those of the present one.
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

// What a user sees: a task never runs, and its job isn't done.
// Order: a look is held at a worker; the core instance that carries it leaves and comes
// back within a term; a start goes the new way and hangs; the look is answered.
// Cause: each way numbered its orders from 1, and the start got the look's outcome.
func TestOutcomeOfClosedRouteMatchesNoOtherOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.lead(1)
		workers := c.workers["carrier-0"]
		workers.pollHold = 4*membershipInterval + 100*time.Millisecond
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*membershipInterval)
			defer cancel()
			_, _ = c.forwarder.Poll(ctx, control.Target{Worker: "w"}, control.PollOrder{})
		}()
		c.setMembers("leader")
		c.setMembers("leader", "carrier-0")
		workers.hangStarts = true
		must.True(t, errors.Is(c.start("hangs"), errNoAnswer))
		time.Sleep(10 * membershipInterval)
		c.endTerm()
		time.Sleep(time.Second)
	})
}
