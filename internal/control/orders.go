package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// maxStartAttempts is how often a start is sent before its run is stopped instead.
const maxStartAttempts = 2

// order is a start that this tenure has committed and sends.
type runOrder struct {
	run    workflow.Run
	ticket string
	// openCalls counts the calls of its start that have no answer: each may be carried out
	// later, also by the worker's next life.
	openCalls int
	// sending says that the start is queued or under way, startCallsEndedAt is when it no longer was.
	startInProgress   bool
	startCallsEndedAt time.Time
	// claimed says that the run is stopped since nothing would have told its end.
	orphaned bool
	// endKnown says that its end is known and only has to be committed.
	endKnown bool
	// listedByPollSentAt is when the last look that showed the run as alive was sent.
	listedByPollSentAt time.Time
	// sentAt is when the call under way was sent, zero while there is none.
	sentAt time.Time
	// unanswered says that a call ended without an answer and that no list of the
	// worker has shown the run since.
	unanswered bool
	// listed says that the worker has listed the run as alive.
	listed bool
	// abandoned says that no further start is sent; a stop settles the run unless
	// the worker shows it.
	abandoned bool
	// preempted says that the run gives way to more urgent work.
	preempted bool
	// stopSent is the last stop, stopAcked its acknowledgement.
	stopSent, stopAcked time.Time
	startedAt           time.Time
	// percent is the share of the work that was done at progressAt, firstPercent and
	// firstAt are those of the first report: a resumed run doesn't begin at 0.
	percent      int
	progressAt   time.Time
	firstPercent int
	firstAt      time.Time
	// advancedAt is when the percentage last rose.
	advancedAt time.Time
	// estimate is the job's own, resumed says that only the rest is to be done.
	estimate time.Duration
	resumed  bool
	// gang says that the run is a member of one.
	gang bool
	// lasts says that the task runs until its job is cancelled.
	longRunning bool
	// suspect says that a worker has crashed under the task before.
	crashSuspect bool
	// usesSpare says that the task takes what processors others leave. share is what
	// the worker has acknowledged last, sharing that a change is under way, pausedAt
	// since when it is 0.
	usesSpare     bool
	share         int
	shareChanging bool
	pausedAt      time.Time
}

// unknownShare is that of a run which an earlier leader ordered.
const unknownShare = -1

// sendStop tells the worker to end a run, or never to begin it.
func (s *workerSession) sendStop(run workflow.Run) {
	clockMS, err := s.callStop(run)
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.logger.Log("event", "stop", "task", run.Task, "run", run.Number, "worker", s.worker.ID,
			"outcome", "no answer", "err", err)
		return
	}
	now := time.Now()
	s.noteClock(clockMS, now)
	o := s.orders[run.Task]
	if o != nil && o.run.Number == run.Number && o.stopAcked.IsZero() {
		o.stopAcked = now
		o.unanswered = false
		// The held look began before the acknowledgement and settles nothing.
		if !o.listed {
			s.interruptPoll()
		}
	}
}

// stopUnknownRun stops a run that the log doesn't have.
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

// call makes one call of the worker where it is now, within callTimeout.
func (s *workerSession) call(order func(context.Context, Target) (clockMS int64, err error)) (clockMS int64, err error) {
	s.t.mu.Lock()
	target := s.target()
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.t.ctx, callTimeout)
	defer cancel()
	return order(ctx, target)
}
