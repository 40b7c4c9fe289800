package instance

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

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
func (followerLog) Status() replica.Status                       { return replica.Status{Leader: "leader"} }
func (followerLog) Changed() <-chan struct{}                     { return make(chan struct{}) }

// follower is a controller whose state has come as far as the commands.
func newFollower(t *testing.T, commands ...workflow.Command) *control.Controller {
	machine := control.NewStateMachine()
	for i := range commands {
		data, err := commands[i].Encode()
		must.NoError(t, err)
		machine.Apply(uint64(i+1), data)
	}
	cfg := control.Config{Logger: log.NewNopLogger(), Leader: func() string { return "" }}
	return control.New(cfg, machine, followerLog{})
}

// startLeader answers all questions for jobs by a version of the configuration.
func startLeader(t *testing.T, version uint64) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodState, func(ctx context.Context, _ *control.StateCall) (control.StateReply, error) {
		link.RecordVersion(ctx, version)
		return control.StateReply{Phase: workflow.PhaseActive}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var queueAt62 = workflow.Document{
	Version: 62, Source: []byte("{}"), Queues: []workflow.Queue{{Name: "q", Policy: workflow.Policy{Service: "s"}}},
}

// What a user sees: a core instance tells of a job whose queue it has just said to be
// dropped.
// Order: the instance, which follows, is behind the leader; it passes a request on
// and answers by the leader's newer configuration; then it tells by its own, older
// one of a job that has ended.
// Cause: its own state was asked without regard to what it had answered by.
func TestLaggingFollowerDoesNotAnswerFromOlderConfiguration(t *testing.T) {
	job := workflow.Submission{ID: "job", Queue: queueAt62.Queues[0].Identity(), Steps: []workflow.Step{{Count: 1}}}
	local := newFollower(t, workflow.Command{Configuration: &queueAt62}, workflow.Command{Submit: &job}, workflow.Command{Cancel: "job"})
	o := &Operations{gateway: gateway.New(link.NewClient(100), "own", []string{startLeader(t, 65)}, log.NewNopLogger())}
	o.setLocal(local)
	phaseOf := func(id string) workflow.Phase {
		reply, err := o.State(t.Context(), &control.StateCall{Address: control.JobAddress{Queue: "q", ID: id}})
		must.NoError(t, err)
		return reply.Phase
	}
	must.Eq(t, workflow.PhaseCancelled, phaseOf("job"))
	must.Eq(t, workflow.PhaseActive, phaseOf("other"))
	must.Eq(t, workflow.PhaseActive, phaseOf("job"))
}
