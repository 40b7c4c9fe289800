package replica

import "github.com/cockroachdb/errors"

// Defaults and bounds of Config.
const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	defaultMaxEntries     = 256
	defaultMaxInflight    = 16
	minElectionTicks      = 5
	// leaseMarginDivisor sets the margin between the end of the lease and the
	// election timeout: the timeout divided by it.
	leaseMarginDivisor = 4
	// minLeaseMarginTicks is the least number of ticks between the end of the lease
	// and the first vote: one for each of the two clocks, whose position within a tick
	// is unknown.
	minLeaseMarginTicks = 2
)

// Config holds the fixed settings of a member.
type Config struct {
	// ID names the member. It is unique in the group and never reused for another
	// member.
	ID string
	// Incarnation must differ between the starts of the same ID without stored state, and
	// must not be zero. Pass the wall clock in milliseconds at process start: a cold start
	// also derives its term from it, so that terms don't recur even when all members have
	// lost their state. After a clock that went back, the member takes a later incarnation
	// once another member tells it of an earlier start. If two processes run under one ID,
	// each makes the other recover again, and neither takes part for long.
	Incarnation uint64
	// HasDisk says that the caller syncs each Ready to disk and passes it back as
	// StoredState.
	HasDisk bool
	// Members is the initial membership, used only when StoredState is empty.
	Members []Member
	// ElectionTicks is the least number of ticks without a leader after which a member
	// campaigns. The number is random, from ElectionTicks up to twice ElectionTicks, and
	// higher after late heartbeats and on a member outside the group. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats. Default 2.
	HeartbeatTicks int
	// Seed seeds the random election timeouts, together with the ID.
	Seed uint64
	// MaxEntriesPerMessage bounds the entries of one append. Default 256.
	MaxEntriesPerMessage int
	// MaxInflight bounds the appends in flight to one member. Default 16.
	MaxInflight int
	// KeepEntries is the number of entries before a snapshot that Compact keeps, so
	// that a member that is a few entries behind needs no snapshot.
	KeepEntries int
	// KeepBytes bounds the total data of the entries that KeepEntries keeps, in bytes;
	// 0 means no bound.
	KeepBytes int
}

// normalize sets the defaults and returns an ErrConfig for settings that can't be
// used.
func (cfg *Config) normalize() error {
	setDefault(&cfg.ElectionTicks, defaultElectionTicks)
	setDefault(&cfg.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&cfg.MaxEntriesPerMessage, defaultMaxEntries)
	setDefault(&cfg.MaxInflight, defaultMaxInflight)
	switch {
	case cfg.ID == "":
		return errors.Wrap(ErrConfig, "ID is empty")
	case cfg.Incarnation == 0:
		return errors.Wrap(ErrConfig, "Incarnation is zero")
	case cfg.ElectionTicks < minElectionTicks:
		return errors.Wrapf(ErrConfig, "ElectionTicks is less than %d", minElectionTicks)
	case cfg.HeartbeatTicks < 1 || cfg.HeartbeatTicks >= cfg.leaseTicks():
		return errors.Wrapf(ErrConfig, "HeartbeatTicks is %d, must be at least 1 and less than the lease of %d ticks", cfg.HeartbeatTicks, cfg.leaseTicks())
	case cfg.MaxEntriesPerMessage < 1 || cfg.MaxInflight < 1 || cfg.KeepEntries < 0 || cfg.KeepBytes < 0:
		return errors.Wrap(ErrConfig, "MaxEntriesPerMessage and MaxInflight must be positive, KeepEntries and KeepBytes not negative")
	}
	return nil
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// leaseTicks returns how many ticks a leader may decide after sending a heartbeat to
// which a majority replied. The members that replied refuse votes for ElectionTicks after
// they received the heartbeat, which is later than it was sent. The margin covers the
// position of both clocks within a tick and a difference of a quarter in their rates.
func (cfg *Config) leaseTicks() int {
	margin := max(minLeaseMarginTicks, cfg.ElectionTicks/leaseMarginDivisor)
	return cfg.ElectionTicks - margin
}
