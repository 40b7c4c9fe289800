package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Checks that a response reports the configuration version by which its queue was looked
// up, also when there is no such queue.
func TestResponseReportsConfigurationVersion(t *testing.T) {
	cluster := newTestCluster(t, nil)
	ctx, recorder := link.WithVersionRecorder(t.Context())
	_, err := cluster.controller.State(ctx, &StateCall{Address: JobAddress{Host: "nowhere", Path: "/x/"}})
	must.Error(t, err)
	must.Eq(t, cluster.controller.configurationVersion(), recorder.Versions().Newest)
	must.Positive(t, recorder.Versions().Newest)
}

// Guards against a job that is stored although the calling instance can't tell its caller: the queue is newer
// than a version by which that instance has just responded to others.
func TestSubmissionToQueueAddedAfterGivenVersionIsRefused(t *testing.T) {
	cluster := newTestCluster(t, nil)
	c := cluster.controller
	version := c.configurationVersion() + 1
	added := workflow.Queue{Name: "added", Host: "h", Prefix: "/added/", Policy: workflow.Policy{Service: "s"}}
	document := workflow.Document{Version: version, Source: []byte("{}"), Queues: []workflow.Queue{added}, Services: []workflow.Service{{Name: "s"}}}
	_, err := c.Configure(t.Context(), &ConfigureCall{Document: document})
	must.NoError(t, err)
	submit := func(alikeSince uint64) error {
		_, err := c.Submit(t.Context(), &SubmitCall{Address: JobAddress{Host: "h", Path: "/added/1", ID: "1"}, Steps: []workflow.Step{{Count: 1}}, AlikeSince: alikeSince})
		return err
	}
	must.Eq(t, fault.Unavailable, fault.KindOf(submit(version-1)))
	_, err = c.State(t.Context(), &StateCall{Address: JobAddress{Host: "h", Path: "/added/1", ID: "1"}})
	must.Eq(t, fault.Cancelled, fault.KindOf(err))
	must.NoError(t, submit(version))
	must.NoError(t, submit(0))
}
