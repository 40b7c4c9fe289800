package member

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/replica"
)

// maxConnections is the connection limit of a client that makes no calls in these tests.
const maxConnections = 100

func voter(id string) replica.Member { return replica.Member{ID: id} }

func learner(id string) replica.Member { return replica.Member{ID: id, Learner: true} }

// Config.Voters is 3 in each case. sinceSeen has the time since the last announcement of a
// member; a member that isn't in sinceSeen has just announced itself.
func TestNextMembershipReplacesUnresponsiveMembers(t *testing.T) {
	for _, c := range []struct {
		name      string
		members   []replica.Member
		sinceSeen map[string]time.Duration
		want      []replica.Member
	}{
		{"nothing to do", []replica.Member{voter("own"), voter("b"), voter("c"), learner("d")}, nil, nil},
		{"a learner replaces an unresponsive voter", []replica.Member{voter("own"), voter("b"), voter("c"), learner("d")},
			map[string]time.Duration{"b": 3 * time.Second}, []replica.Member{voter("own"), voter("b"), voter("c"), voter("d")}},
		{"an unresponsive voter beyond the number of voters is removed", []replica.Member{voter("own"), voter("b"), voter("c"), voter("d")},
			map[string]time.Duration{"b": 3 * time.Second}, []replica.Member{voter("own"), voter("c"), voter("d")}},
		{"an unresponsive voter stays while no learner can replace it", []replica.Member{voter("own"), voter("b"), voter("c")},
			map[string]time.Duration{"b": time.Minute}, nil},
		{"too few voters", []replica.Member{voter("own"), learner("b")}, nil, []replica.Member{voter("own"), voter("b")}},
		{"an unresponsive learner isn't promoted", []replica.Member{voter("own"), learner("b")}, map[string]time.Duration{"b": 3 * time.Second}, nil},
		{"a learner that stays unresponsive is removed", []replica.Member{voter("own"), voter("b"), voter("c"), learner("d")},
			map[string]time.Duration{"d": 11 * time.Second}, []replica.Member{voter("own"), voter("b"), voter("c")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			h := New(Config{ID: "own", Voters: 3, Logger: log.NewNopLogger()}, link.NewClient(maxConnections), link.NewMux())
			h.liveness.setLeading(true, now.Add(-time.Hour))
			for _, m := range c.members {
				h.liveness.recordSeen(&JoinRequest{ID: m.ID}, now.Add(-c.sinceSeen[m.ID]))
			}
			before := slices.Clone(c.members)
			members, _ := h.nextMembership(replica.Status{Members: c.members}, now)
			must.Eq(t, c.want, members)
			must.Eq(t, before, c.members)
		})
	}
}

// Guards against needless membership changes: an instance has just become the leader, and no
// member has announced itself to it yet. The time before it became the leader must not
// count.
func TestNewLeaderDoesNotReplaceVotersBeforeTheyAnnounce(t *testing.T) {
	h := New(Config{ID: "own", Voters: 3, Logger: log.NewNopLogger()}, link.NewClient(maxConnections), link.NewMux())
	now := time.Now()
	h.liveness.setLeading(true, now)
	members, _ := h.nextMembership(replica.Status{Members: []replica.Member{voter("own"), voter("b"), voter("c"), learner("d")}}, now)
	must.Nil(t, members)
}

// A member restarts with other seeds in its settings. It must use the stored membership, or
// it would read its log under a membership that was never in force.
func TestInitialMembersSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	first := New(Config{ID: "10.0.0.1", Port: "7", Seeds: []string{"10.0.0.1", "10.0.0.2"}, FirstStart: true, Folder: folder, Logger: log.NewNopLogger()}, link.NewClient(maxConnections), link.NewMux())
	members, _, err := first.initialMembers(t.Context())
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7", members[0].Address)
	again := New(Config{ID: "10.0.0.1", Port: "7", Seeds: []string{"10.0.0.9"}, Folder: folder, Logger: log.NewNopLogger()}, link.NewClient(maxConnections), link.NewMux())
	stored, _, err := again.initialMembers(t.Context())
	must.NoError(t, err)
	must.Eq(t, members, stored)
}

// joinTestTimeout bounds the wait of a test for an instance that joins.
const joinTestTimeout = 10 * time.Second

// Guards against a panic of an instance whose settings name no seeds yet, and one that never
// learns of the seeds that they name later.
func TestInstanceWithoutSeedsJoinsOnceItHasThem(t *testing.T) {
	const seed = "127.0.0.1"
	mux := link.NewMux()
	link.Handle(mux, MethodJoin, func(context.Context, *JoinRequest) (JoinResponse, error) {
		return JoinResponse{Members: []replica.Member{voter(seed)}}, nil
	})
	listener, err := net.Listen("tcp", seed+":0")
	must.NoError(t, err)
	server := rpc.NewServer(mux)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	must.NoError(t, err)

	h := New(Config{ID: "127.0.0.2", Port: port, Folder: t.TempDir(), Logger: log.NewNopLogger()}, link.NewClient(maxConnections), link.NewMux())
	ctx, cancel := context.WithTimeout(t.Context(), joinTestTimeout)
	defer cancel()
	time.AfterFunc(announceInterval/2, func() { h.SetSeeds([]string{seed}) })
	members, _, err := h.initialMembers(ctx)
	must.NoError(t, err)
	must.Eq(t, []replica.Member{voter(seed)}, members)
}
