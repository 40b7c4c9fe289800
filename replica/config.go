package replica

import "github.com/cockroachdb/errors"

// Defaults and bounds of Config.
const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	defaultMaxEntries     = 256
	defaultMaxInflight    = 16
	minElectionTicks      = 5
	// leaseMarginDivisor: a leader's lease is the election timeout less this part of it.
	leaseMarginDivisor = 4
	// minLeaseMarginTicks is the least number of ticks between the end of the lease
	// and the first vote: one for the phase of each clock.
	minLeaseMarginTicks = 2
)

// Config is the fixed part of a member.
type Config struct {
	// ID names the member; unique in the group and never given to another.
	ID string
	// Incarnation must grow from one blank start of this ID to the next. Give
	// the wall clock in milliseconds at process start: a cold start also takes
	// its term from it, so that terms don't recur even when everything was
	// forgotten. Not zero.
	Incarnation uint64
	// HasDisk says that the caller syncs Ready to disk and gives it back as Stored.
	HasDisk bool
	// Members is the initial membership, used only when Stored is empty.
	Members []Member
	// ElectionTicks without a leader let a member campaign (randomised up to
	// twice that). Default 10.
	ElectionTicks int
	// HeartbeatTicks lie between two heartbeats. Default 2.
	HeartbeatTicks int
	// Seed of the election timeouts; mixed with the ID.
	Seed uint64
	// MaxEntriesPerMessage bounds an append. Default 256.
	MaxEntriesPerMessage int
	// MaxInflight bounds the appends sent to a member and not yet answered. Default 16.
	MaxInflight int
	// KeepEntries is how many entries before a snapshot Compact keeps, so that
	// a member that lags a little needs no snapshot.
	KeepEntries int
	// KeepBytes bounds the data of those entries together; 0 means no bound.
	KeepBytes int
}

func (cfg *Config) normalize() error {
	setDefault(&cfg.ElectionTicks, defaultElectionTicks)
	setDefault(&cfg.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&cfg.MaxEntriesPerMessage, defaultMaxEntries)
	setDefault(&cfg.MaxInflight, defaultMaxInflight)
	switch {
	case cfg.ID == "":
		return errors.Wrap(ErrConfig, "empty ID")
	case cfg.Incarnation == 0:
		return errors.Wrap(ErrConfig, "zero incarnation")
	case cfg.ElectionTicks < minElectionTicks:
		return errors.Wrapf(ErrConfig, "fewer than %d election ticks", minElectionTicks)
	case cfg.HeartbeatTicks < 1 || cfg.HeartbeatTicks >= cfg.leaseTicks():
		return errors.Wrapf(ErrConfig, "heartbeat of %d ticks in a lease of %d", cfg.HeartbeatTicks, cfg.leaseTicks())
	case cfg.MaxEntriesPerMessage < 1 || cfg.MaxInflight < 1 || cfg.KeepEntries < 0 || cfg.KeepBytes < 0:
		return errors.Wrap(ErrConfig, "negative bound")
	}
	return nil
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// leaseTicks is how long a leader may decide after sending a heartbeat that a
// majority answered. The answering members refuse votes for ElectionTicks
// after they received it, which is later than it was sent; the margin covers
// the phase of both clocks and a quarter of difference in their rates.
func (cfg *Config) leaseTicks() int {
	margin := max(minLeaseMarginTicks, cfg.ElectionTicks/leaseMarginDivisor)
	return cfg.ElectionTicks - margin
}
