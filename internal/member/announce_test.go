package member

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
)

// announcementTimeout bounds the wait for an announcement, which is due every announceInterval.
const announcementTimeout = 5 * time.Second

// serveJoins serves announcements at address with serve until the test ends, and returns the port.
func serveJoins(t *testing.T, address string, serve func(*JoinRequest) (JoinResponse, error)) (port string) {
	mux := link.NewMux()
	link.Handle(mux, MethodJoin, func(_ context.Context, r *JoinRequest) (JoinResponse, error) { return serve(r) })
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, port, err = net.SplitHostPort(listener.Addr().String())
	must.NoError(t, err)
	return port
}

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any  { return nil }
func (emptyMachine) Snapshot() ([]byte, error) { return nil, nil }
func (emptyMachine) Restore([]byte) error      { return nil }

// startAnnouncing starts the announcements of a member that knows no leader.
func startAnnouncing(t *testing.T, id, port string, members ...string) {
	h := New(Config{
		ID: id, Port: port, Seeds: members, FirstStart: true, Folder: t.TempDir(), Machine: emptyMachine{}, Logger: log.NewNopLogger(),
	}, link.NewClient(maxConnections), link.NewMux())
	group, err := h.Open(t.Context())
	must.NoError(t, err)
	must.Eq(t, "", group.Status().Leader)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.announce(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

func awaitAnnouncement(t *testing.T, announced <-chan string, id string) {
	select {
	case got := <-announced:
		must.Eq(t, id, got)
	case <-time.After(announcementTimeout):
		t.Fatal("no announcement arrived")
	}
}

// recordJoins returns a function that serves announcements as the leader does, and a channel with
// the ID of the first announced instance.
func recordJoins() (serve func(*JoinRequest) (JoinResponse, error), announced <-chan string) {
	ids := make(chan string, 1)
	return func(r *JoinRequest) (JoinResponse, error) {
		select {
		case ids <- r.ID:
		default:
		}
		return JoinResponse{}, nil
	}, ids
}

// Guards against a member that was removed while it was unreachable and never announces itself
// again, because it is the first of the members that it knows.
func TestFirstKnownMemberAnnouncesItselfWithoutLeader(t *testing.T) {
	serve, announced := recordJoins()
	port := serveJoins(t, "127.0.0.2:0", serve)
	startAnnouncing(t, "127.0.0.1", port, "127.0.0.1", "127.0.0.2")
	awaitAnnouncement(t, announced, "127.0.0.1")
}

// Guards against a member that was removed while it was unreachable and never finds a leader that
// joined after it was removed.
func TestMemberAnnouncesItselfToLeaderThatJoinedLater(t *testing.T) {
	serve, announced := recordJoins()
	port := serveJoins(t, "127.0.0.3:0", serve)
	leader := net.JoinHostPort("127.0.0.3", port)
	serveJoins(t, net.JoinHostPort("127.0.0.2", port), func(*JoinRequest) (JoinResponse, error) {
		return JoinResponse{}, link.NotLeader(leader)
	})
	startAnnouncing(t, "127.0.0.1", port, "127.0.0.2", "127.0.0.1")
	awaitAnnouncement(t, announced, "127.0.0.1")
}
