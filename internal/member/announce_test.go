package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/peer"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
)

// announcementTimeout bounds the wait for an announcement, which is due every announceInterval.
const announcementTimeout = 5 * time.Second

// serveJoins serves announcements at address with serve until the test ends, and returns the port.
func serveJoins(t *testing.T, address string, serve func(*JoinRequest) (JoinResponse, error)) (port string) {
	mux := link.NewMux()
	link.Handle(mux, MethodJoin, func(_ context.Context, r *JoinRequest) (JoinResponse, error) { return serve(r) })
	return serveInternal(t, address, mux)
}

// serveInternal serves the calls of other instances at address until the test ends, and returns the port.
func serveInternal(t *testing.T, address string, mux *link.Mux) (port string) {
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	server := rpc.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, port, err = net.SplitHostPort(listener.Addr().String())
	must.NoError(t, err)
	return port
}

// maxPortTries bounds the search for a port that is free on several hosts.
const maxPortTries = 100

// freePort returns a port that is free on all hosts: one that is free on the first may be in use on another.
func freePort(t *testing.T, hosts ...string) string {
	for range maxPortTries {
		if port := tryFreePort(t, hosts); port != "" {
			return port
		}
	}
	t.Fatal("no port is free on all hosts")
	return ""
}

// tryFreePort returns a port that the system gives for the first host, or "" if it isn't free on all others.
func tryFreePort(t *testing.T, hosts []string) string {
	port := "0"
	for _, host := range hosts {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil {
			return ""
		}
		defer func() { _ = listener.Close() }()
		_, port, err = net.SplitHostPort(listener.Addr().String())
		must.NoError(t, err)
	}
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

// sendLogMessages makes the instance with the ID from send messages of the log to another one until the test ends.
func sendLogMessages(t *testing.T, from, to, port string) {
	transport := peer.New(peer.Config{ID: from})
	transport.SetPeer(to, net.JoinHostPort(to, port))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- transport.Run(ctx) }()
	go func() {
		for wait.For(ctx, tickInterval) {
			transport.Send(GroupName, to, []byte("message"))
		}
	}()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

// Guards against a seed that lost its disk and waits without end because no other seed knows the
// leader, while the leader sends it messages of the log.
func TestMemberWithoutStateJoinsThroughSenderOfLogMessages(t *testing.T) {
	const own, leader, seed = "127.0.0.1", "127.0.0.2", "127.0.0.3"
	members := []replica.Member{{ID: leader}, {ID: own}}
	port := freePort(t, leader, seed, own)
	serveJoins(t, net.JoinHostPort(leader, port), func(*JoinRequest) (JoinResponse, error) { return JoinResponse{Members: members}, nil })
	serveJoins(t, net.JoinHostPort(seed, port), func(*JoinRequest) (JoinResponse, error) { return JoinResponse{}, link.NotLeader("") })
	mux := link.NewMux()
	h := New(Config{ID: own, Port: port, Seeds: []string{own, seed}, Folder: t.TempDir(), Logger: log.NewNopLogger()}, link.NewClient(maxConnections), mux)
	serveInternal(t, net.JoinHostPort(own, port), mux)
	sendLogMessages(t, leader, own, port)
	ctx, cancel := context.WithTimeout(t.Context(), announcementTimeout)
	defer cancel()
	joined, _, err := h.initialMembers(ctx)
	must.NoError(t, err)
	must.Eq(t, members, joined)
}
