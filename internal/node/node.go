// Package node drives one member of a replicated log: it owns the core of package
// replica, the write-ahead log, the clock and the state machine, and exchanges messages
// through a Transport.
//
// One goroutine, Run, does all the work in rounds. All calls and messages that are pending
// at the start of a round share one write, one sync and one payload per member (group
// commit).
package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Machine is the state machine that the log drives. Apply must be deterministic: it may
// depend only on the state and the command. One goroutine makes all calls.
type Machine interface {
	// Apply applies one committed command and returns the result for Propose.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Capturer is a Machine that can copy its state cheaply. The function that Capture
// returns encodes the copy on another goroutine, while Apply continues.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// Transport carries payloads to other members of a group. Send must not block. It may
// lose, repeat and reorder payloads, which the log tolerates.
type Transport interface {
	Send(group, to string, payload []byte)
}

// Log is the interface of a replicated log for its users. Group implements it.
type Log interface {
	// Propose waits until the command is committed and applied on this member and
	// returns the result of Apply. See ErrNotLeader and ErrOutcomeUnknown.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier waits until this member has applied everything that was committed before
	// the call. It fails on a member that doesn't lead.
	Barrier(ctx context.Context) error
	// StepDown gives up the leadership of a term, if this member leads in it.
	StepDown(ctx context.Context, term uint64) error
	// Status returns this member's view of the group.
	Status() replica.Status
	// Changed returns a channel that is closed at the next change of role, leader, term
	// or CanDecide.
	Changed() <-chan struct{}
}

// Defaults of Config. With ticks of 100 ms, heartbeats are sent every 500 ms and
// election timeouts start at 1.5 s.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultElectionTicks   = 15
	DefaultHeartbeatTicks  = 5
	DefaultSnapshotEntries = 20_000
	DefaultSnapshotBytes   = 2 << 20

	// maxInflightAppends bounds the appends in flight to a member. One append carries
	// the commands of one sync, so 64 appends carry the commands of 25 ms or more.
	// Neither a slow sync nor a slow network therefore delays new appends.
	maxInflightAppends = 64
	maxPendingCalls    = 16_384
	maxInboxMessages   = 8_192
	// maxCatchUpTimeouts bounds the missed ticks that one round makes up for, in
	// election timeouts.
	maxCatchUpTimeouts = 4
)

// callIntervalPerVoter, multiplied by the number of other voters in the group, is the minimum
// time between two rounds that process calls. For two other voters this time is shorter than
// a sync of a slow disk. With more, a leader that didn't batch calls would send several
// thousand log messages per second, which takes a large part of a small processor. Learners
// don't count: they get the entries of all rounds of a tick together.
const callIntervalPerVoter = 2 * time.Millisecond

// uncommittedCallFactor is the multiple of the call interval after which calls are processed
// although earlier commands aren't committed yet.
const uncommittedCallFactor = 4

// Config holds the fixed settings of a Group.
type Config struct {
	// Group names the log; it is the same on all members.
	Group string
	// ID identifies this member in the group.
	ID string
	// Incarnation is the incarnation of this start of the member; 0 means the wall clock
	// in milliseconds. A member that finds its state on disk uses the incarnation stored
	// in it.
	Incarnation uint64
	// Members is the initial membership.
	Members []replica.Member
	// Folder holds the log; empty for a member without a disk.
	Folder string
	// Files is the file system with Folder; nil means that of the operating system.
	Files vfs.FS
	// ExpectState says that an earlier run of the member has stored state. If the log is empty
	// nevertheless, the member logs that and is treated as one that has lost its disk.
	ExpectState bool
	// TickInterval is the unit of ElectionTicks and HeartbeatTicks.
	TickInterval time.Duration
	// Work sums up the time of the log's rounds; nil sums up nothing.
	Work *worktime.Ledger
	// ElectionTicks is the shortest election timeout in ticks. If it is 0, ElectionTicks
	// and HeartbeatTicks both get their defaults.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of entries between snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the total size of the commands between two snapshots, in bytes. If
	// the latest snapshot is larger, its size is used instead. Commands of at most half of
	// SnapshotBytes stay in memory after a snapshot, for members that lag.
	//
	// Without this bound, a log of long commands, such as whole configuration
	// documents, outgrows the memory of the process long before it has SnapshotEntries
	// entries.
	SnapshotBytes int
	// KeepEntries is the number of entries before a snapshot that stay in memory for
	// members that lag; 0 means SnapshotEntries.
	KeepEntries int
	// Seed seeds the election timeouts.
	Seed      uint64
	Machine   Machine
	Transport Transport
	// Now returns the time by which ticks are counted; only differences count. It must go on while the
	// machine is suspended. nil means package boottime.
	Now func() time.Time
	// Logger receives a line for each change of role; nil logs nothing.
	Logger log.Logger
	// Fatal must end the process at once. It is called with an ErrEntryFailed, while the state machine may
	// hold a part of the effects of an entry. nil lets Run return the error.
	Fatal func(error)
}

// normalize sets the defaults. It returns an error if a required field is missing.
func (cfg *Config) normalize() error {
	if cfg.Machine == nil || cfg.Transport == nil || cfg.Group == "" {
		return errors.New("group needs a name, a state machine and a transport")
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
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = int(cfg.SnapshotEntries)
	}
	if cfg.Files == nil {
		cfg.Files = vfs.OS{}
	}
	if cfg.Now == nil {
		cfg.Now = steadyNow()
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
	// runCtx ends when the member must stop: that of Open, then that of Run. Only Open and Run
	// use diskRetry.
	runCtx    context.Context
	diskRetry vfs.RetryWaiter
	// diskTime is the time that this round has spent on the disk. Only Run uses it.
	diskTime time.Duration

	// wake has a buffer of one. A value in it means that calls or inbox hold work.
	wake  chan struct{}
	calls callQueue
	inbox inbox

	// failed are the entries that made the state machine panic. Only the goroutine of Run uses it.
	failed *failedEntries

	// lostState is true from a start without the expected state until the log has an entry.
	lostState bool

	// Only the goroutine of Run uses clock and the fields after it, up to snapshots.
	clock clock
	// callsProcessedAt is when calls were last processed. callsTimer wakes Run when pending
	// calls that have to wait become due.
	callsProcessedAt time.Time
	callsTimer       *time.Timer
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

// Open reads the member's log, if it has one, and restores the state machine from the
// snapshot in it. Run applies the entries after the snapshot. While the disk refuses writes or another
// process has the log locked, Open waits until ctx ends; then the error is wal.ErrDiskRefuses or
// vfs.ErrLocked.
func Open(ctx context.Context, cfg Config) (*Group, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	g := &Group{
		cfg:       cfg,
		logger:    log.With(cfg.Logger, "group", cfg.Group, "member", cfg.ID),
		wake:      make(chan struct{}, 1),
		proposals: map[uint64]pendingProposal{},
		done:      make(chan struct{}),
		runCtx:    ctx,
	}
	g.diskRetry.Logger = g.logger
	stored, err := g.openLog()
	if err != nil {
		return nil, err
	}
	if err := g.start(stored); err != nil {
		return nil, errors.CombineErrors(err, g.closeLog())
	}
	return g, nil
}

// lockRetryInterval is the time between two attempts to open a log that another process has locked.
const lockRetryInterval = 50 * time.Millisecond

// openLog opens the log on disk, if the member has one. While another process has it locked, such as
// an earlier process of the instance that is still stopping, it tries again until runCtx ends.
func (g *Group) openLog() (replica.StoredState, error) {
	if g.cfg.Folder == "" {
		return replica.StoredState{}, nil
	}
	w, stored, err := wal.Open(g.cfg.Files, g.cfg.Folder, g.waitForDisk)
	if errors.Is(err, vfs.ErrLocked) {
		_ = g.logger.Log("event", "log_open", "outcome", "locked", "err", err)
	}
	for errors.Is(err, vfs.ErrLocked) && wait.For(g.runCtx, lockRetryInterval) {
		w, stored, err = wal.Open(g.cfg.Files, g.cfg.Folder, g.waitForDisk)
	}
	if err != nil {
		return stored, errors.Wrapf(err, "log of group %s", g.cfg.Group)
	}
	g.wal = w
	g.diskRetry.Succeeded()
	return stored, nil
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
	g.failed = openFailedEntries(g.cfg.Files, g.cfg.Folder, g.logger)
	if g.cfg.ExpectState && stored.Empty() {
		g.lostState = true
		_ = level.Error(g.logger).Log("event", "log_empty", "reason", "the member has run before; its log is treated as lost")
	}
	g.snapshots.done = make(chan snapshotResult, 1)
	if stored.Snapshot.Index > 0 {
		if err := g.cfg.Machine.Restore(stored.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore the snapshot of entry %d", stored.Snapshot.Index)
		}
	}
	g.applied, g.snapshots.lastIndex = stored.Snapshot.Index, stored.Snapshot.Index
	g.snapshots.lastBytes = len(stored.Snapshot.Data)
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
