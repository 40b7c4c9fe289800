package control

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against decisions that use a list of granted workers which differs from the permits: a
// response or an expired ticket changes only one of them.
func TestGrantedWorkersMatchPermits(t *testing.T) {
	key := workflow.StepKey{Job: "a"}
	term := &leaderTerm{permits: map[workflow.StepKey]*stepPermits{}}
	p := term.permitsOf(key)
	check := func(want ...string) {
		t.Helper()
		must.Eq(t, want, slices.Sorted(slices.Values(p.granted)))
		must.SliceContainsAll(t, p.granted, dispatch.GrantedWorkers(p.known))
	}
	p.recordReply([]string{"w1", "w2", "w3"}, AdviserReply{Granted: []Grant{{Worker: "w1"}, {Worker: "w3"}}}, time.Second)
	check("w1", "w3")
	p.recordReply([]string{"w4"}, AdviserReply{Granted: []Grant{{Worker: "w4"}}}, time.Second)
	check("w1", "w3", "w4")
	term.invalidateTicket(key, "w3")
	check("w1", "w3", "w4")
	p.recordReply([]string{"w1"}, AdviserReply{}, time.Second)
	check("w3", "w4")
}

// Guards against a step that counts tickets as being renewed after the response to their renewal, as long
// as other queries are in flight.
func TestRenewalEndsWithItsResponse(t *testing.T) {
	p := &stepPermits{known: map[string]dispatch.Permit{}}
	query := dispatch.Query{Workers: []string{"w1", "w2"}}
	renewal := dispatch.Query{Workers: []string{"w3"}, Renewal: true}
	p.recordQuery(query, time.Second)
	p.recordQuery(renewal, 2*time.Second)
	must.Eq(t, map[string]bool{"w1": true, "w2": true, "w3": true}, p.querying)
	must.Eq(t, []string{"w3"}, p.renewing)
	must.Eq(t, 2*time.Second, p.lastQueryAt)
	p.recordQueryEnd(renewal)
	must.Eq(t, map[string]bool{"w1": true, "w2": true}, p.querying)
	must.SliceEmpty(t, p.renewing)
	must.Eq(t, 1, p.inFlight)
}
