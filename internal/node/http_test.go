package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/peer"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	benchCommandBytes  = 60
	leaderPollInterval = 5 * time.Millisecond
	// connectionDelay is the time after the elections in which the instances open their
	// connections.
	connectionDelay = 2 * time.Second
	// latencyDigits is the number of significant decimal digits of recorded latencies.
	latencyDigits = 3
)

// httpCluster is a set of instances with disks that exchange messages over HTTP on
// 127.0.0.1.
type httpCluster struct {
	instances []*httpInstance
}

type httpInstance struct {
	*Group
	// groups are all groups that run on this instance; the first is the embedded Group.
	groups    []*Group
	transport *peer.Transport
	listener  *peer.Listener
	stop      func()
}

// exchanger serves the one method of apiv1.Peer that a log needs.
type exchanger struct {
	apiv1.Peer
	mux *peer.Mux
}

func (e exchanger) Exchange(ctx context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	return e.mux.Exchange(ctx, r)
}

// counter is a state machine that only counts its commands.
type counter struct{ applied int }

func (c *counter) Apply(uint64, []byte) any  { c.applied++; return nil }
func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, c.applied), nil }
func (c *counter) Restore([]byte) error      { return nil }

// newHTTPCluster starts one instance for each member. Each HTTP call waits for delay
// before and after it is served. Every instance has a member of each group; without
// named groups there is one, "bench".
func newHTTPCluster(t testing.TB, members int, delay time.Duration, groups ...string) *httpCluster {
	if len(groups) == 0 {
		groups = []string{"bench"}
	}
	h := &httpCluster{}
	var replicas []replica.Member
	listeners := make([]*peer.Listener, members)
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i] = peer.NewListener(listener)
		replicas = append(replicas, replica.Member{ID: fmt.Sprint(i), Address: listener.Addr().String(), HasDisk: true})
	}
	folder := t.TempDir()
	for i, m := range replicas {
		n := startInstance(t, m, replicas, filepath.Join(folder, m.ID), listeners[i], delay, groups)
		t.Cleanup(n.stop)
		h.instances = append(h.instances, n)
	}
	return h
}

func startInstance(t testing.TB, self replica.Member, members []replica.Member, folder string, listener *peer.Listener, delay time.Duration, groups []string) *httpInstance {
	transport := peer.New(peer.Config{ID: self.ID, Bearer: "Bearer test"})
	for _, m := range members {
		if m.ID != self.ID {
			transport.SetPeer(m.ID, m.Address)
		}
	}
	mux := peer.NewMux(peer.Config{ID: self.ID})
	var opened []*Group
	for _, name := range groups {
		g, err := Open(t.Context(), Config{
			Group: name, ID: self.ID, Members: members, Folder: filepath.Join(folder, name),
			Machine: &counter{}, Transport: transport,
		})
		must.NoError(t, err)
		mux.Register(name, g.Step)
		opened = append(opened, g)
	}
	twirpServer := apiv1.NewPeerServer(exchanger{mux: mux}, twirp.WithServerInterceptors(rpc.ErrorInterceptor()))
	server := rpc.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		twirpServer.ServeHTTP(w, r)
		time.Sleep(delay)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { must.NoError(t, transport.Run(ctx)) })
	for _, g := range opened {
		running.Go(func() { must.NoError(t, g.Run(ctx)) })
	}
	stop := sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	return &httpInstance{Group: opened[0], groups: opened, transport: transport, listener: listener, stop: stop}
}

func (h *httpCluster) leader(t testing.TB) *httpInstance {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(leaderPollInterval) {
		for _, n := range h.instances {
			if n.Status().CanDecide {
				return n
			}
		}
	}
	t.Fatal("timed out waiting for a leader")
	return nil
}

// Guards against lost commits: three members exchange messages over HTTP, the leader stops,
// and another member must take over with everything that was committed.
func TestCommitsSurviveLeaderStopOverHTTP(t *testing.T) {
	h := newHTTPCluster(t, 3, 0)
	old := h.proposeAcknowledged(t, 100)
	committed := old.Status().Commit
	old.stop()
	next := h.leader(t)
	must.NotEq(t, old.cfg.ID, next.cfg.ID)
	must.NoError(t, next.Barrier(t.Context()))
	must.GreaterEq(t, committed, next.Status().Applied)
	must.Positive(t, next.transport.Stats()[old.cfg.ID].BytesSent)
}

// proposeAcknowledged proposes commands until n are acknowledged, and returns the leader that has
// acknowledged the last one. A leader may refuse a command when its lease has just ended, and lose the
// leadership, while the machine is busy; what it hasn't acknowledged needn't survive.
func (h *httpCluster) proposeAcknowledged(t *testing.T, n int) *httpInstance {
	leader := h.leader(t)
	for acknowledged, tries := 0, 0; acknowledged < n; tries++ {
		must.Less(t, 100*n, tries)
		_, err := leader.Propose(t.Context(), []byte("command"))
		if err == nil {
			acknowledged++
			continue
		}
		must.True(t, errors.Is(err, ErrNotLeader) || errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
		leader = h.leader(t)
	}
	return leader
}

// BenchmarkCommit measures committed proposals of 60 bytes and the latency that callers
// see. delay is the network delay in each direction. Without a rate, each caller proposes
// again as soon as its proposal is committed. With a rate, proposals are made at that rate,
// whether or not earlier ones are committed, and their latency counts from when they were
// due.
func BenchmarkCommit(b *testing.B) {
	for _, c := range []struct {
		members, callers, rate int
		delay                  time.Duration
	}{
		{1, 64, 0, 0}, {3, 1, 0, 0}, {3, 64, 0, 0}, {1, 0, 5000, 0}, {3, 0, 5000, 0},
		{3, 1, 0, time.Millisecond}, {3, 64, 0, time.Millisecond}, {3, 0, 5000, time.Millisecond},
	} {
		b.Run(fmt.Sprintf("members=%d/callers=%d/rate=%d/delay=%v", c.members, c.callers, c.rate, c.delay), func(b *testing.B) {
			h := newHTTPCluster(b, c.members, c.delay)
			generator := &loadGenerator{b: b, leader: h.leader(b), latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), latencyDigits)}
			b.ResetTimer()
			if c.rate > 0 {
				generator.openLoop(c.rate)
			} else {
				generator.closedLoop(c.callers)
			}
			generator.report()
		})
	}
}

// loadGenerator makes proposals and records their latency.
type loadGenerator struct {
	b       *testing.B
	leader  *httpInstance
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

func (g *loadGenerator) propose(due time.Time) {
	_, err := g.leader.Propose(context.Background(), make([]byte, benchCommandBytes))
	took := time.Since(due)
	must.NoError(g.b, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.latency.RecordValue(took.Microseconds())
}

// closedLoop makes b.N proposals by a number of callers that each wait for the outcome
// before the next proposal.
func (g *loadGenerator) closedLoop(callers int) {
	var left atomic.Int64
	left.Store(int64(g.b.N))
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				g.propose(time.Now())
			}
		})
	}
	group.Wait()
}

// openLoop makes b.N proposals at a rate per second.
func (g *loadGenerator) openLoop(rate int) {
	var group sync.WaitGroup
	start := time.Now()
	for i := range g.b.N {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		group.Go(func() { g.propose(due) })
	}
	group.Wait()
}

func (g *loadGenerator) report() {
	stats := g.leader.Stats()
	g.b.ReportMetric(float64(g.b.N)/g.b.Elapsed().Seconds(), "commits/s")
	g.b.ReportMetric(float64(g.latency.ValueAtQuantile(50))/1000, "p50-ms")
	g.b.ReportMetric(float64(g.latency.ValueAtQuantile(99))/1000, "p99-ms")
	g.b.ReportMetric(float64(stats.Commits)/float64(max(1, stats.LogSyncs)), "entries/sync")
}

// BenchmarkIdle measures the bytes per second that idle instances send and receive through
// their sockets, by the number of groups that the instance leads. It also measures the
// processor time of all instances together. One operation takes a second.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range [][]string{{"cell"}, {"cell", "configuration"}} {
		b.Run(fmt.Sprintf("groups=%d", len(groups)), func(b *testing.B) {
			h := newHTTPCluster(b, 3, 0, groups...)
			h.waitUntilReady(b, len(groups))
			before := make([]uint64, len(h.instances))
			for i, n := range h.instances {
				before[i] = n.socketBytes()
			}
			processor := cpuTime(b)
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64((cpuTime(b)-processor).Microseconds())/1000/seconds, "cpu-ms/s")
			for i, n := range h.instances {
				b.ReportMetric(float64(n.socketBytes()-before[i])/seconds, fmt.Sprintf("leads%d-B/s", n.ledGroups()))
			}
		})
	}
}

// waitUntilReady waits until each group has a leader and the connections are open.
func (h *httpCluster) waitUntilReady(t testing.TB, groups int) {
	for end := time.Now().Add(waitTimeout); ; time.Sleep(leaderPollInterval) {
		led := 0
		for _, n := range h.instances {
			led += n.ledGroups()
		}
		if led == groups {
			break
		}
		must.True(t, time.Now().Before(end), must.Sprint("timed out waiting for leaders"))
	}
	time.Sleep(connectionDelay)
}

func (n *httpInstance) ledGroups() int {
	led := 0
	for _, g := range n.groups {
		if g.Status().CanDecide {
			led++
		}
	}
	return led
}

// cpuTime returns the processor time that this process has used so far.
func cpuTime(t testing.TB) time.Duration {
	var used syscall.Rusage
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// socketBytes returns the bytes sent and received on all connections of the instance.
func (n *httpInstance) socketBytes() uint64 {
	sent, received := n.listener.Bytes()
	total := sent + received
	for _, s := range n.transport.Stats() {
		total += s.BytesSent + s.BytesReceived
	}
	return total
}

// BenchmarkRecovery opens a member with 100,000 entries of 60 bytes in its log
// and waits until it has applied them.
func BenchmarkRecovery(b *testing.B) {
	const entries = 100_000
	folder := b.TempDir()
	members := []replica.Member{{ID: "a", HasDisk: true}}
	w, _, err := wal.Open(vfs.OS{}, folder, nil)
	must.NoError(b, err)
	for i := uint64(1); i <= entries; i++ {
		hs := &replica.HardState{Term: 1, Vote: "a", Commit: i, Incarnation: 1}
		must.NoError(b, w.Save(hs, []replica.Entry{{Index: i, Term: 1, Data: make([]byte, benchCommandBytes)}}, false))
	}
	must.NoError(b, w.Close())
	original := os.DirFS(folder)
	for b.Loop() {
		b.StopTimer()
		copied := filepath.Join(b.TempDir(), fmt.Sprint(time.Now().UnixNano()))
		must.NoError(b, os.CopyFS(copied, original))
		b.StartTimer()
		g, err := Open(b.Context(), Config{Group: "bench", ID: "a", Members: members, Folder: copied, Machine: &counter{}, Transport: memberTransport{net: &network{}}})
		must.NoError(b, err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		for g.Status().Applied < entries {
			runtime.Gosched()
		}
		b.StopTimer()
		cancel()
		must.NoError(b, <-ended)
		b.StartTimer()
	}
}
