// Package measure samples the resource usage of running daemons from outside the processes
// and fits a line to its growth with the size of a deployment.
package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// Process is one process to measure.
type Process struct {
	Name string
	PID  int
	// Admin is the address at which the process serves /debug/vars. No counters are read
	// when it is empty.
	Admin string
}

// Config describes a measurement of running daemons.
type Config struct {
	Processes []Process
	// Interval is the time between samples; 0 means DefaultInterval.
	Interval time.Duration
	// Duration is the time from the first to the last sample.
	Duration time.Duration
	// Counters names the counters under /debug/vars to measure. Dots separate the levels
	// of a name; a "*" stands for all keys of a level, whose values are added up.
	Counters []string
}

// DefaultInterval is the time between samples when a Config sets none.
const DefaultInterval = time.Second

// Usage is the resource usage of one process during a measurement.
type Usage struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
	// Seconds is the time from the first to the last sample.
	Seconds float64 `json:"seconds"`
	// CPUPercent is the mean processor time in per cent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// PeakCPUPercent is the processor time of the busiest interval in per cent of one
	// core.
	PeakCPUPercent float64 `json:"peak_cpu_percent"`
	// MemoryMiB is the largest resident memory of all samples.
	MemoryMiB float64 `json:"memory_mib"`
	// ReadBytes and WrittenBytes are bytes per second through read and write calls on
	// sockets and files.
	ReadBytes    float64 `json:"read_bytes_per_second"`
	WrittenBytes float64 `json:"written_bytes_per_second"`
	// Counters holds the rate per second of each counter that the process serves.
	Counters map[string]float64 `json:"counters,omitempty"`
	// Roles maps each replicated log to the process's role in it at the last sample.
	Roles map[string]string `json:"roles,omitempty"`
	// Gone is true when the process couldn't be sampled to the end of the measurement,
	// usually because it ended. The other values then cover the time until its last
	// sample.
	Gone bool `json:"gone,omitempty"`
}

// sample is the state of a process at one moment.
type sample struct {
	at time.Time
	// ticks is the processor time since the start of the process, in clock ticks.
	ticks int64
	// rssBytes is the resident memory in bytes.
	rssBytes int64
	// readBytes and writtenBytes are the bytes through read and write calls since the start.
	readBytes, writtenBytes int64
	// counters and roles are as in Usage, but counters holds totals.
	counters map[string]float64
	roles    map[string]string
}

// ticksPerSecond is the number of clock ticks per second in processor times under
// /proc.
const ticksPerSecond = 100

const bytesPerMiB = 1 << 20

// adminTimeout bounds one request for the counters of a process.
const adminTimeout = 2 * time.Second

// Run samples the processes in cfg.Processes for cfg.Duration, or until ctx ends, and returns
// the usage of each process in the same order. It returns an error when a process can't be
// sampled the first time.
func Run(ctx context.Context, cfg Config) ([]Usage, error) {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	samples := make([][]sample, len(cfg.Processes))
	end := time.Now().Add(cfg.Duration)
	for round := 1; ; round++ {
		for i, process := range cfg.Processes {
			s, err := cfg.sample(ctx, process)
			if err == nil {
				samples[i] = append(samples[i], s)
			} else if len(samples[i]) == 0 {
				return nil, errors.Wrapf(err, "process %s (%d)", process.Name, process.PID)
			}
		}
		// A rate needs two samples, even when the first one took longer than the whole
		// measurement.
		done := !time.Now().Before(end) && round > 1
		if done || !wait.For(ctx, min(cfg.Interval, time.Until(end))) {
			break
		}
	}
	return cfg.usages(samples), nil
}

// usages returns the usage of each process from its samples, in the order of cfg.Processes.
func (cfg Config) usages(samples [][]sample) []Usage {
	maxSamples := 0
	for _, processSamples := range samples {
		maxSamples = max(maxSamples, len(processSamples))
	}
	usages := make([]Usage, 0, len(samples))
	for i, processSamples := range samples {
		u := usageOf(processSamples)
		u.Name = cfg.Processes[i].Name
		u.PID = cfg.Processes[i].PID
		u.Gone = len(processSamples) < maxSamples
		usages = append(usages, u)
	}
	return usages
}

// usageOf returns the usage of a process between its first and last sample.
func usageOf(samples []sample) Usage {
	first, last := samples[0], samples[len(samples)-1]
	seconds := last.at.Sub(first.at).Seconds()
	u := Usage{Seconds: seconds, Counters: make(map[string]float64), Roles: last.roles}
	for i, s := range samples {
		u.MemoryMiB = max(u.MemoryMiB, float64(s.rssBytes)/bytesPerMiB)
		if i > 0 {
			u.PeakCPUPercent = max(u.PeakCPUPercent, cpuPercent(samples[i-1], s))
		}
	}
	if seconds == 0 {
		return u
	}
	u.CPUPercent = cpuPercent(first, last)
	u.ReadBytes = float64(last.readBytes-first.readBytes) / seconds
	u.WrittenBytes = float64(last.writtenBytes-first.writtenBytes) / seconds
	for name, value := range last.counters {
		if firstValue, ok := first.counters[name]; ok {
			u.Counters[name] = (value - firstValue) / seconds
		}
	}
	return u
}

// cpuPercent returns the processor time between two samples in per cent of one core.
func cpuPercent(from, to sample) float64 {
	seconds := to.at.Sub(from.at).Seconds()
	if seconds <= 0 {
		return 0
	}
	return 100 * float64(to.ticks-from.ticks) / ticksPerSecond / seconds
}

// sample takes one sample of a process.
func (cfg Config) sample(ctx context.Context, process Process) (sample, error) {
	folder := filepath.Join("/proc", strconv.Itoa(process.PID))
	s := sample{at: time.Now()}
	var err error
	if s.ticks, s.rssBytes, err = readStat(folder); err != nil {
		return s, err
	}
	if s.readBytes, s.writtenBytes, err = readIO(folder); err != nil {
		return s, err
	}
	if process.Admin != "" && len(cfg.Counters) > 0 {
		vars := readVars(ctx, process.Admin)
		s.counters = countersIn(vars, cfg.Counters)
		s.roles = rolesIn(vars)
	}
	return s, nil
}

// Indexes of the fields of /proc/<pid>/stat, counted from 0 after the closing
// bracket of the command.
const (
	fieldUserTicks   = 11
	fieldSystemTicks = 12
	fieldResident    = 21
)

// readStat returns the processor time in ticks and the resident memory in bytes.
func readStat(folder string) (ticks, rss int64, err error) {
	text, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= fieldResident {
		return 0, 0, errors.Newf("%s/stat has %d fields", folder, len(fields))
	}
	var values [3]int64
	for i, field := range []int{fieldUserTicks, fieldSystemTicks, fieldResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return values[0] + values[1], values[2] * int64(os.Getpagesize()), nil
}

// readIO returns the bytes that the process has passed through read and write calls.
func readIO(folder string) (read, written int64, err error) {
	text, err := os.ReadFile(filepath.Join(folder, "io"))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "rchar":
			read = n
		case "wchar":
			written = n
		}
	}
	return read, written, nil
}

// readVars returns the decoded JSON that the address serves under /debug/vars, or nil when
// it can't be read.
func readVars(ctx context.Context, address string) map[string]any {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var vars map[string]any
	if json.NewDecoder(response.Body).Decode(&vars) != nil {
		return nil
	}
	return vars
}

// countersIn returns the values, by name, of the named counters that vars contains.
func countersIn(vars map[string]any, names []string) map[string]float64 {
	found := make(map[string]float64)
	for _, name := range names {
		if value, ok := lookUp(vars, strings.Split(name, ".")); ok {
			found[name] = value
		}
	}
	return found
}

// rolesIn returns the role of the process in each replicated log, as contained in vars.
func rolesIn(vars map[string]any) map[string]string {
	roles := make(map[string]string)
	groups, _ := vars["roles"].(map[string]any)
	for group, value := range groups {
		if role, ok := value.(string); ok {
			roles[group] = role
		}
	}
	return roles
}

// wildcard matches every key of a level in the name of a counter.
const wildcard = "*"

// lookUp returns the number at a path, or the sum of all numbers that a path with
// a wildcard matches.
func lookUp(vars map[string]any, path []string) (float64, bool) {
	if path[0] == wildcard {
		sum, found := 0.0, false
		for key := range vars {
			value, ok := lookUp(vars, append([]string{key}, path[1:]...))
			sum += value
			found = found || ok
		}
		return sum, found
	}
	switch value := vars[path[0]].(type) {
	case float64:
		return value, len(path) == 1
	case map[string]any:
		if len(path) > 1 {
			return lookUp(value, path[1:])
		}
	}
	return 0, false
}

// WriteUsages writes a table of usages, with a column for each counter.
func WriteUsages(w io.Writer, usages []Usage) error {
	var names []string
	for _, u := range usages {
		for name := range u.Counters {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "process\tcpu %%\tpeak cpu %%\tmemory MiB\tread B/s\twritten B/s\t")
	for _, name := range names {
		fmt.Fprintf(table, "%s/s\t", name)
	}
	fmt.Fprintln(table)
	for _, u := range usages {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t",
			u.Name, u.CPUPercent, u.PeakCPUPercent, u.MemoryMiB, u.ReadBytes, u.WrittenBytes)
		for _, name := range names {
			fmt.Fprintf(table, "%.1f\t", u.Counters[name])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
