package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxStartAttempts is the maximum number of times that the start of a run is sent. If no
// call succeeds, the run is stopped instead.
const maxStartAttempts = 2

// runOrder is the order to start a run that this leader term has committed, and the state
// of the run as reported since.
type runOrder struct {
	run    workflow.Run
	ticket string
	// openCalls counts the calls of the start that got no response so far. Each may be
	// carried out later, also by the worker's next incarnation.
	openCalls int
	// startInProgress says that the start is queued or in flight. startCallsEndedAt is when
	// that ended.
	startInProgress   bool
	startCallsEndedAt time.Time
	// orphaned says that the run is being stopped because no pending event would report its
	// end.
	orphaned bool
	// listedByPollSentAt is when the poll was sent whose report last listed the run as
	// alive.
	listedByPollSentAt time.Time
	// sentAt is when the start call in flight was sent, zero if there is none.
	sentAt time.Time
	// unanswered says that a start call ended without a response and that no report has
	// listed the run since.
	unanswered bool
	// listed says that a report has listed the run as alive.
	listed bool
	// abandoned says that no further start is sent. The run is then stopped unless a report
	// lists it as alive.
	abandoned bool
	// preempted says that the run is stopped to free its resources for more urgent work.
	preempted bool
	// stopSentAt is when the last stop was sent, stopAckedAt when a stop was first
	// acknowledged.
	stopSentAt, stopAckedAt time.Time
	// stopUnanswered says that the last stop got no response.
	stopUnanswered bool
	startedAt      time.Time
	timing         runTiming
	// percent is the progress at progressAt. firstPercent and firstListedAt belong to the
	// first report that listed the run; a resumed run doesn't begin at 0 %.
	percent       int
	progressAt    time.Time
	firstPercent  int
	firstListedAt time.Time
	// advancedAt is when the percentage last increased.
	advancedAt time.Time
	// estimate is the estimated run time of the whole task. resumed says that the run
	// continues from a checkpoint and does only the rest of the work.
	estimate time.Duration
	resumed  bool
	// gang says that the run is a member of a gang.
	gang bool
	// longRunning says that the task runs until its job is cancelled.
	longRunning bool
	// crashSuspect says that a worker has crashed under the task before.
	crashSuspect bool
	// usesSpareCPU says that the task runs on spare CPU: time that other tasks leave idle.
	// share is the CPU share in percent that the worker last acknowledged, shareChanging
	// says that a change of it is in flight, pausedAt is when the share became 0; it is
	// the zero time while the share is above 0.
	usesSpareCPU  bool
	share         int
	shareChanging bool
	pausedAt      time.Time
}

// unknownShare is the CPU share of a run that this session didn't order, before the
// worker has acknowledged a share.
const unknownShare = -1

// sendStop sends one order to end a run, or never to start it, and records the response.
func (s *workerSession) sendStop(run workflow.Run) {
	clockMS, err := s.callStop(run)
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	o := s.orders[run.Task]
	known := o != nil && o.run.Number == run.Number
	if known {
		o.stopUnanswered = err != nil
	}
	if err != nil {
		t.logger.Log("event", "stop", "task", run.Task, "run", run.Number, "worker", s.worker.ID,
			"outcome", "no answer", "err", err)
		return
	}
	now := time.Now()
	s.recordClock(clockMS, now)
	if known && o.stopAckedAt.IsZero() {
		o.stopAckedAt = now
		o.unanswered = false
		// The poll in flight was sent before the acknowledgement, so its report can't prove
		// that the run never starts.
		if !o.listed {
			s.interruptPoll()
		}
	}
}

// stopUnknownRun stops a run that a worker reports and the log doesn't have.
func (s *workerSession) stopUnknownRun(run workflow.Run) {
	_, err := s.callStop(run)
	s.t.logger.Log("event", "stop", "task", run.Task, "run", run.Number, "worker", s.worker.ID,
		"cause", "not in the log", "err", err)
}

func (s *workerSession) callStop(run workflow.Run) (int64, error) {
	t := s.t
	t.c.cfg.Counters.Add("stops", 1)
	return s.call(func(ctx context.Context, to Target) (int64, error) {
		return t.c.cfg.Workers.Stop(ctx, to, StopOrder{Run: run, Fence: t.fence})
	})
}

// call makes one call to the worker's current address, within callTimeout.
func (s *workerSession) call(order func(context.Context, Target) (clockMS int64, err error)) (clockMS int64, err error) {
	s.t.mu.Lock()
	target := s.target()
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.t.ctx, callTimeout)
	defer cancel()
	return order(ctx, target)
}
