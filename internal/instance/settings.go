// Package instance runs the two daemons of a cell whose data centres share one
// log: bilberry-cored on instances with a disk, bilberry-edged on those that
// face callers. It reads their settings, opens their sockets, and stops them
// without cutting off a request.
package instance

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// SettingsEnv names the variable that holds the path of the settings file.
const SettingsEnv = "BILBERRYFERRY_CONFIG"

// Settings is one process's view of its deployment.
type Settings struct {
	// Instance names this machine in logs.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// Address is the machine's IP address.
	Address string `toml:"address"`
	// InternalPort is where instances reach each other, the same on all.
	InternalPort string `toml:"internal_port"`
	// MetricsAddress serves counters and histograms; empty for none.
	MetricsAddress string `toml:"metrics_address"`
	// Entry, Readiness and Control are the addresses that the process serves.
	Entry     string `toml:"entry"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
	// API serves the product's own interface, empty for none; its callers show the
	// token in the file APIToken.
	API      string `toml:"api"`
	APIToken string `toml:"api_token"`
	// Seeds are control addresses of core instances.
	Seeds []string `toml:"seeds"`
	// MemoryMB is what the machine lets the process use; 0 for no bound.
	MemoryMB int `toml:"memory_mb"`
	// MaxFiles is how many descriptors the machine lets the process have open; 0 for
	// what the operating system says.
	MaxFiles int `toml:"max_files"`
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool `toml:"first_start"`
	// DataFolder is on the machine's disk.
	DataFolder string `toml:"data_folder"`
	// Adviser is where questions about permits go; empty for none.
	Adviser string `toml:"adviser"`
	// WorkerOrders is how workers get their orders: by calls, which is "push", or
	// with the answers to their heartbeats, which is "heartbeat".
	WorkerOrders string `toml:"worker_orders"`
	// MachineList is where the deployment's list of machines is; empty for none.
	MachineList string `toml:"machine_list"`
	// ToleratedFailures is how many core instances may be lost at the same time.
	ToleratedFailures int    `toml:"instances_lost"`
	Bounds            Bounds `toml:"bounds"`
	// Without switches mechanisms of deciding off, to measure what each is worth.
	DisabledMechanisms dispatch.Disabled `toml:"without"`
}

// Bounds are the deployment's times.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease settings.Duration `toml:"lease_max"`
	// Shown is how long an ended job is shown at least.
	EndedJobRetention settings.Duration `toml:"shown"`
	// MachineHandoverDelay is how long orders of two instances for one machine lie apart.
	MachineHandoverDelay settings.Duration `toml:"holder_pause"`
	// Maintenance is how long a machine is down for its maintenance.
	MaintenanceDuration settings.Duration `toml:"maintenance"`
	// Shutdown is how long a process that is told to stop may go on.
	Shutdown settings.Duration `toml:"shutdown"`
}

// defaultBounds hold where the settings name nothing.
var defaultBounds = Bounds{
	MaxLease:             settings.Duration(6 * time.Second),
	EndedJobRetention:    settings.Duration(120 * time.Second),
	Shutdown:             settings.Duration(6 * time.Second),
	MachineHandoverDelay: settings.Duration(3 * time.Second),
	MaintenanceDuration:  settings.Duration(2 * time.Second),
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(string(data))
}

// Parse reads and checks settings.
func Parse(text string) (*Settings, error) {
	s := &Settings{Bounds: defaultBounds}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, fault.Field("settings", "%v", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.Field(unknown[0].String(), "no such setting")
	}
	return s, s.check()
}

func (s *Settings) check() error {
	if s.Instance == "" {
		return fault.Field("instance", "missing")
	}
	if net.ParseIP(s.Address) == nil {
		return fault.Field("address", "%q is no IP address", s.Address)
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
	if s.API != "" && s.APIToken == "" {
		return fault.Field("api_token", "missing: the file that holds the token of those who call the interface")
	}
	for name, address := range map[string]string{
		"entry": s.Entry, "readiness": s.Readiness, "control": s.Control, "adviser": s.Adviser,
		"machine_list": s.MachineList, "api": s.API,
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

// Ways in which workers get their orders.
const (
	ordersPush      = "push"
	ordersHeartbeat = "heartbeat"
)

func checkAddress(field, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fault.Field(field, "%q is not HOST:PORT", address)
	}
	return nil
}

// seedHosts returns the IP addresses of the seeds.
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

// internal returns where another instance is reached.
func (s *Settings) internal(host string) string { return net.JoinHostPort(host, s.InternalPort) }

// seedAddresses returns where the seeds are reached by other instances.
func (s *Settings) seedAddresses() []string {
	var addresses []string
	for _, host := range s.seedHosts() {
		addresses = append(addresses, s.internal(host))
	}
	return addresses
}

// votersFor is how many members must vote so that losing some leaves a majority.
func votersFor(failures int) int { return 2*max(failures, 1) + 1 }
