// Package node drives one member of a replicated log: it owns the core of
// package replica, its write-ahead log, its clock and a state machine, and
// exchanges messages through a Transport.
//
// One goroutine does it all, in Run. Whatever waits when it comes round, calls
// and messages alike, goes into one write, one sync and one message per member;
// that is the group commit.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Machine is the state that the log builds up. Apply must depend on nothing
// but the state and the command. All three are called from one goroutine.
type Machine interface {
	// Apply takes in one committed command and returns what Propose hands back.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Capturer is a Machine that can take a cheap copy of its state. The returned
// function encodes the copy on another goroutine, while Apply goes on.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// Transport carries payloads to other members of a group. Send must not block;
// it may lose, repeat and reorder, which the log makes up for.
type Transport interface {
	Send(group, to string, payload []byte)
}

// Log is a replicated log as its users see it. Group implements it.
type Log interface {
	// Propose waits until the command is committed and applied on this member
	// and returns what Apply returned. See ErrNotLeader and ErrOutcomeUnknown.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier waits until this member has applied all that was committed
	// before the call. It fails on a member that doesn't lead.
	Barrier(ctx context.Context) error
	Status() replica.Status
	// Changed returns a channel that is closed when role, leader, term or
	// CanDecide change next.
	Changed() <-chan struct{}
}

// Defaults of Config. Ticks of 100 ms make heartbeats each 500 ms and election
// timeouts from 1.5 s.
const (
	DefaultTickInterval   = 100 * time.Millisecond
	DefaultElectionTicks  = 15
	DefaultHeartbeatTicks = 5
	DefaultSnapshotEvery  = 20_000
	DefaultSnapshotBytes  = 2 << 20

	// maxInflightAppends bounds the appends under way to a member: 64 last for 25 ms or
	// more when each carries what came up during one sync, so that neither a
	// slow sync nor a slow way holds new ones back.
	maxInflightAppends  = 64
	maxPendingCalls     = 16_384
	maxInboxMessages    = 8_192
	maxCatchUpElections = 4 // election timeouts
)

// callIntervalPerFollower is how long after it has taken in calls a member waits before it
// takes in more, for each other member of the group. With two followers that is less
// than a sync of a slow disk. With more, a leader would spend a large part of a small
// processor on messages of the log, some thousand a second, unless they come in batches.
const callIntervalPerFollower = 2 * time.Millisecond

// Config is the fixed part of a Group.
type Config struct {
	// Group names the log; it is the same on all members.
	Group string
	// ID is this member's ID.
	ID string
	// Incarnation numbers this start of the member; 0 means the wall clock in
	// milliseconds. A member that finds its state on disk keeps the number of
	// its first start.
	Incarnation uint64
	// Members is the initial membership.
	Members []replica.Member
	// Folder holds the log; empty for a member without a disk.
	Folder string
	// TickInterval is the unit of ElectionTicks and HeartbeatTicks.
	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// SnapshotBytes is how many bytes of commands lie between snapshots, or as
	// many as the latest snapshot has where that is more. Half of it stays in
	// memory, at most, for members that lag.
	//
	// Failure guarded against: a log of long commands, such as whole documents of
	// the configuration, outgrows the memory of the process long before it has
	// SnapshotEvery entries.
	SnapshotBytes int
	// KeepEntries is how many entries before a snapshot stay in memory for
	// members that lag; 0 means SnapshotEvery.
	KeepEntries int
	// Seed of the election timeouts.
	Seed      uint64
	Machine   Machine
	Transport Transport
	// Logger gets a line for each change of role; nil for none.
	Logger log.Logger
}

func (cfg *Config) fill() error {
	if cfg.Machine == nil || cfg.Transport == nil || cfg.Group == "" {
		return errors.New("group needs a name, a machine and a transport")
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks, cfg.HeartbeatTicks = DefaultElectionTicks, DefaultHeartbeatTicks
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = int(cfg.SnapshotEvery)
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return nil
}

// Group is one member of a replicated log. Its methods are safe for concurrent
// use; Run must be running for calls to return.
type Group struct {
	cfg    Config
	core   *replica.Core
	wal    *wal.WAL
	logger log.Logger
	// running ends when the member is to stop; nil until Run. diskFullSince is when the
	// disk was found full, zero while it has room. Both belong to Run.
	runCtx        context.Context
	diskFullSince time.Time

	// wake has room for one: a set wake means that calls or inbox hold work.
	wake  chan struct{}
	calls callQueue
	inbox inbox

	// The rest belongs to the goroutine of Run.
	clock clock
	// callsProcessedAt is when calls were taken in last.
	callsProcessedAt time.Time
	savedHardState   replica.HardState
	proposals        map[uint64]pendingProposal
	barriers         pendingBarriers
	applied          uint64
	snapshots        snapshotter

	published publishedStatus
	counters  counters
	done      chan struct{}
	stopOnce  sync.Once
}

// Open reads the member's log, if it has one, and restores the machine from
// the snapshot in it. The entries after the snapshot are applied by Run.
func Open(cfg Config) (*Group, error) {
	if err := cfg.fill(); err != nil {
		return nil, err
	}
	g := &Group{
		cfg:       cfg,
		logger:    log.With(cfg.Logger, "group", cfg.Group, "member", cfg.ID),
		wake:      make(chan struct{}, 1),
		proposals: map[uint64]pendingProposal{},
		done:      make(chan struct{}),
	}
	stored, err := g.openLog()
	if err != nil {
		return nil, err
	}
	if err := g.start(stored); err != nil {
		return nil, errors.CombineErrors(err, g.closeLog())
	}
	return g, nil
}

func (g *Group) openLog() (replica.StoredState, error) {
	if g.cfg.Folder == "" {
		return replica.StoredState{}, nil
	}
	w, stored, err := wal.Open(g.cfg.Folder)
	g.wal = w
	if err == nil {
		w.OnDiskFull(g.waitForDiskSpace)
	}
	return stored, errors.Wrapf(err, "log of group %s", g.cfg.Group)
}

func (g *Group) closeLog() error {
	if g.wal == nil {
		return nil
	}
	return g.wal.Close()
}

func (g *Group) start(stored replica.StoredState) error {
	core, err := replica.New(replica.Config{
		ID:             g.cfg.ID,
		Incarnation:    g.cfg.Incarnation,
		HasDisk:        g.wal != nil,
		Members:        g.cfg.Members,
		ElectionTicks:  g.cfg.ElectionTicks,
		HeartbeatTicks: g.cfg.HeartbeatTicks,
		Seed:           g.cfg.Seed,
		KeepEntries:    g.cfg.KeepEntries,
		KeepBytes:      g.cfg.SnapshotBytes / 2,
		MaxInflight:    maxInflightAppends,
	}, stored)
	if err != nil {
		return err
	}
	g.core, g.savedHardState = core, stored.HardState
	g.snapshots.done = make(chan snapshotResult, 1)
	if stored.Snapshot.Index > 0 {
		if err := g.cfg.Machine.Restore(stored.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore the snapshot of entry %d", stored.Snapshot.Index)
		}
	}
	g.applied, g.snapshots.lastIndex = stored.Snapshot.Index, stored.Snapshot.Index
	g.snapshots.lastSize = len(stored.Snapshot.Data)
	g.published.init(core.Status())
	return nil
}

// signal wakes Run.
func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
