package cell

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/placement"
)

// newTestCell returns a cell with one worker and an unreplicated log, and the leader term
// in which the cell leads.
func newTestCell(t *testing.T) (*Cell, *leaderTerm) {
	s := settings.Default()
	s.Instances = []settings.Instance{{ID: "a", DataCentre: "hall", Cell: "127.0.0.1:1"}}
	machine := NewStateMachine("hall", nil)
	base := &daemon.Base{Settings: &s, Instance: &s.Instances[0], Clock: new(hlc.Clock), Logger: log.NewNopLogger()}
	c := New(base, Logs{Home: NewUnreplicatedLog(machine), StateMachine: machine})
	up := &state.WorkerUp{ID: "w", Incarnation: 1, Capacity: placement.Resources{CPU: 4000, Memory: 4096}}
	_, err := c.propose(t.Context(), &state.Command{WorkerUp: up})
	must.NoError(t, err)
	return c, c.newLeaderTerm(1)
}

// Guards against accepted jobs that miss their deadline although nothing failed: two jobs
// arrive at the same time, each needs all workers until its deadline, and both are
// evaluated before either is committed. They must not both be admitted on the same free
// resources.
func TestConcurrentSubmissionsReserveResources(t *testing.T) {
	c, term := newTestCell(t)
	now := c.now()
	spec := state.Spec{
		Name: "recalculation", Policy: placement.Batch, Tasks: 4, Need: placement.Resources{CPU: 1000, Memory: 512},
		Runtime: time.Minute, Deadline: now.Add(200 * time.Second).UnixMilli(), Idempotent: true,
	}
	first, release := c.admitAndReserve(term, "a", spec, now)
	must.True(t, first.Admitted, must.Sprint(first.Detail))
	second, _ := c.admitAndReserve(term, "b", spec, now)
	must.False(t, second.Admitted)
	must.Eq(t, placement.ReasonDeadline, second.Reason)
	release()
	third, _ := c.admitAndReserve(term, "b", spec, now)
	must.True(t, third.Admitted, must.Sprint(third.Detail))
	must.SliceEmpty(t, term.plan(now).Starts)
}

// Guards against new tasks on a worker that still runs attempts that the state has lost.
// Starts are committed only in memory because the disk failed, and a power failure of the
// data centre loses them, and possibly the record of the worker. The worker announces the
// attempts that it runs, and its incarnation must end before it gets a lease.
func TestWorkerRunningUnknownAttemptsMustRestart(t *testing.T) {
	c, term := newTestCell(t)
	c.leaderTerm.Store(term)
	ctx := rpc.WithCaller(t.Context(), rpc.Caller{Identity: settings.Identity{Role: settings.Worker}})
	running := []*apiv1.AttemptRef{{Job: "hall.7", Task: 0, Attempt: 1}}
	capacity := &apiv1.Resources{CpuMilli: 4000, MemoryMib: 4096}
	for _, worker := range []string{"w", "forgotten"} {
		response, err := c.Renew(ctx, &apiv1.RenewRequest{Worker: worker, Incarnation: 1, Sequence: 1})
		must.NoError(t, err)
		must.True(t, response.Announce)
		must.Eq(t, 0, response.LeaseMs)
		announcement := &apiv1.WorkerAnnouncement{Capacity: capacity, Running: running}
		response, err = c.Renew(ctx, &apiv1.RenewRequest{Worker: worker, Incarnation: 1, Sequence: 2, Announcement: announcement})
		must.NoError(t, err)
		must.True(t, response.Ended)
		must.Eq(t, 0, response.LeaseMs)
		announcement.Running = nil
		response, err = c.Renew(ctx, &apiv1.RenewRequest{Worker: worker, Incarnation: 2, Sequence: 3, Announcement: announcement})
		must.NoError(t, err)
		must.Positive(t, response.LeaseMs)
	}
}
