package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/replica"
)

// waitTimeout is the time after which a test fails if an awaited condition doesn't hold. It
// is long, because the tests don't check speed.
const waitTimeout = 30 * time.Second

const (
	pollInterval = 2 * time.Millisecond
	// callTimeout bounds one call of a client, which then tries again or gives up.
	callTimeout = time.Second
)

// registers is a state machine of named registers. A command sets one and returns the
// value that it replaced.
type registers struct {
	mu     sync.Mutex
	values map[string]string
	// onApply, when set, runs inside Apply.
	onApply func()
}

type setCommand struct{ Key, Value string }

func encodeSet(key, value string) []byte {
	data, _ := json.Marshal(setCommand{key, value})
	return data
}

func (r *registers) Apply(_ uint64, command []byte) any {
	var c setCommand
	if err := json.Unmarshal(command, &c); err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.onApply != nil {
		r.onApply()
	}
	old := r.values[c.Key]
	r.values[c.Key] = c.Value
	return old
}

func (r *registers) Snapshot() ([]byte, error) { return json.Marshal(r.copyValues()) }

func (r *registers) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = nil
	return json.Unmarshal(data, &r.values)
}

func (r *registers) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *registers) copyValues() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}

// network connects members in one process.
type network struct {
	mu       sync.Mutex
	steps    map[string]func(from string, payload []byte) error
	isolated map[string]bool
}

// memberTransport is the Transport of one member.
type memberTransport struct {
	net *network
	id  string
}

func (t memberTransport) Send(_, to string, payload []byte) {
	t.net.mu.Lock()
	step := t.net.steps[to]
	if t.net.isolated[t.id] || t.net.isolated[to] {
		step = nil
	}
	t.net.mu.Unlock()
	if step != nil {
		_ = step(t.id, payload)
	}
}

func (n *network) register(id string, step func(string, []byte) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.steps[id] = step
}

// isolate disconnects a member from all others, or reconnects it.
func (n *network) isolate(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// member is one running member of a cluster.
type member struct {
	*Group
	machine *registers
	cancel  context.CancelFunc
	runErr  chan error
}

// cluster is a group of three members.
type cluster struct {
	t       *testing.T
	net     *network
	folder  string
	config  Config
	mu      sync.Mutex
	members map[string]*member
	starts  uint64 // number of starts of members so far
}

// newCluster starts members a, b and c. Each letter of disks is the ID of a member that
// has a disk.
func newCluster(t *testing.T, disks string, config Config) *cluster {
	c := &cluster{
		t: t, folder: t.TempDir(), config: config, members: map[string]*member{},
		net: &network{steps: map[string]func(string, []byte) error{}, isolated: map[string]bool{}},
	}
	for _, id := range []string{"a", "b", "c"} {
		hasDisk := false
		for _, d := range disks {
			hasDisk = hasDisk || string(d) == id
		}
		c.config.Members = append(c.config.Members, replica.Member{ID: id, HasDisk: hasDisk})
	}
	for _, m := range c.config.Members {
		c.start(m.ID)
	}
	t.Cleanup(c.stopAll)
	return c
}

// start opens and runs the member id. A member with a disk finds what it stored before.
func (c *cluster) start(id string) *member {
	c.t.Helper()
	c.starts++
	cfg := c.config
	cfg.Group, cfg.ID, cfg.TickInterval, cfg.Seed = "test", id, 5*time.Millisecond, c.starts
	cfg.ElectionTicks, cfg.HeartbeatTicks = 12, 3
	cfg.Incarnation = c.starts
	machine := &registers{values: map[string]string{}}
	cfg.Machine, cfg.Transport = machine, memberTransport{c.net, id}
	for _, m := range cfg.Members {
		if m.ID == id && m.HasDisk {
			cfg.Folder = filepath.Join(c.folder, id)
		}
	}
	g, err := Open(c.t.Context(), cfg)
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Group: g, machine: machine, cancel: cancel, runErr: make(chan error, 1)}
	go func() { m.runErr <- g.Run(ctx) }()
	c.net.register(id, g.Step)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id] = m
	return m
}

func (c *cluster) stop(id string) {
	c.t.Helper()
	c.mu.Lock()
	m := c.members[id]
	delete(c.members, id)
	c.mu.Unlock()
	if m == nil {
		return
	}
	c.net.register(id, nil)
	m.cancel()
	must.NoError(c.t, <-m.runErr)
}

func (c *cluster) stopAll() {
	for _, m := range c.config.Members {
		c.stop(m.ID)
	}
}

func (c *cluster) running() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*member
	for _, m := range c.config.Members {
		if r := c.members[m.ID]; r != nil {
			running = append(running, r)
		}
	}
	return running
}

// eventually waits until a condition holds.
func eventually(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		must.True(t, time.Now().Before(end), must.Sprint("timed out waiting for "+awaited))
	}
}

// leader waits for a member that may decide and returns it.
func (c *cluster) leader() *member {
	c.t.Helper()
	var found *member
	eventually(c.t, "a leader", func() bool {
		for _, m := range c.running() {
			if m.Status().CanDecide {
				found = m
			}
		}
		return found != nil
	})
	return found
}

// set writes a register through the current leader and retries until it succeeds.
func (c *cluster) set(key, value string) {
	c.t.Helper()
	eventually(c.t, "a write", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := c.leader().Propose(ctx, encodeSet(key, value))
		return err == nil
	})
}

// setMany writes n times to ten registers whose names begin with prefix, in turn.
func (c *cluster) setMany(prefix string, n int) {
	c.t.Helper()
	for i := range n {
		c.set(fmt.Sprint(prefix, i%10), fmt.Sprint(i))
	}
}

// converged waits until the given number of members run and all hold the same state.
func (c *cluster) converged(members int) {
	c.t.Helper()
	eventually(c.t, "the same state everywhere", func() bool {
		running := c.running()
		for _, m := range running {
			s, first := m.Status(), running[0].Status()
			same := maps.Equal(m.machine.copyValues(), running[0].machine.copyValues())
			if s.Applied != first.Applied || s.Role == replica.Recovering || !same {
				return false
			}
		}
		return len(running) == members
	})
}
