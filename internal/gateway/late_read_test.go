package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// Guards against an instance that goes back to an older configuration as its callers see it: requests that
// were sent at different times wait unread in a suspended or busy instance and are read at once.
func TestRequestsReadAtOnceGetNoContradictingVersions(t *testing.T) {
	leader := startStateServer(t, func(queue string) (uint64, error) {
		if queue == "dropped" {
			return 62, nil
		}
		return 65, nil
	})
	g := New(link.NewClient(maxConnections), "own", []string{leader}, log.NewNopLogger())
	readAt := time.Now()
	call := func(queue string) error {
		request := &control.StateCall{Address: control.JobAddress{Queue: queue}}
		_, err := CallForCaller[control.StateReply](t.Context(), g, readAt, control.MethodState, request)
		return err
	}
	must.NoError(t, call("dropped"))
	err := call("added")
	must.Error(t, err, must.Sprint("the request may have been sent long before the one that got the older version"))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
}
