package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/measure"
)

// measureCommand is the subcommand that measures the resource usage of daemons.
type measureCommand struct {
	*base
	cfg measure.Config
	// processes is the path of a file with one process per line, see readProcesses.
	processes string
	// counters holds the names of expvar counters, comma-separated.
	counters string
	json     bool
}

func (*measureCommand) Name() string { return "measure" }
func (*measureCommand) Synopsis() string {
	return "measure CPU time, memory and bytes of running daemons"
}
func (*measureCommand) Usage() string {
	return "measure [flags] [NAME=PID[@ADMIN] ...]:\n  Sample processes and print the usage of each. With -processes, also read them from\n  a file with lines NAME PID [ADMIN], as scripts/cluster.sh writes it.\n"
}

func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.processes, "processes", "", "`file` with one process per line")
	f.DurationVar(&c.cfg.Interval, "interval", measure.DefaultInterval, "time between samples")
	f.DurationVar(&c.cfg.Duration, "duration", 10*time.Second, "time from first to last sample")
	f.StringVar(&c.counters, "counters", "", "`names` of expvar counters whose rates to print, comma-separated, levels joined by dots, * for all keys of a level")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *measureCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	processes, err := c.selectedProcesses(f.Args())
	if err != nil {
		return c.usageError(err)
	}
	c.cfg.Processes = processes
	if c.counters != "" {
		c.cfg.Counters = strings.Split(c.counters, ",")
	}
	usages, err := measure.Run(ctx, c.cfg)
	if err == nil {
		err = c.print(usages)
	}
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *measureCommand) print(usages []measure.Usage) error {
	if !c.json {
		return measure.WriteUsages(c.out, usages)
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(usages)
}

// selectedProcesses returns the processes named by the arguments, NAME=PID[@ADMIN], and
// by the file of the flag -processes.
func (c *measureCommand) selectedProcesses(args []string) ([]measure.Process, error) {
	var processes []measure.Process
	for _, arg := range args {
		name, pidAndAdmin, _ := strings.Cut(arg, "=")
		pid, admin, _ := strings.Cut(pidAndAdmin, "@")
		process, err := newProcess(name, pid, admin)
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	if c.processes != "" {
		listed, err := readProcesses(c.processes)
		if err != nil {
			return nil, err
		}
		processes = append(processes, listed...)
	}
	if len(processes) == 0 {
		return nil, errors.New("neither the arguments nor -processes name a process")
	}
	return processes, nil
}

// newProcess returns a process to measure; admin is its admin address or empty. It fails
// unless pid is a positive number.
func newProcess(name, pid, admin string) (measure.Process, error) {
	processID, err := strconv.Atoi(pid)
	if err != nil || processID <= 0 {
		return measure.Process{}, errors.Newf("process %q: %q isn't a process id", name, pid)
	}
	return measure.Process{Name: name, PID: processID, Admin: admin}, nil
}

// readProcesses reads a file with lines NAME PID [ADMIN]. ADMIN is the admin address of
// the process; "-" means none. Further fields are ignored.
func readProcesses(path string) ([]measure.Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var processes []measure.Process
	for line := range strings.Lines(string(text)) {
		fields := append(strings.Fields(line), "", "")
		if fields[0] == "" {
			continue
		}
		process, err := newProcess(fields[0], fields[1], strings.Trim(fields[2], "-"))
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	return processes, nil
}
