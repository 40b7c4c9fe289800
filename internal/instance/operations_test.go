package instance

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// followerLog is the log of a member that follows a leader.
type followerLog struct{}

func (followerLog) Propose(context.Context, []byte) (any, error) { return nil, link.ErrNotLeader }
func (followerLog) Barrier(context.Context) error                { return link.ErrNotLeader }
func (followerLog) StepDown(context.Context, uint64) error       { return nil }
func (followerLog) Status() replica.Status                       { return replica.Status{Leader: "leader"} }
func (followerLog) Changed() <-chan struct{}                     { return make(chan struct{}) }

// newFollower returns the controller of a follower that has applied the commands.
func newFollower(t *testing.T, commands ...workflow.Command) *control.Controller {
	stateMachine := control.NewStateMachine()
	for i := range commands {
		encoded, err := commands[i].Encode()
		must.NoError(t, err)
		stateMachine.Apply(uint64(i+1), encoded)
	}
	cfg := control.Config{Logger: log.NewNopLogger(), Leader: func() string { return "" }}
	return control.New(cfg, stateMachine, followerLog{})
}

// startLeader serves a leader whose response to each state call is an active job, under a
// given version of the configuration and all versions before it. It returns the address of the leader.
func startLeader(t *testing.T, version uint64) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodState, func(ctx context.Context, _ *control.StateCall) (control.StateReply, error) {
		link.RecordVersions(ctx, link.Versions{Oldest: 1, Newest: version})
		return control.StateReply{Phase: workflow.PhaseActive}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// documentV62 is version 62 of a configuration, with one queue.
var documentV62 = workflow.Document{
	Version: 62, Source: []byte("{}"), Queues: []workflow.Queue{{Name: "q", Policy: workflow.Policy{Service: "s"}}},
}

// Guards against responses that go back to an older configuration: a core instance that
// lags behind the leader forwards a request and responds under the leader's newer
// configuration, in which a queue is dropped. From that response on it must not respond
// for an ended job of that queue from its own, older state; nor before it, while the leader
// hasn't told it the newest version.
func TestLaggingFollowerDoesNotRespondFromOlderConfiguration(t *testing.T) {
	const leaderVersion, maxConnections = 65, 100
	o := newOperations(gateway.New(link.NewClient(maxConnections), "own", []string{startLeader(t, leaderVersion)}, log.NewNopLogger()), log.NewNopLogger())
	o.setLocalController(newFollower(t, cancelledJobV62()...))
	must.Eq(t, workflow.PhaseActive, phaseOf(t, o, "job"))
	must.Eq(t, workflow.PhaseActive, phaseOf(t, o, "other"))
	must.Eq(t, workflow.PhaseActive, phaseOf(t, o, "job"))
}

// cancelledJobV62 returns the commands that configure documentV62 and cancel the job "job".
func cancelledJobV62() []workflow.Command {
	job := workflow.Submission{ID: "job", Queue: documentV62.Queues[0].Identity(), Steps: []workflow.Step{{Count: 1}}}
	return []workflow.Command{{Configuration: &documentV62}, {Submit: &job}, {Cancel: "job"}}
}

func phaseOf(t *testing.T, o *Operations, id string) workflow.Phase {
	reply, err := o.State(t.Context(), &control.StateCall{Address: control.JobAddress{Queue: "q", ID: id}})
	must.NoError(t, err)
	return reply.Phase
}

// Guards against all queries for ended jobs going to the leader: an instance that has applied the version
// that the leader named a moment ago responds itself.
func TestInformedFollowerRespondsForEndedJob(t *testing.T) {
	const maxConnections = 100
	o := newOperations(gateway.New(link.NewClient(maxConnections), "own", []string{startLeader(t, documentV62.Version)}, log.NewNopLogger()), log.NewNopLogger())
	o.setLocalController(newFollower(t, cancelledJobV62()...))
	must.Eq(t, workflow.PhaseActive, phaseOf(t, o, "other"))
	must.Eq(t, workflow.PhaseCancelled, phaseOf(t, o, "job"))
}

// startLeaderWithEndingRuns serves a leader that confirms the shutdown of a worker at the given call; 0 for never. It
// returns the address of the leader.
func startLeaderWithEndingRuns(t *testing.T, confirmedAt int64) string {
	var calls atomic.Int64
	mux := link.NewMux()
	link.Handle(mux, control.MethodLeave, func(context.Context, *control.LeaveCall) (control.LeaveReply, error) {
		return control.LeaveReply{RunsEnding: calls.Add(1) != confirmedAt}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a shutdown that is confirmed while runs of the worker are ending: their tasks would wait for its lease.
func TestShutdownIsConfirmedOnceRunsHaveEnded(t *testing.T) {
	const maxConnections = 4
	for confirmedAt, timeout := range map[int64]time.Duration{1: time.Minute, 3: time.Minute, 0: 100 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		o := newOperations(gateway.New(link.NewClient(maxConnections), "own", []string{startLeaderWithEndingRuns(t, confirmedAt)}, log.NewNopLogger()), log.NewNopLogger())
		err := o.Leave(ctx, &control.LeaveCall{Worker: "w"})
		must.Eq(t, confirmedAt > 0, err == nil, must.Sprint(confirmedAt, err))
	}
}
