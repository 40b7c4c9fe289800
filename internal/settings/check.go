package settings

import (
	"time"

	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
)

// NamePattern matches the names of instances, data centres and customers. The names occur
// in job ids, paths and log lines, so they contain no separators.
var NamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// LogLevels are the valid values of log.level.
var LogLevels = []string{"debug", "info", "warn", "error"}

// check validates the settings without reading any other file.
func (s *Settings) check(file *tomlfile.File) error {
	checks := []func(*tomlfile.File) error{
		s.checkNames, s.checkAddresses, s.checkMembers, s.checkConfigVoters,
		s.checkTokens, s.checkLimits, s.checkTiming,
	}
	for _, check := range checks {
		if err := check(file); err != nil {
			return err
		}
	}
	return nil
}

// instancePath returns the path of a key of the instance with index i, such as
// "instance[1].entry", or of the instance itself for an empty key.
func instancePath(i int, key string) string {
	path := "instance[" + strconv.Itoa(i) + "]"
	if key == "" {
		return path
	}
	return path + "." + key
}

// checkNames rejects invalid names and duplicate ids of instances.
func (s *Settings) checkNames(file *tomlfile.File) error {
	if !NamePattern.MatchString(s.Deployment) {
		return file.Errorf("deployment", "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", s.Deployment)
	}
	if len(s.Instances) == 0 {
		return file.Errorf("instance", "at least one [[instance]] is needed")
	}
	seen := make(map[string]int)
	for i, instance := range s.Instances {
		if !NamePattern.MatchString(instance.ID) {
			return file.Errorf(instancePath(i, "id"), "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", instance.ID)
		}
		if !NamePattern.MatchString(instance.DataCentre) {
			return file.Errorf(instancePath(i, "data_centre"), "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", instance.DataCentre)
		}
		if firstIndex, ok := seen[instance.ID]; ok {
			return file.Errorf(instancePath(i, "id"), "%q is already the id of %s", instance.ID, instancePath(firstIndex, ""))
		}
		seen[instance.ID] = i
	}
	return nil
}

// addressKey is a key of an instance's settings that holds an address.
type addressKey struct {
	key      string
	value    func(*Instance) string
	required bool
	// admin is true for an address that other instances never dial. Such an address may be
	// unspecified, for example 0.0.0.0.
	admin bool
}

var addressKeys = []addressKey{
	{"entry", func(i *Instance) string { return i.Entry }, true, false},
	{"entry_admin", func(i *Instance) string { return i.EntryAdmin }, false, true},
	{"cell", func(i *Instance) string { return i.Cell }, false, false},
	{"cell_admin", func(i *Instance) string { return i.CellAdmin }, false, true},
}

// checkAddresses rejects invalid addresses and those that two processes share.
func (s *Settings) checkAddresses(file *tomlfile.File) error {
	used := make(map[string]string)
	for i := range s.Instances {
		instance := &s.Instances[i]
		for _, key := range addressKeys {
			path := instancePath(i, key.key)
			value := key.value(instance)
			if value == "" && !key.required {
				continue
			}
			address, err := netip.ParseAddrPort(value)
			if err != nil || address.Port() == 0 {
				return file.Errorf(path, "%q isn't an IP address with a port, such as \"10.0.0.1:7400\"", value)
			}
			if !key.admin && address.Addr().IsUnspecified() {
				return file.Errorf(path, "%q can't be dialled by other instances; name one address of the machine", value)
			}
			scopedAddress := addressScope(instance, address) + address.String()
			if otherPath, ok := used[scopedAddress]; ok {
				return file.Errorf(path, "%q is already %s", value, otherPath)
			}
			used[scopedAddress] = path
		}
	}
	return nil
}

// addressScope returns a prefix for an address of an instance. It distinguishes loopback
// and unspecified addresses of different machines, because each machine may use the same
// 127.0.0.1 port. For these addresses the prefix is the IP address of entry, unless that is
// a loopback address too; for all others it is empty.
func addressScope(instance *Instance, address netip.AddrPort) string {
	if !address.Addr().IsLoopback() && !address.Addr().IsUnspecified() {
		return ""
	}
	entry, err := netip.ParseAddrPort(instance.Entry)
	if err != nil || entry.Addr().IsLoopback() {
		return ""
	}
	return entry.Addr().String() + " "
}

// checkMembers rejects data folders and witness roles of instances without a cell
// address, and witnesses of data centres that are the instance's own, unknown or
// named twice.
func (s *Settings) checkMembers(file *tomlfile.File) error {
	dataCentres := s.DataCentres()
	for i, instance := range s.Instances {
		if instance.Cell == "" && instance.DataFolder != "" {
			return file.Errorf(instancePath(i, "data_folder"), "an instance without a cell address keeps no data")
		}
		if instance.Cell == "" && len(instance.WitnessFor) > 0 {
			return file.Errorf(instancePath(i, "witness_for"), "an instance without a cell address can't be a witness")
		}
		for j, dataCentre := range instance.WitnessFor {
			if dataCentre == instance.DataCentre {
				return file.Errorf(instancePath(i, "witness_for"), "%q is the instance's own data centre", dataCentre)
			}
			if !slices.Contains(dataCentres, dataCentre) {
				return file.Errorf(instancePath(i, "witness_for"), "no instance is in data centre %q", dataCentre)
			}
			if slices.Contains(instance.WitnessFor[:j], dataCentre) {
				return file.Errorf(instancePath(i, "witness_for"), "%q is named twice", dataCentre)
			}
		}
	}
	return s.checkLocalMajority(file)
}

// checkLocalMajority ensures that the instances of each data centre are a majority
// of its log's voters, so that the data centre still commits when it is partitioned
// from the others.
func (s *Settings) checkLocalMajority(file *tomlfile.File) error {
	for _, dataCentre := range s.DataCentres() {
		members := s.CellMembers(dataCentre)
		ownVoters := 0
		for _, member := range members {
			if member.DataCentre == dataCentre {
				ownVoters++
			}
		}
		if ownVoters == 0 {
			return file.Errorf("instance", "data centre %q has no instance with a cell address", dataCentre)
		}
		if 2*ownVoters <= len(members) {
			return file.Errorf("instance", "data centre %q has %d own instances and %d witnesses; partitioned from the others, it could commit nothing",
				dataCentre, ownVoters, len(members)-ownVoters)
		}
	}
	return nil
}

// minDataCentresToSpreadVoters is the smallest number of data centres of a deployment whose
// configuration log must survive the loss of any one data centre.
const minDataCentresToSpreadVoters = 3

// checkConfigVoters ensures that the configuration log has voters and, with
// minDataCentresToSpreadVoters or more, that no data centre holds a majority of them.
func (s *Settings) checkConfigVoters(file *tomlfile.File) error {
	perDataCentre := make(map[string]int)
	total := 0
	for i, instance := range s.Instances {
		if !instance.ConfigVoter {
			continue
		}
		if instance.Cell == "" {
			return file.Errorf(instancePath(i, "config_voter"), "an instance without a cell address can't vote")
		}
		perDataCentre[instance.DataCentre]++
		total++
	}
	if total == 0 {
		return file.Errorf("instance", "at least one instance needs config_voter = true")
	}
	if len(s.DataCentres()) < minDataCentresToSpreadVoters {
		return nil
	}
	for _, dataCentre := range s.DataCentres() {
		if 2*perDataCentre[dataCentre] > total {
			return file.Errorf("instance", "data centre %q holds %d of %d configuration voters; no single one may hold a majority",
				dataCentre, perDataCentre[dataCentre], total)
		}
	}
	return nil
}

// checkTokens rejects missing token files and invalid or duplicate customers.
func (s *Settings) checkTokens(file *tomlfile.File) error {
	seen := make(map[string]bool)
	for i, customer := range s.Tokens.Customers {
		path := "tokens.customer[" + strconv.Itoa(i) + "]"
		if !NamePattern.MatchString(customer.Name) {
			return file.Errorf(path+".name", "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", customer.Name)
		}
		if seen[customer.Name] {
			return file.Errorf(path+".name", "customer %q is named twice", customer.Name)
		}
		seen[customer.Name] = true
		if customer.File == "" {
			return file.Errorf(path+".file", "the token file is missing")
		}
	}
	required := []struct{ key, value string }{
		{"operator_file", s.Tokens.Operator},
		{"worker_file", s.Tokens.Worker},
		{"minion_file", s.Tokens.Minion},
		{"peer_file", s.Tokens.Peer},
	}
	for _, r := range required {
		if r.value == "" {
			return file.Errorf("tokens."+r.key, "the token file is missing")
		}
	}
	return nil
}

// Maximums of the limits that an operator may set.
const (
	maxBodyBytes   = 64 << 20
	maxQueuedTasks = 1_000_000
	maxTasksPerJob = 100_000
)

// checkLimits rejects limits out of range and unknown log levels.
func (s *Settings) checkLimits(file *tomlfile.File) error {
	limits := []struct {
		key        string
		value, max int64
	}{
		{"body", int64(s.Limits.Body), maxBodyBytes},
		{"payload", int64(s.Limits.Payload), int64(s.Limits.Body)},
		{"queue", int64(s.Limits.Queue), maxQueuedTasks},
		{"max_tasks", int64(s.Limits.MaxTasks), maxTasksPerJob},
	}
	for _, l := range limits {
		if l.value < 1 || l.value > l.max {
			return file.Errorf("limits."+l.key, "must be from 1 to %d, is %d", l.max, l.value)
		}
	}
	if !slices.Contains(LogLevels, s.Log.Level) {
		return file.Errorf("log.level", "%q is none of debug, info, warn, error", s.Log.Level)
	}
	return nil
}

// minRenewSlack is the time by which a worker's lease must exceed two renewals that are
// held as long polls. If the instance that holds the second one is lost, the worker has
// minRenewSlack to find the new leader before its lease expires.
const minRenewSlack = Duration(time.Second)

// checkTiming rejects durations that aren't positive and those too short relative to
// others.
func (s *Settings) checkTiming(file *tomlfile.File) error {
	t := s.Timing
	positive := []struct {
		key   string
		value Duration
	}{
		{"tick", t.Tick}, {"heartbeat", t.Heartbeat}, {"election", t.Election}, {"worker_lease", t.WorkerLease},
		{"renew_hold", t.RenewHold}, {"drift", t.Drift}, {"minion_ttl", t.MinionTTL}, {"slot_lease", t.SlotLease},
		{"max_request", t.MaxRequest}, {"unready_grace", t.UnreadyGrace}, {"shutdown", t.Shutdown},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return file.Errorf("timing."+p.key, "must be above zero, is %s", p.value)
		}
	}
	minimums := []struct {
		key            string
		value, minimum Duration
		// bound describes the minimum in the error.
		bound string
	}{
		{"heartbeat", t.Heartbeat, t.Tick, "timing.tick"},
		{"election", t.Election, 2 * t.Heartbeat, "twice timing.heartbeat"},
		{"worker_lease", t.WorkerLease, 2*t.RenewHold + minRenewSlack, "twice timing.renew_hold and a second"},
		{"worker_lease", t.WorkerLease, t.Drift, "timing.drift"},
		// Adding 1 ns allows max_request to equal slot_lease.
		{"max_request", t.MaxRequest + 1, t.SlotLease, "or equal to timing.slot_lease"},
	}
	for _, m := range minimums {
		if m.value <= m.minimum {
			return file.Errorf("timing."+m.key, "is %s and must be longer than %s, %s", m.value, m.bound, m.minimum)
		}
	}
	return nil
}
