package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
)

// Checks that a response reports the configuration version by which its queue was looked
// up, also when there is no such queue.
func TestResponseReportsConfigurationVersion(t *testing.T) {
	cluster := newTestCluster(t, nil)
	ctx, recorder := link.WithVersionRecorder(t.Context())
	_, err := cluster.controller.State(ctx, &StateCall{Address: JobAddress{Host: "nowhere", Path: "/x/"}})
	must.Error(t, err)
	must.Eq(t, cluster.controller.configurationVersion(), recorder.Version())
	must.Positive(t, recorder.Version())
}
