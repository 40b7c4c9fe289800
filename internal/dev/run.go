package dev

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/jobfile"
	"github.com/bilberryferry/bilberryferry/internal/proxy"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// Parameters of the sample work.
const (
	// requestLoadDuration is how long requests to the service are sent.
	requestLoadDuration = 8 * time.Second
	// requestDeadline is the time from the scheduled send of a request to its deadline.
	requestDeadline = 500 * time.Millisecond
	// nonIdempotentShare is the share of requests that are non-idempotent.
	nonIdempotentShare = 0.2
	// runtimeLow and runtimeHigh bound the ratio of true to declared run time.
	runtimeLow  = 0.8
	runtimeHigh = 1.2
	// pollInterval is the interval of the checks whether the deployment is ready.
	pollInterval = 50 * time.Millisecond
)

// Size is the number of stand-ins and the load of a run.
type Size struct {
	// Workers and Minions are the numbers of stand-ins of each deployment.
	Workers, Minions int
	// RequestRate is the number of requests per second to each deployment.
	RequestRate float64
}

// FullSize returns the size of a run of `bilberry dev`.
func FullSize() Size { return Size{Workers: 50, Minions: 50, RequestRate: 200} }

// sampleDeployment holds the parameters that differ between the example deployments.
type sampleDeployment struct {
	// name is the name of the deployment and of its folder in package examples.
	name string
	// service is the service to which requests are sent.
	service string
	// capacity is the capacity of each worker.
	capacity *apiv1.Resources
	// workersPerRack is the number of workers in one rack.
	workersPerRack int
}

// sampleDeployments are the example deployments that Run runs.
var sampleDeployments = []sampleDeployment{
	{"rackwise", "inspect-hub", &apiv1.Resources{CpuMilli: 64_000, MemoryMib: 256 << 10}, 8},
	{"himalaya", "guest-desk", &apiv1.Resources{CpuMilli: 32_000, MemoryMib: 128 << 10}, 6},
}

// Result is the result of one deployment's sample work.
type Result struct {
	Name       string
	Jobs       []standin.JobResult
	Report     standin.JobsReport
	Requests   standin.CallersReport
	Violations []standin.Violation
}

// Passed reports whether at least one job was accepted, the outcome of every submission is
// known, all accepted jobs met their deadlines, no request broke, timed out or got a late
// or wrong response, and no violation was found. Refused jobs, refused requests and requests
// that weren't sent are allowed.
func (r *Result) Passed() bool {
	allInTime := r.Requests.Broken == 0 && r.Requests.TimedOut == 0 && r.Requests.Late == 0
	return r.Report.MissedDeadline == 0 && r.Report.OutcomeUnknown == 0 && r.Report.Accepted > 0 && r.correct() && allInTime
}

// correct reports whether no violation was found and no response was wrong. Unlike
// Passed, the result doesn't depend on the speed of the machine.
func (r *Result) correct() bool { return r.Requests.Wrong == 0 && len(r.Violations) == 0 }

// run is one running deployment with its stand-ins.
type run struct {
	sampleDeployment
	size       Size
	deployment *Deployment
	ledger     *standin.Ledger
	workers    *standin.Workers
	minions    *standin.Minions
	jobs       *standin.Jobs
	callers    *standin.Callers
}

// startRun starts a deployment and its stand-ins as goroutines of the group and waits until
// the deployment is ready.
func startRun(ctx context.Context, group *errgroup.Group, s sampleDeployment, size Size, network Network, folder string, logs io.Writer) (*run, error) {
	d, listeners, err := unpack(s.name, folder, network)
	if err != nil {
		return nil, err
	}
	if err := d.Start(ctx, listeners, logs); err != nil {
		return nil, err
	}
	group.Go(d.Wait)
	r := &run{sampleDeployment: s, size: size, deployment: d, ledger: standin.NewLedger()}
	r.workers = standin.NewWorkers(standin.WorkersConfig{
		DataCentres: d.DataCentres(), Count: size.Workers, PerRack: s.workersPerRack, Capacity: s.capacity, Prefix: s.name,
		Token: d.Tokens.Token(settings.Worker), RuntimeLow: runtimeLow, RuntimeHigh: runtimeHigh, Ledger: r.ledger,
		Dial: network.Dial,
	})
	r.minions = standin.NewMinions(standin.MinionsConfig{
		DataCentres: d.DataCentres(), Count: size.Minions, Service: s.service, Prefix: s.name,
		Token: d.Tokens.Token(settings.Minion), Ledger: r.ledger, Listen: network.Listen, Dial: network.Dial,
	})
	group.Go(func() error { return ignoreAfterCancel(ctx, r.workers.Run(ctx)) })
	group.Go(func() error { return ignoreAfterCancel(ctx, r.minions.Run(ctx)) })
	return r, r.awaitReady(ctx)
}

// ignoreAfterCancel returns err, or nil if the context has ended: errors during a
// shutdown are expected.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// awaitReady waits until every worker holds a lease, an entry instance has accepted
// every minion's announcement, and every entry instance serves requests. It fails
// after readyTimeout.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for r.workers.Ready() < r.size.Workers || r.minions.Ready() < r.size.Minions {
		select {
		case <-ctx.Done():
			return errors.Newf("%s: %d of %d workers and %d of %d minions were ready within %s",
				r.name, r.workers.Ready(), r.size.Workers, r.minions.Ready(), r.size.Minions, readyTimeout)
		case <-time.After(pollInterval):
		}
	}
	return r.awaitServing(ctx)
}

// awaitServing waits until each entry instance serves a request. An entry instance serves
// requests once it has been granted slots of minions.
func (r *run) awaitServing(ctx context.Context) error {
	token, err := r.deployment.customerToken(r.deployment.Settings.Tokens.Customers[0].Name)
	if err != nil {
		return err
	}
	transport := &http.Transport{DialContext: r.deployment.network.Dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for _, address := range r.deployment.Entries() {
		for !serves(ctx, client, address, r.service, token) {
			if ctx.Err() != nil {
				return errors.Newf("%s: entry instance at %s served no request within %s", r.name, address, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// serves reports whether a request to the service through an entry instance succeeds.
func serves(ctx context.Context, client *http.Client, address, service, token string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+proxy.Prefix+service+"/ready", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configure writes the example's shared configuration. While the deployment is
// unavailable, it retries for up to readyTimeout.
func (r *run) configure(ctx context.Context) error {
	document, err := os.ReadFile(filepath.Join(r.deployment.Folder, "config.toml"))
	if err != nil {
		return err
	}
	client := rpc.NewClient(r.deployment.network.Dial)
	defer client.CloseIdleConnections()
	operations := apiv1.NewOperationsProtobufClient("http://"+r.deployment.Entries()[0], client)
	ctx, err = rpc.WithBearer(ctx, "Bearer "+r.deployment.Tokens.Token(settings.Operator))
	if err != nil {
		return err
	}
	request := &apiv1.SetConfigRequest{RequestId: "dev-1", Document: string(document)}
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err = operations.SetConfig(ctx, request)
		if !fault.Is(err, fault.Unavailable) || time.Now().After(deadline) {
			return errors.Wrapf(err, "%s: set the configuration", r.name)
		}
		time.Sleep(pollInterval)
	}
}

// runSampleWork submits the sample jobs and sends the sample requests, and waits
// until both have ended.
func (r *run) runSampleWork(ctx context.Context, onChange func(standin.JobResult)) error {
	arrivals, tokens, err := r.arrivals()
	if err != nil {
		return err
	}
	r.jobs = standin.NewJobs(standin.JobsConfig{
		Entries: r.deployment.Entries(), Tokens: tokens, Arrivals: arrivals, Ledger: r.ledger, OnChange: onChange,
		Dial: r.deployment.network.Dial,
	})
	r.callers = standin.NewCallers(standin.CallersConfig{
		Entries: r.deployment.Entries(), Service: r.service, Token: tokens[arrivals[0].Customer],
		Rate: r.size.RequestRate, Duration: requestLoadDuration, Deadline: requestDeadline, NonIdempotentShare: nonIdempotentShare, Seed: 1, Ledger: r.ledger,
		Dial: r.deployment.network.Dial,
	})
	var group errgroup.Group
	group.Go(func() error { return r.jobs.Run(ctx) })
	group.Go(func() error { return r.callers.Run(ctx) })
	return group.Wait()
}

// arrivals reads the example's job files and the customers' tokens, by name. The
// customers submit in round robin. A deadline in a file is converted to the duration from
// the call of arrivals until the deadline. That duration becomes Arrival.Deadline, which
// counts from the submission.
func (r *run) arrivals() ([]standin.Arrival, map[string]string, error) {
	tokens := make(map[string]string)
	for _, customer := range r.deployment.Settings.Tokens.Customers {
		token, err := r.deployment.customerToken(customer.Name)
		if err != nil {
			return nil, nil, err
		}
		tokens[customer.Name] = token
	}
	folder := os.DirFS(r.deployment.Folder)
	files, err := fs.Glob(folder, "jobs/*.toml")
	if err != nil {
		return nil, nil, err
	}
	var arrivals []standin.Arrival
	for i, file := range files {
		now := time.Now()
		content, err := fs.ReadFile(folder, file)
		if err != nil {
			return nil, nil, err
		}
		spec, err := jobfile.Parse(content, now)
		if err != nil {
			return nil, nil, errors.Wrap(err, path.Base(file))
		}
		arrival := standin.Arrival{Customer: r.deployment.Settings.Tokens.Customers[i%len(tokens)].Name, Spec: spec}
		if spec.DeadlineUnixMs > 0 {
			arrival.Deadline = time.UnixMilli(spec.DeadlineUnixMs).Sub(now)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals, tokens, nil
}

func (r *run) result() Result {
	return Result{
		Name: r.name, Jobs: r.jobs.Results(), Report: r.jobs.Report(), Requests: r.callers.Report(),
		Violations: r.ledger.Violations(),
	}
}

// Run runs the sample work of both example deployments, prints the results to out and
// writes the daemons' logs to logs. It returns whether both results have passed. With
// stay, the deployments keep running after the sample work until the context ends.
func Run(ctx context.Context, out, logs io.Writer, size Size, stay bool) (bool, error) {
	results, err := runOnNetwork(ctx, Loopback{}, out, logs, size, stay)
	return err == nil && allResultsSatisfy(results, (*Result).Passed), err
}

// allResultsSatisfy reports whether satisfies is true for all results.
func allResultsSatisfy(results []Result, satisfies func(*Result) bool) bool {
	for i := range results {
		if !satisfies(&results[i]) {
			return false
		}
	}
	return true
}

// runOnNetwork implements Run for any network and returns the results.
func runOnNetwork(ctx context.Context, network Network, out, logs io.Writer, size Size, stay bool) ([]Result, error) {
	folder, err := os.MkdirTemp("", "bilberry-dev-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	// This deferred call runs before the removal of the folder, so that all processes
	// that write into the folder have ended.
	defer func() {
		stop()
		_ = group.Wait()
	}()
	usage := startUsage()
	var runs []*run
	for _, s := range sampleDeployments {
		r, err := startRun(ctx, group, s, size, network, filepath.Join(folder, s.name), logs)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(out, "%-9s %d instances, %d workers, %d minions are up\n", s.name, len(r.deployment.Settings.Instances), size.Workers, size.Minions)
		runs = append(runs, r)
	}
	results, err := runAllSampleWork(ctx, runs, out, usage)
	if err != nil {
		return nil, err
	}
	if stay {
		printExampleCommands(out, runs)
		<-ctx.Done()
	}
	stop()
	return results, group.Wait()
}

// runAllSampleWork runs the sample work of all deployments at the same time and
// prints the results.
func runAllSampleWork(ctx context.Context, runs []*run, out io.Writer, usage usage) ([]Result, error) {
	progress := newProgress(out)
	var group errgroup.Group
	for _, r := range runs {
		group.Go(func() error {
			if err := r.configure(ctx); err != nil {
				return err
			}
			return r.runSampleWork(ctx, func(j standin.JobResult) { progress.printJob(r.name, j) })
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var results []Result
	for _, r := range runs {
		result := r.result()
		printResult(out, &result)
		results = append(results, result)
	}
	usage.print(out)
	return results, nil
}
