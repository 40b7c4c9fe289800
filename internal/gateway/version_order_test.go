package gateway

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// unchangedQueue is a queue that all versions have.
const unchangedQueue = "unchanged"

// only returns the versions of a response that no other version gives.
func only(version uint64) link.Versions { return link.Versions{Oldest: version, Newest: version} }

// startStateServer serves state calls and returns its address. response returns the error
// of the response to a call for a queue, and the configuration version that it names.
func startStateServer(t *testing.T, response func(queue string) (version uint64, err error)) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodState, func(ctx context.Context, r *control.StateCall) (control.StateReply, error) {
		version, err := response(r.Address.Queue)
		versions := only(version)
		if r.Address.Queue == unchangedQueue {
			versions.Oldest = 1
		}
		link.RecordVersions(ctx, versions)
		return control.StateReply{Queue: true}, err
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// callState makes a state call on behalf of a caller's request that is received now.
func callState(ctx context.Context, g *Gateway, queue string) error {
	call := &control.StateCall{Address: control.JobAddress{Queue: queue}}
	_, err := CallForCaller[control.StateReply](ctx, g, time.Now(), control.MethodState, call)
	return err
}

// Operators must be able to see in the log when the responses changed to another
// configuration version, without a line for each request.
func TestChangeOfResponseVersionIsLogged(t *testing.T) {
	var lines bytes.Buffer
	var version uint64 = 62
	leader := startStateServer(t, func(string) (uint64, error) { return version, nil })
	g := New(link.NewClient(maxConnections), "own", []string{leader}, log.NewLogfmtLogger(&lines))
	for range 3 {
		must.NoError(t, callState(t.Context(), g, unchangedQueue))
	}
	version = 65
	must.NoError(t, callState(t.Context(), g, unchangedQueue))
	must.Eq(t, 2, strings.Count(lines.String(), "event=answered_by"))
	must.StrContains(t, lines.String(), "event=answered_by version=62 before=0 from="+leader)
	must.StrContains(t, lines.String(), "event=answered_by version=65 before=62 from="+leader)
}

// startDelayingLeader serves state calls and returns its address. The response for the
// queue "added" is of version 65 and is delayed until released is closed; all others are of
// version 62 and aren't delayed.
func startDelayingLeader(t *testing.T, released <-chan struct{}) string {
	return startStateServer(t, func(queue string) (uint64, error) {
		if queue != "added" {
			return 62, nil
		}
		<-released
		return 65, nil
	})
}

// laterRequestDelay is how long after the first request the later one is sent.
const laterRequestDelay = 300 * time.Millisecond

// A request waits at a partitioned leader. A request sent 0.3 s later gets its response
// from the next leader, then a new configuration is committed, and the next leader responds
// to the first request too. The caller of the first request sees a queue that the new
// configuration adds, while the caller of the later one saw a queue that it removes.
func TestEarlierRequestGetsNoNewerVersion(t *testing.T) {
	released := make(chan struct{})
	g := New(link.NewClient(maxConnections), "own", []string{startDelayingLeader(t, released)}, log.NewNopLogger())
	firstResult := make(chan error, 1)
	go func() { firstResult <- callState(t.Context(), g, "added") }()
	time.Sleep(laterRequestDelay)
	must.NoError(t, callState(t.Context(), g, "dropped"))
	close(released)
	err := <-firstResult
	must.Error(t, err)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
}

// A response may show a newer version than another one only if its request was read orderMargin later, and
// an older one only if it was read orderMargin earlier. Each case holds the versions of two responses
// and the time between their requests.
func TestVersionOrderFollowsRequestOrder(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name          string
		first, second link.Versions
		// secondRequestDelay is how long after the request of the first response the
		// request of the second one was read.
		secondRequestDelay time.Duration
		allowed            bool
	}{
		{"a newer version for a later request", only(62), only(65), orderMargin, true},
		{"a newer version for a slightly later request", only(62), only(65), orderMargin - 1, false},
		{"a newer version for an earlier request", only(62), only(65), -1, false},
		{"the same version for an earlier request", only(62), only(62), -time.Second, true},
		{"an older version for an earlier request", only(65), only(62), -orderMargin, true},
		{"an older version for a slightly earlier request", only(65), only(62), 1 - orderMargin, false},
		{"an older version for a later request", only(65), only(62), 1, false},
		{"a response that the first version gives too", only(62), link.Versions{Oldest: 62, Newest: 65}, -time.Minute, true},
		{"a response that the second version gives too", link.Versions{Oldest: 62, Newest: 65}, only(62), time.Minute, true},
	} {
		order := versionOrder{logger: log.NewNopLogger()}
		must.NoError(t, order.admit(c.first, start, "leader"))
		err := order.admit(c.second, start.Add(c.secondRequestDelay), "leader")
		must.Eq(t, c.allowed, err == nil, must.Sprint(c.name))
	}
}

// The caller doesn't get a withheld response, so later responses must not be compared with
// its version.
func TestWithheldResponseIsNotRecorded(t *testing.T) {
	start := time.Now()
	order := versionOrder{logger: log.NewNopLogger()}
	must.NoError(t, order.admit(only(62), start.Add(time.Second), "leader"))
	must.Error(t, order.admit(only(65), start, "leader"))
	must.NoError(t, order.admit(only(62), start.Add(2*time.Second), "leader"))
}

// Many versions are committed. The number of recorded versions must stay bounded, and a
// response of the newest version to an old request must still be withheld.
func TestRecordedVersionsAreBounded(t *testing.T) {
	start := time.Now()
	order := versionOrder{logger: log.NewNopLogger()}
	for version := range uint64(3 * maxReadTimes) {
		must.NoError(t, order.admit(only(version+1), start.Add(time.Duration(version)*time.Second), "leader"))
	}
	must.Len(t, maxReadTimes, order.lastRead.entries)
	must.Len(t, maxReadTimes, order.firstRead.entries)
	must.Error(t, order.admit(only(3*maxReadTimes+1), start, "leader"))
}

// The leader accepts a job, and the response is withheld because a later request got a
// response of an older version. The error must not say that nothing was done, since the
// job will run.
func TestWithheldResponseToChangeIsUnknown(t *testing.T) {
	g := New(link.NewClient(maxConnections), "own", []string{startSubmitServer(t, 65)}, log.NewNopLogger())
	must.NoError(t, g.versionOrder.admit(only(62), time.Now(), "leader"))
	call := &control.SubmitCall{}
	_, err := CallForCaller[control.SubmitReply](t.Context(), g, time.Now().Add(-time.Second), control.MethodSubmit, call)
	must.Error(t, err)
	must.Eq(t, fault.Unknown, fault.KindOf(err))
}

// startSubmitServer accepts all jobs, names a configuration version in its responses, and
// returns its address.
func startSubmitServer(t *testing.T, version uint64) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodSubmit, func(ctx context.Context, _ *control.SubmitCall) (control.SubmitReply, error) {
		link.RecordVersions(ctx, only(version))
		return control.SubmitReply{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// The leader's response to a request is of version 65. A follower that lags behind responds
// to a later request with an ended job and version 62. The caller would see a job of a queue
// that version 65 doesn't have.
func TestOutOfOrderEndedJobResponseIsIgnored(t *testing.T) {
	mux := link.NewMux()
	link.Handle(mux, control.MethodEnded, func(ctx context.Context, _ *control.EndedCall) (control.EndedReply, error) {
		link.RecordVersions(ctx, only(62))
		return control.EndedReply{Known: true, Phase: 1}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	g := New(link.NewClient(maxConnections), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	must.NoError(t, g.versionOrder.admit(only(65), time.Now().Add(-time.Second), "leader"))
	g.recordInformed(boottime.Now())
	_, known := g.EndedJobPhase(t.Context(), time.Now(), &control.StateCall{})
	must.False(t, known)
}

// More than maxReadTimes versions are committed within a few seconds, and the oldest
// entry is dropped. If its first request counted as one of the next version, a response
// would be withheld although all responses of newer versions went to later requests.
func TestDroppedReadTimeDoesNotExtendNextOne(t *testing.T) {
	start := time.Now()
	order := versionOrder{logger: log.NewNopLogger()}
	must.NoError(t, order.admit(only(1), start, "leader"))
	for i := range maxReadTimes {
		must.NoError(t, order.admit(only(uint64(i+3)), start.Add(time.Duration(i+2)*time.Second), "leader"))
	}
	must.NoError(t, order.admit(only(2), start.Add(time.Second), "leader"))
	must.Error(t, order.admit(only(2), start.Add(3*time.Second), "leader"), must.Sprint("after responses of newer versions"))
}
