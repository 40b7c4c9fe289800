package carrier

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

const (
	idleHold = 1500 * time.Millisecond
	// manyPolls is more than a test plays.
	manyPolls = 1 << 20
)

// pollIdle sends a poll that may be repeated, and counts its repetitions.
func (c *cluster) pollIdle(ctx context.Context, repetitions *atomic.Int64) (control.Report, error) {
	return c.forwarder.Poll(ctx, control.Target{Worker: "w", Address: "a"}, control.PollOrder{
		Fence: 5, Wait: idleHold, Repeat: true, CallTimeout: 2 * idleHold, OnResponse: func() { repetitions.Add(1) },
	})
}

// idleCluster returns a cluster with one carrier, whose worker is idle for a number of polls.
func idleCluster(t *testing.T, idlePolls int) (*cluster, *fakeWorkers) {
	c := newCluster(t, 1)
	workers := c.workers["carrier-0"]
	workers.pollHold, workers.idlePolls = idleHold, idlePolls
	c.lead(5)
	return c, workers
}

func (w *fakeWorkers) polled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls
}

// Guards against a leader whose messages grow with the number of idle workers.
func TestIdleWorkerIsPolledWithoutMessagesOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := idleCluster(t, 20)
		var repetitions atomic.Int64
		report, err := c.pollIdle(t.Context(), &repetitions)
		must.NoError(t, err)
		must.Len(t, 1, report.Ended)
		must.Eq(t, 20, repetitions.Load())
		must.Eq(t, 1, c.callsOf(MethodCarry))
		c.endTerm()
		time.Sleep(settleTime)
	})
}

// Guards against a carrier that goes on polling a worker although the leader has given up the poll.
func TestGivenUpPollIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, workers := idleCluster(t, manyPolls)
		ctx, cancel := context.WithTimeout(t.Context(), 5*idleHold)
		defer cancel()
		var repetitions atomic.Int64
		_, err := c.pollIdle(ctx, &repetitions)
		must.ErrorIs(t, err, errNoResponse)
		time.Sleep(3 * idleHold)
		before := workers.polled()
		time.Sleep(10 * idleHold)
		must.Eq(t, before, workers.polled())
		c.endTerm()
		time.Sleep(settleTime)
	})
}

// Guards against a carrier that goes on polling for a leader that has ended.
func TestCarrierStopsRepeatingPollsWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, workers := idleCluster(t, manyPolls)
		var repetitions atomic.Int64
		go func() { _, _ = c.pollIdle(t.Context(), &repetitions) }()
		time.Sleep(3 * idleHold)
		c.endTerm()
		time.Sleep(3 * idleHold)
		before := workers.polled()
		time.Sleep(10 * idleHold)
		must.Eq(t, before, workers.polled())
	})
}

// Guards against a leader that takes a worker for alive although the carrier that polls it is lost.
func TestRepeatedPollFailsWithItsCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, workers := idleCluster(t, manyPolls)
		var repetitions atomic.Int64
		failed := make(chan error, 1)
		go func() {
			_, err := c.pollIdle(t.Context(), &repetitions)
			failed <- err
		}()
		time.Sleep(3 * idleHold)
		c.setFault(c.unresponsive, "carrier-0", true)
		lostAt := time.Now()
		must.ErrorIs(t, <-failed, errNoResponse)
		must.LessEq(t, collectTimeout+collectHold, time.Since(lostAt))
		c.endTerm()
		time.Sleep(3 * idleHold)
		before := workers.polled()
		time.Sleep(3 * idleHold)
		must.Eq(t, before, workers.polled(), must.Sprint("the carrier has noticed it too"))
	})
}
