package control

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// expireLease makes the leader consider the lease of an idle worker expired, as it is after some
// seconds in which only repeated polls were sent to it.
func (cluster *testCluster) expireLease(id string) *workerSession {
	term := cluster.currentTerm()
	var s *workerSession
	cluster.eventually("the worker is idle", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		s = term.sessions[id]
		return s != nil && s.repeatsPoll(time.Now())
	})
	term.mu.Lock()
	defer term.mu.Unlock()
	s.leaseEnd = time.Now().Add(-time.Second)
	return s
}

// totalStarts returns how many starts the workers have carried out.
func (cluster *testCluster) totalStarts(ids ...string) (n int) {
	for _, id := range ids {
		n += cluster.started(id)
	}
	return n
}

// Guards against this failure: a task runs on two workers. The lease of an idle worker has expired; a
// poll of it gets no response just after a start for it was committed, and the leader counts the run as
// lost and sends its start all the same.
func TestStartIsNotSentAfterItsRunCountsAsLost(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.workers.add("w2")
	cluster.announce("w1")
	s := cluster.expireLease("w1")
	var failPoll sync.Once
	cluster.log.mu.Lock()
	cluster.log.afterApply = func(c workflow.Command) {
		if !startsOn(c, "w1") {
			return
		}
		failPoll.Do(func() {
			cluster.announce("w2")
			s.recordUnansweredPoll(errNoResponse)
		})
	}
	cluster.log.mu.Unlock()
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.totalStarts("w1", "w2") > 0 })
	time.Sleep(noStartWait)
	must.Eq(t, 1, cluster.totalStarts("w1", "w2"), must.Sprint("starts carried out"))
}

// Guards against this failure: a task runs on two workers. A poll gets no response after the lease of an
// idle worker has expired; before the leader commits what it lost by that, a start is committed, sent
// and carried out there, and counts as lost too.
func TestRunStartedAfterLeaseExpiredIsNotLost(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the first task starts", func() bool { return cluster.started("w1") == 1 })
	var startAnother sync.Once
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Ends == nil {
			return
		}
		startAnother.Do(func() {
			cluster.workers.mu.Unlock()
			cluster.submit("b", oneTask)
			cluster.eventually("the second task starts", func() bool { return cluster.started("w1") == 2 })
		})
	}
	cluster.log.mu.Unlock()
	// No poll extends the lease until the log gets the ends.
	cluster.workers.mu.Lock()
	time.Sleep(2 * fakePollHold)
	term := cluster.currentTerm()
	term.mu.Lock()
	s := term.sessions["w1"]
	s.leaseEnd = time.Now().Add(-time.Second)
	s.uncommittedEnds[task("a", 0)] = workflow.RunEnd{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeDone}
	term.mu.Unlock()
	s.recordUnansweredPoll(errNoResponse)
	time.Sleep(noStartWait)
	must.Eq(t, 2, cluster.started("w1"), must.Sprint("starts carried out"))
}

// Guards against this failure: a start is sent with a lease that ends before it begins, because the worker
// was given up and announced again while the start was being committed. The worker holds its runs for as
// long as its earlier lease, which the new session doesn't know of.
func TestNoStartIsSentBeforeTheClockOfTheWorkerIsKnown(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	s := cluster.expireLease("w1")
	var replaceSession, answer sync.Once
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if !startsOn(c, "w1") {
			return
		}
		replaceSession.Do(func() {
			cluster.workers.mu.Lock()
			s.t.mu.Lock()
			s.heartbeatAt = time.Now().Add(-2 * unresponsiveWorkerTimeout)
			s.t.mu.Unlock()
			must.True(t, s.recordUnansweredPoll(errNoResponse))
			cluster.announce("w1")
		})
	}
	cluster.log.afterApply = func(c workflow.Command) {
		if startsOn(c, "w1") {
			// The first report of the new session comes after the first start has been sent.
			time.AfterFunc(noStartWait, func() { answer.Do(cluster.workers.mu.Unlock) })
		}
	}
	cluster.log.mu.Unlock()
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") > 0 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.Positive(t, f.starts[0].LeaseEndMS, must.Sprint("the lease of the start"))
	})
}
