// Package settings reads and checks the TOML settings of the daemons. One file describes a
// whole deployment; a flag tells each process to which instance it belongs. A process reads
// its settings once, when it starts. Values that operators change at run time are in the
// shared configuration (package conf).
package settings

import (
	"time"

	"github.com/bilberryferry/bilberryferry/internal/units"
)

// Settings describes one deployment.
type Settings struct {
	// Deployment is the name of the deployment in logs and events.
	Deployment string     `toml:"deployment"`
	Instances  []Instance `toml:"instance"`
	Tokens     Tokens     `toml:"tokens"`
	Limits     Limits     `toml:"limits"`
	Timing     Timing     `toml:"timing"`
	Log        Log        `toml:"log"`

	warnings []string
}

// Instance is one machine of the system with the addresses of its processes.
type Instance struct {
	ID         string `toml:"id"`
	DataCentre string `toml:"data_centre"`
	// Entry is the IP address and port at which callers, workers, minions and
	// operators reach bilberry-entryd.
	Entry string `toml:"entry"`
	// EntryAdmin is the address of bilberry-entryd's metrics, health and profiles.
	EntryAdmin string `toml:"entry_admin"`
	// Cell is the address at which peers reach bilberry-celld; empty when the
	// instance doesn't run it.
	Cell string `toml:"cell"`
	// CellAdmin is the address of bilberry-celld's metrics, health and profiles.
	CellAdmin string `toml:"cell_admin"`
	// DataFolder is the path of the folder for the replicated log of bilberry-celld; empty
	// for an instance without a disk.
	DataFolder string `toml:"data_folder"`
	// ConfigVoter makes the instance a voter of the configuration log.
	ConfigVoter bool `toml:"config_voter"`
	// WitnessFor names other data centres. This instance is a voter of their logs that
	// never becomes leader.
	WitnessFor []string `toml:"witness_for"`
}

// Tokens names the files that hold the bearer tokens, one token in each file.
type Tokens struct {
	Customers []CustomerToken `toml:"customer"`
	Operator  string          `toml:"operator_file"`
	Worker    string          `toml:"worker_file"`
	Minion    string          `toml:"minion_file"`
	Peer      string          `toml:"peer_file"`
}

// CustomerToken names one customer and its token file.
type CustomerToken struct {
	Name string `toml:"name"`
	File string `toml:"file"`
}

// Limits bounds the input that a process accepts.
type Limits struct {
	// Body is the largest size of a request body.
	Body Size `toml:"body"`
	// Payload is the largest size of a job's payload.
	Payload Size `toml:"payload"`
	// Queue is the largest number of queued tasks in one data centre.
	Queue int `toml:"queue"`
	// MaxTasks is the largest number of tasks of one job.
	MaxTasks int `toml:"max_tasks"`
}

// Timing holds the durations of leases, elections and retries.
type Timing struct {
	// Tick is the resolution of the replication timers.
	Tick Duration `toml:"tick"`
	// Heartbeat is the interval at which a leader sends heartbeats to an idle member.
	Heartbeat Duration `toml:"heartbeat"`
	// Election is the time without a leader after which a member starts an election.
	Election Duration `toml:"election"`
	// WorkerLease is how long a worker may keep running tasks without a renewal of its
	// lease.
	WorkerLease Duration `toml:"worker_lease"`
	// RenewHold is how long a lease renewal is held as a long poll for commands.
	RenewHold Duration `toml:"renew_hold"`
	// Drift bounds how far two monotonic clocks diverge during one lease.
	Drift Duration `toml:"drift"`
	// MinionTTL is the time without an announcement after which a minion is
	// considered gone.
	MinionTTL Duration `toml:"minion_ttl"`
	// SlotLease is how long an entry instance may use the slots granted to it.
	SlotLease Duration `toml:"slot_lease"`
	// MaxRequest bounds the duration of one request to a service. When an entry
	// instance is lost, its slots stay withheld for this time after its lease
	// expires, because its requests may still be in flight.
	MaxRequest Duration `toml:"max_request"`
	// UnreadyGrace is how long a stopping entry instance keeps serving after its readiness
	// check has begun to fail, so that the platform's load balancer stops using it before
	// connections are refused.
	UnreadyGrace Duration `toml:"unready_grace"`
	// Shutdown bounds how long a stopping daemon waits for requests in flight.
	Shutdown Duration `toml:"shutdown"`
}

// Log configures a daemon's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Duration is a time span that is written as text with its unit, such as "1500ms".
type Duration time.Duration

// UnmarshalText parses a time span with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := units.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the time span with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the time span with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the time span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Size is a number of bytes that is written as text with its unit, such as "64KiB".
type Size int64

// UnmarshalText parses a number of bytes with its unit.
func (s *Size) UnmarshalText(text []byte) error {
	parsed, err := units.ParseSize(string(text))
	if err != nil {
		return err
	}
	*s = Size(parsed)
	return nil
}

// MarshalText returns the number of bytes with its unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the number of bytes with its unit.
func (s Size) String() string { return units.FormatSize(int64(s)) }
