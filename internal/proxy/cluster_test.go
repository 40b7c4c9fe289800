package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Guards against a caller that waits indefinitely: the minion accepts the request and
// never responds. An idempotent request is retried on another minion, and any other
// request gets an error by its deadline.
func TestRequestToHangingMinionEndsByItsDeadline(t *testing.T) {
	cluster := startTestCluster(t, nil)
	release := make(chan struct{})
	defer close(release)
	cluster.announce(startMinion(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	header := http.Header{HeaderDeadline: {"200"}}
	must.Eq(t, fault.Unknown.String(), cluster.send(header, http.MethodGet, "/x", nil).kind)
	cluster.announce(startMinion(t, func(http.ResponseWriter, *http.Request) {}))
	header = http.Header{HeaderDeadline: {"4000"}, HeaderIdempotent: {"true"}}
	for range 4 {
		must.Eq(t, http.StatusOK, cluster.send(header, http.MethodGet, "/x", nil).status)
	}
}

// refusedCalls is how many calls TestRetryAfterOfRefusedCallersVaries makes while all
// slots are occupied. The calls must get more than distinctRetryAftersBound different
// retry times.
const (
	refusedCalls             = 10
	distinctRetryAftersBound = 7
)

// Guards against synchronized retries: rejected callers that all get the same
// retry time come back together and are rejected again.
func TestRetryAfterOfRefusedCallersVaries(t *testing.T) {
	cluster := startTestCluster(t, func(cfg *Config) {
		cfg.Balancer = routing.NewBalancer(routing.Options{Entry: "e1", Incarnation: 1, SlowStart: time.Nanosecond})
	})
	unblock := make(chan struct{})
	cluster.announce(startMinion(t, func(http.ResponseWriter, *http.Request) { <-unblock }))
	var callers sync.WaitGroup
	for range testSlots {
		callers.Go(func() { cluster.send(nil, http.MethodGet, "/x", nil) })
	}
	for cluster.handler.Stats().Running < testSlots {
		time.Sleep(pollInterval)
	}
	retryAfters := make(map[string]bool)
	for range refusedCalls {
		req, err := http.NewRequest(http.MethodGet, cluster.server.URL+Prefix+testService+"/x", nil)
		must.NoError(t, err)
		req.Header.Set(HeaderDeadline, "60")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, fault.Overloaded.String(), resp.Header.Get(fault.HeaderKind))
		seconds, err := strconv.Atoi(resp.Header.Get(fault.HeaderRetryAfter))
		must.NoError(t, err)
		must.Positive(t, seconds)
		retryAfters[resp.Header.Get(HeaderRetryAfterMs)] = true
	}
	must.Greater(t, distinctRetryAftersBound, len(retryAfters))
	close(unblock)
	callers.Wait()
}

// entryProcess is one entry instance of a data centre, which can be killed.
type entryProcess struct {
	handler *Handler
	server  *httptest.Server
	stop    context.CancelFunc
}

// startEntryProcess starts an entry instance that gets its slots from an allocator.
func startEntryProcess(slots *SlotAllocator, id string, incarnation uint64) *entryProcess {
	p := &entryProcess{handler: New(Config{
		Balancer:     routing.NewBalancer(routing.Options{Entry: id, Incarnation: incarnation, Seed: incarnation}),
		Authenticate: func(*http.Request) (string, error) { return "c", nil },
	})}
	p.server = httptest.NewServer(p.handler)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.handler.RenewSlotLeases(ctx, func(_ context.Context, r *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
		return slots.Allocate(r)
	})
	return p
}

// kill ends the process without releasing its slots at the allocator.
func (p *entryProcess) kill() {
	p.server.CloseClientConnections()
	p.stop()
	p.server.Close()
}

// Times of TestEntryRestartsUnderLoadNeverExceedSlots.
const (
	// loadRequestDuration is how long a minion works on a request.
	loadRequestDuration = 5 * time.Millisecond
	// announceRoundInterval is the interval of the announcements of all minions.
	announceRoundInterval = 100 * time.Millisecond
	// restartInterval is the time before each restart of an entry instance.
	restartInterval = 300 * time.Millisecond
	// loadAfterRestarts is how long the load continues after the last restart.
	loadAfterRestarts = 1500 * time.Millisecond
)

// Guards against overloaded minions after a crash: entry instances are killed and
// restarted under load, over TCP connections, and the slots of a killed instance are
// allocated again while its requests still run.
func TestEntryRestartsUnderLoadNeverExceedSlots(t *testing.T) {
	const entries, minions, callersEach, restarts = 3, 4, 20, 3
	slots := NewSlotAllocator(routing.LeaseOptions{}, nil)
	slots.allocator.Lead(1, nil, longAgo)
	var fakes []*fakeMinion
	for range minions {
		fakes = append(fakes, startMinion(t, func(http.ResponseWriter, *http.Request) { time.Sleep(loadRequestDuration) }))
	}
	var processes [entries]atomic.Pointer[entryProcess]
	restart := func(i int, incarnation uint64) {
		processes[i].Store(startEntryProcess(slots, fmt.Sprint("e", i), incarnation))
	}
	for i := range entries {
		restart(i, 1)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			for i := range processes {
				for n, m := range fakes {
					processes[i].Load().handler.Announce(&apiv1.AnnounceRequest{
						Minion: fmt.Sprint("m", n), Service: testService, Address: m.address,
						Slots: testSlots, MaxConnections: 60, Incarnation: 1,
					})
				}
			}
			time.Sleep(announceRoundInterval)
		}
	})
	var succeeded atomic.Int64
	for n := range entries * callersEach {
		running.Go(func() {
			for ctx.Err() == nil {
				resp, err := http.Get(processes[n%entries].Load().server.URL + Prefix + testService + "/x")
				if err != nil {
					time.Sleep(pollInterval)
					continue
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	for r := range restarts {
		time.Sleep(restartInterval)
		processes[r%entries].Load().kill()
		restart(r%entries, uint64(r+2))
	}
	time.Sleep(loadAfterRestarts)
	stop()
	running.Wait()
	for i := range processes {
		processes[i].Load().kill()
	}
	must.Positive(t, succeeded.Load())
	for _, m := range fakes {
		must.LessEq(t, int64(testSlots), m.maxRunning.Load())
	}
	t.Logf("%d requests succeeded", succeeded.Load())
}
