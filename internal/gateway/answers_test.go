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
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// versioned serves questions for a queue with answer, which also says by which
// version of the configuration.
func versioned(t *testing.T, answer func(queue string) (version uint64, err error)) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodState, func(ctx context.Context, r *control.StateCall) (control.StateReply, error) {
		version, err := answer(r.Place.Queue)
		link.NoteVersion(ctx, version)
		return control.StateReply{Queue: true}, err
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// askFor asks for a queue as a caller's request that comes now.
func askFor(ctx context.Context, g *Gateway, queue string) error {
	call := &control.StateCall{Place: control.Place{Queue: queue}}
	_, err := CallForCaller[control.StateReply](ctx, g, time.Now(), control.MethodState, call)
	return err
}

func TestALineTellsWhenAnswersChangeTheirVersion(t *testing.T) {
	var lines bytes.Buffer
	var version uint64 = 62
	leader := versioned(t, func(string) (uint64, error) { return version, nil })
	g := New(link.NewClient(), "own", []string{leader}, log.NewLogfmtLogger(&lines))
	for range 3 {
		must.NoError(t, askFor(t.Context(), g, "q"))
	}
	version = 65
	must.NoError(t, askFor(t.Context(), g, "q"))
	must.Eq(t, 2, strings.Count(lines.String(), "event=answered_by"))
	must.StrContains(t, lines.String(), "event=answered_by version=62 before=0 from="+leader)
	must.StrContains(t, lines.String(), "event=answered_by version=65 before=62 from="+leader)
}

// heldLeader answers for the queue "added" by version 65, once released is closed,
// and for all others by version 62 at once.
func heldLeader(t *testing.T, released <-chan struct{}) string {
	return versioned(t, func(queue string) (uint64, error) {
		if queue != "added" {
			return 62, nil
		}
		<-released
		return 65, nil
	})
}

// What a user sees: the queue that a new configuration adds is there, and a request
// sent 0.3 s later to the same instance still finds one that it drops.
// Order: the leader's data centre is cut off; a request is held there; a later one
// is answered by the next leader; the new configuration is committed; the first
// request reaches the next leader and is answered by it.
// Cause: each answer was by the newest version of its moment, in another order than
// the requests came in.
func TestARequestIsNotAnsweredByANewerVersionThanALaterOne(t *testing.T) {
	released := make(chan struct{})
	g := New(link.NewClient(), "own", []string{heldLeader(t, released)}, log.NewNopLogger())
	first := make(chan error, 1)
	go func() { first <- askFor(t.Context(), g, "added") }()
	time.Sleep(300 * time.Millisecond)
	must.NoError(t, askFor(t.Context(), g, "dropped"))
	close(released)
	err := <-first
	must.Error(t, err)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
}
