package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/replica"
)

// Guards against two failures: calls that arrive before their interval is over wait for the
// next tick, and each round that finds them too early causes a further round later, which
// takes a large part of a leader's processor time.
func TestWaitingCallsWakeLogOnce(t *testing.T) {
	g := openFollower(t, time.Now)
	g.callsTimer = time.AfterFunc(time.Hour, g.signal)
	t.Cleanup(func() { g.callsTimer.Stop() })
	must.NoError(t, g.calls.push(&call{kind: callBarrier}))
	const interval = 2 * callIntervalPerVoter
	eventually(t, "rounds that aren't delayed", func() bool {
		start := time.Now()
		g.callsProcessedAt = start
		for i := range time.Duration(4) {
			must.False(t, g.callsDue(start.Add(i*interval/8)))
		}
		undelayed := time.Since(start) < interval/4
		select {
		case <-g.wake:
		case <-time.After(waitTimeout):
			must.Unreachable(t, must.Sprint("the log isn't woken"))
		}
		// A timer that ends while a delayed round sets it again wakes the log twice, rightly.
		time.Sleep(10 * interval)
		again := len(g.wake) > 0
		if again {
			<-g.wake
		}
		must.False(t, undelayed && again, must.Sprint("the log is woken twice"))
		return undelayed
	})
	must.True(t, g.callsDue(g.callsProcessedAt.Add(interval)))
}

// Guards against commits that wait longer with each further learner.
func TestLearnersDoNotDelayCalls(t *testing.T) {
	members := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for i := range 20 {
		members = append(members, replica.Member{ID: fmt.Sprint("learner", i), Learner: true})
	}
	g, err := Open(t.Context(), Config{Group: "g", ID: "a", Members: members, Machine: &registers{}, Transport: discardTransport{}})
	must.NoError(t, err)
	must.Eq(t, 2*callIntervalPerVoter, g.callInterval())
}

// Guards against commands that wait for the sync of later ones: the acknowledgements that commit them
// arrive during that sync.
func TestCallsWaitForCommitOfEarlierOnes(t *testing.T) {
	g := openFollower(t, time.Now)
	g.callsTimer = time.AfterFunc(time.Hour, g.signal)
	t.Cleanup(func() { g.callsTimer.Stop() })
	must.NoError(t, g.calls.push(&call{kind: callBarrier}))
	const interval = 2 * callIntervalPerVoter
	start := time.Now()
	g.callsProcessedAt = start
	g.proposals[1] = pendingProposal{}
	must.False(t, g.callsDue(start.Add(interval)))
	must.True(t, g.callsDue(start.Add(uncommittedCallFactor*interval)), must.Sprint("a slow commit doesn't hold calls back for long"))
	g.callsProcessedAt = start
	delete(g.proposals, 1)
	must.True(t, g.callsDue(start.Add(interval)))
}
