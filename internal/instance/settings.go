// Package instance runs the two daemons of a cell whose data centres share one log:
// bilberry-cored on instances with a disk, bilberry-edged on those that serve callers. It
// reads their settings, opens their sockets, and shuts them down gracefully, so that
// requests in flight get their response.
package instance

import (
	"context"
	"net"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// SettingsEnv is the environment variable with the path of the settings file.
const SettingsEnv = "BILBERRYFERRY_CONFIG"

// Settings are the settings of one process of a deployment.
type Settings struct {
	// Instance is the name of this instance in logs.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// Address is the IP address of this machine.
	Address string `toml:"address"`
	// InternalPort is the port for calls between instances, the same on all instances.
	InternalPort string `toml:"internal_port"`
	// MetricsAddress is where counters and histograms are served; if it is empty, they
	// aren't served.
	MetricsAddress string `toml:"metrics_address"`
	// EntryAddress is the address for callers and ReadinessAddress that of the readiness
	// check, both of an edge instance. ControlAddress is the control address of a core
	// instance.
	EntryAddress     string `toml:"entry"`
	ReadinessAddress string `toml:"readiness"`
	ControlAddress   string `toml:"control"`
	// APIAddress is the address of the product API; if it is empty, it isn't served.
	// APIToken is the file with the token that its callers must present.
	APIAddress   string `toml:"api"`
	APITokenFile string `toml:"api_token"`
	// Seeds are the control addresses of core instances.
	Seeds []string `toml:"seeds"`
	// MemoryMB is the memory in MB that the machine allows the process; 0 for no limit.
	MemoryMB int `toml:"memory_mb"`
	// MaxFiles is the number of file descriptors that the machine allows the process; 0
	// for the limit of the operating system.
	MaxFiles int `toml:"max_files"`
	// FirstStart is true on the first start of the whole system.
	FirstStart bool `toml:"first_start"`
	// DataFolder is the folder for the log on the machine's disk.
	DataFolder string `toml:"data_folder"`
	// AdviserAddress is the address of the adviser, which responds to queries for permits;
	// empty if there is no adviser.
	AdviserAddress string `toml:"adviser"`
	// WorkerOrders is how workers get their orders: "push" for calls to the workers,
	// "heartbeat" for orders in the responses to heartbeats. Empty means "push".
	WorkerOrders string `toml:"worker_orders"`
	// MaxDirectCalls bounds the calls per second that a leader makes to workers itself; the other
	// core instances make the rest. With 0 they make all. Without the setting, the default of the
	// forwarder applies.
	MaxDirectCalls *int `toml:"direct_calls"`
	// MachineListAddress is the address of the deployment's list of machines; empty if there
	// is no such list.
	MachineListAddress string `toml:"machine_list"`
	// ToleratedFailures is how many core instances may fail at the same time.
	ToleratedFailures int    `toml:"instances_lost"`
	Bounds            Bounds `toml:"bounds"`
	// Terms is accepted and ignored, so that settings written for earlier versions stay valid.
	Terms []string `toml:"terms"`
	// LoadControl is the control of overload: bounds on calls by rank, admission by what can end in
	// time, and bounds for each customer at the edge instances. It is on without the setting, because
	// any instance can be short of processor.
	LoadControl bool `toml:"load_control"`
	// DisabledMechanisms switches off mechanisms of the scheduler, to measure the effect
	// of each.
	DisabledMechanisms dispatch.Disabled `toml:"without"`
}

// Bounds are the time limits of a deployment.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease settings.Duration `toml:"lease_max"`
	// EndedJobRetention is the minimum time for which the state of an ended job is kept.
	EndedJobRetention settings.Duration `toml:"shown"`
	// MachineHandoverDelay is the minimum time between the orders of two instances for
	// one machine.
	MachineHandoverDelay settings.Duration `toml:"holder_pause"`
	// MaintenanceDuration is how long a machine is down for its maintenance.
	MaintenanceDuration settings.Duration `toml:"maintenance"`
	// ShutdownTimeout is how long a process may take to shut down.
	ShutdownTimeout settings.Duration `toml:"shutdown"`
}

// defaultBounds are used for the bounds that the settings file leaves out.
var defaultBounds = Bounds{
	MaxLease:             settings.Duration(6 * time.Second),
	EndedJobRetention:    settings.Duration(120 * time.Second),
	ShutdownTimeout:      settings.Duration(6 * time.Second),
	MachineHandoverDelay: settings.Duration(3 * time.Second),
	MaintenanceDuration:  settings.Duration(2 * time.Second),
}

const (
	// loadTimeout is how long Load waits for a valid settings file.
	loadTimeout = time.Second
	// loadRetryInterval is the time between two reads of an invalid settings file.
	loadRetryInterval = 20 * time.Millisecond
)

// Load reads and validates a settings file. It also returns the content of the file. If the file
// is missing or invalid, Load reads it again until loadTimeout has passed or ctx ends, since the
// file may still be being written. A cut off file can be whole TOML that lacks a setting, so no
// error is exempt.
func Load(ctx context.Context, path string) (*Settings, string, error) {
	started := time.Now()
	for {
		settings, content, err := loadOnce(path)
		if err == nil || time.Since(started) >= loadTimeout || !wait.For(ctx, loadRetryInterval) {
			return settings, content, err
		}
	}
}

// loadOnce reads and validates a settings file.
func loadOnce(path string) (*Settings, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrap(err, "read the settings")
	}
	settings, err := Parse(string(data))
	return settings, string(data), err
}

// Parse parses and validates settings in TOML. The error of an invalid setting is a fault
// that names the field.
func Parse(text string) (*Settings, error) {
	s := &Settings{Bounds: defaultBounds, LoadControl: true}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, fault.Field("settings", "%v", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.Field(unknown[0].String(), "no such setting")
	}
	return s, s.check()
}

// check returns a fault that names the first invalid field.
func (s *Settings) check() error {
	if s.Instance == "" {
		return fault.Field("instance", "missing")
	}
	if net.ParseIP(s.Address) == nil {
		return fault.Field("address", "%q is not an IP address", s.Address)
	}
	if s.InternalPort == "" {
		return fault.Field("internal_port", "missing")
	}
	if s.MaxFiles < 0 {
		return fault.Field("max_files", "%d is negative", s.MaxFiles)
	}
	if s.ToleratedFailures < 0 {
		return fault.Field("instances_lost", "%d is negative", s.ToleratedFailures)
	}
	if s.WorkerOrders != "" && s.WorkerOrders != ordersPush && s.WorkerOrders != ordersHeartbeat {
		return fault.Field("worker_orders", "%q is neither %q nor %q", s.WorkerOrders, ordersPush, ordersHeartbeat)
	}
	if s.MaxDirectCalls != nil && *s.MaxDirectCalls < 0 {
		return fault.Field("direct_calls", "%d is negative", *s.MaxDirectCalls)
	}
	if s.APIAddress != "" && s.APITokenFile == "" {
		return fault.Field("api_token", "missing: want the file with the token that callers of the API present")
	}
	for name, address := range map[string]string{
		"entry": s.EntryAddress, "readiness": s.ReadinessAddress, "control": s.ControlAddress, "adviser": s.AdviserAddress,
		"machine_list": s.MachineListAddress, "api": s.APIAddress,
	} {
		if err := checkAddress(name, address); err != nil {
			return err
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress("seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

// maxDirectCallsPerSecond returns the bound of a leader's direct calls as the forwarder takes it: 0 for the
// default, a negative number for none.
func (s *Settings) maxDirectCallsPerSecond() int {
	switch {
	case s.MaxDirectCalls == nil:
		return 0
	case *s.MaxDirectCalls == 0:
		return -1
	}
	return *s.MaxDirectCalls
}

// Values of Settings.WorkerOrders.
const (
	ordersPush      = "push"
	ordersHeartbeat = "heartbeat"
)

// checkAddress returns a fault if an address is neither empty nor HOST:PORT.
func checkAddress(field, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fault.Field(field, "%q is not HOST:PORT", address)
	}
	return nil
}

// seedHosts returns the IP addresses of the seeds, each once.
func (s *Settings) seedHosts() []string {
	var hosts []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// internalAddress returns the internal address of the instance on a host.
func (s *Settings) internalAddress(host string) string { return net.JoinHostPort(host, s.InternalPort) }

// seedAddresses returns the internal addresses of the seeds.
func (s *Settings) seedAddresses() []string {
	var addresses []string
	for _, host := range s.seedHosts() {
		addresses = append(addresses, s.internalAddress(host))
	}
	return addresses
}

// votersFor returns the number of voting members at which a majority remains after the
// given number of failures; at least 3.
func votersFor(failures int) int { return 2*max(failures, 1) + 1 }
