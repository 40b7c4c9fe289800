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
