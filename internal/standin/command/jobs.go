package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// jobs is the subcommand that submits jobs and follows them until they end.
type jobs struct {
	*base
	deployment  deploymentFlags
	capacity    capacityFlags
	workerCount int
	cfg         standin.JobsConfig
	customer    string
	rate        float64
	count       int
	seed        uint64
	verbose     bool
}

func (*jobs) Name() string { return "jobs" }
func (*jobs) Synopsis() string {
	return "submit jobs and report waiting times, missed deadlines and refusals"
}
func (*jobs) Usage() string {
	return "jobs -settings FILE [flags] JOBFILE ...:\n  Submit each job file once, or with -count that number of jobs chosen at random\n  from the files, at a rate. Print counts and times (in microseconds) as JSON.\n  Exit 1 if an accepted job missed its deadline or the outcome of a submission is unknown.\n"
}

func (c *jobs) SetFlags(f *flag.FlagSet) {
	c.deployment.setFlags(f)
	c.capacity.setFlags(f)
	f.IntVar(&c.workerCount, "workers", 0, "number of workers to run in this process; if any, waiting times end at the start on the worker")
	f.StringVar(&c.customer, "customer", "", "customer who submits; empty: all in the settings, in round robin")
	f.Float64Var(&c.rate, "rate", 10, "mean jobs per second")
	f.IntVar(&c.count, "count", 0, "number of jobs; 0: each file once")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrival times and of the choice of files")
	f.DurationVar(&c.cfg.RetryTimeout, "patience", standin.DefaultRetryTimeout, "how long to retry a call whose outcome is unknown")
	f.BoolVar(&c.cfg.KeepServices, "keep-services", false, "leave services running")
	f.BoolVar(&c.verbose, "v", false, "print each job's result")
}

func (c *jobs) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	submitter, err := c.newSubmitter(f.Args())
	if err != nil {
		return c.usageError(err)
	}
	stop, err := c.startWorkers(ctx)
	if err != nil {
		return c.usageError(err)
	}
	err = submitter.Run(ctx)
	stop()
	if c.verbose {
		c.printResults(submitter.Results())
	}
	report := submitter.Report()
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(report)
	status := c.exitStatus(submitter.Ledger(), err)
	if report.MissedDeadline > 0 || report.OutcomeUnknown > 0 {
		return subcommands.ExitFailure
	}
	return status
}

// startWorkers runs the number of stand-in workers that the flag -workers sets. It waits
// until all hold a lease or the context ends, and returns a function that shuts them
// down.
func (c *jobs) startWorkers(ctx context.Context) (stop func(), err error) {
	if c.workerCount == 0 {
		return func() {}, nil
	}
	deployment := c.deployment
	// The flag -token-file names a customer's token. The workers' token is read from the
	// file that the settings name.
	deployment.tokenFile = ""
	fleet, err := c.newWorkers(standin.WorkersConfig{Count: c.workerCount, Ledger: c.cfg.Ledger}, &deployment, &c.capacity)
	if err != nil {
		return nil, err
	}
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 1)
	go func() { done <- fleet.Run(fleetCtx) }()
	for fleet.Ready() < c.workerCount && ctx.Err() == nil {
		time.Sleep(readyPollInterval)
	}
	return func() {
		c.leave(fleet)
		cancel()
		<-done
	}, nil
}

// readyPollInterval is the interval at which startWorkers checks whether all workers hold
// a lease.
const readyPollInterval = 20 * time.Millisecond

func (c *jobs) printResults(results []standin.JobResult) {
	for _, r := range results {
		waited := "-"
		if !r.Started.IsZero() {
			waited = r.Started.Sub(r.Submitted).String()
		}
		fmt.Fprintf(c.out, "%s %s %s state=%s kind=%s waited=%s missed=%t %s\n",
			r.Customer, r.Name, r.ID, standin.StateName(r.State), r.Kind, waited, r.MissedDeadline(), r.Reason)
	}
}

// newSubmitter returns a submitter of the jobs in the given job files. The customers
// submit in round robin.
func (c *jobs) newSubmitter(files []string) (*standin.Jobs, error) {
	if len(files) == 0 {
		return nil, errors.New("the arguments name no job file")
	}
	dataCentres, s, err := c.deployment.load()
	if err != nil {
		return nil, err
	}
	c.cfg.Ledger = c.newLedger()
	cfg := c.cfg
	cfg.Entries = allEntries(dataCentres)
	cfg.Logger = c.logger()
	customers, err := c.readTokens(s, &cfg)
	if err != nil {
		return nil, err
	}
	var templates []standin.Arrival
	for _, path := range files {
		arrival, err := readTemplate(path)
		if err != nil {
			return nil, err
		}
		templates = append(templates, arrival)
	}
	cfg.Arrivals = c.arrivals(templates)
	for i := range cfg.Arrivals {
		cfg.Arrivals[i].Customer = customers[i%len(customers)]
	}
	return standin.NewJobs(cfg), nil
}

// arrivals returns -count random arrivals, or with -count 0 one of each template, in
// order.
func (c *jobs) arrivals(templates []standin.Arrival) []standin.Arrival {
	if c.count > 0 {
		return standin.RandomArrivals(c.seed, c.rate, c.count, templates)
	}
	arrivals := standin.RandomArrivals(c.seed, c.rate, len(templates), templates)
	for i := range arrivals {
		at := arrivals[i].At
		arrivals[i] = templates[i]
		arrivals[i].At = at
	}
	return arrivals
}

// readTokens reads the tokens of the submitting customers into cfg and returns their
// names.
func (c *jobs) readTokens(s *settings.Settings, cfg *standin.JobsConfig) ([]string, error) {
	cfg.Tokens = make(map[string]string)
	if s == nil || c.deployment.tokenFile != "" || c.customer != "" {
		token, err := c.deployment.token(s, func(s *settings.Settings) string { return customerTokenFile(s, c.customer) })
		cfg.Tokens[c.customer] = token
		return []string{c.customer}, err
	}
	var names []string
	for _, customer := range s.Tokens.Customers {
		token, err := settings.ReadToken(customer.File)
		if err != nil {
			return nil, err
		}
		cfg.Tokens[customer.Name] = token
		names = append(names, customer.Name)
	}
	if len(names) == 0 {
		return nil, errors.New("the settings name no customer")
	}
	return names, nil
}
