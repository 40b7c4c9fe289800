package arrivals

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/placement"
)

var (
	measure            = flag.String("measure", "", "measurement to print: load, packing, flood, urgent, faults, all")
	seedCount          = flag.Uint64("seeds", 5, "number of seeds; seeds 1 to this number are run")
	load               = flag.Float64("load", 0.95, "actual work that arrives, divided by the capacity")
	placementOnly      = flag.Bool("brief", false, "leave out the baseline and the oracle")
	tightDeadlineShare = flag.Float64("tight", 0.4, "share of the jobs that must start within a few run times")
	arrivalPeriod      = flag.Duration("length", 6*time.Hour, "time over which jobs arrive")
	plotFolder         = flag.String("plots", "", "folder for SVG plots of the packing measurement; empty for none")
	onlySite           = flag.String("only", "", "site to run; empty for all")
)

// stopwatch returns a function that returns the time since the call of stopwatch.
func stopwatch() func() time.Duration {
	begin := time.Now()
	return func() time.Duration { return time.Since(begin) }
}

// oracleOptions returns the options of an oracle scheduler. With exact declarations
// this scheduler knows the run times, starts the job with the earliest latest start
// on the first worker that fits, and refuses a job only once it can no longer meet
// its deadline.
func oracleOptions() placement.Options {
	// beyondDeadlines is longer than the time to any deadline, so that every job is due.
	const beyondDeadlines = 1000 * time.Hour
	o := placement.DefaultOptions()
	o.DueWindow = beyondDeadlines
	o.FirstFit = true
	o.NoAdmission = true
	o.NoCorrection = true
	return o
}

// run simulates a workload at a site.
func run(site Site, workload Workload, o placement.Options, faults ...WorkerFault) *Report {
	return Replay(Config{Site: site, Options: o, ServiceShare: workload.ServiceShare, Faults: faults, Stopwatch: stopwatch()}, Generate(site, workload))
}

// skipUnlessSelected skips a measurement that the flag -measure does not
// select.
func skipUnlessSelected(t *testing.T, name string) {
	if *measure != name && *measure != "all" {
		t.Skip("run with -measure " + name)
	}
}

// sites returns the sites that the flag -only selects.
func sites() []Site {
	var selected []Site
	for _, s := range []Site{Rackwise(), Himalaya(), GrowthTarget()} {
		if *onlySite == "" || *onlySite == s.Name {
			selected = append(selected, s)
		}
	}
	return selected
}

// TestLoad prints the reports of the baseline, the scheduler and the oracle at
// one load.
func TestLoad(t *testing.T) {
	skipUnlessSelected(t, "load")
	for _, site := range sites() {
		for seed := uint64(1); seed <= *seedCount; seed++ {
			workload := DefaultWorkload(seed, *load)
			workload.TightDeadlineShare, workload.Duration = *tightDeadlineShare, *arrivalPeriod
			exact := workload
			exact.ExactDeclarations = true
			if *placementOnly {
				fmt.Printf("%s seed %d placement   %v\n", site.Name, seed, run(site, workload, placement.DefaultOptions()))
				continue
			}
			fmt.Printf("%s seed %d baseline    %v\n", site.Name, seed, run(site, workload, placement.BaselineOptions()))
			fmt.Printf("%s seed %d placement   %v\n", site.Name, seed, run(site, workload, placement.DefaultOptions()))
			fmt.Printf("%s seed %d oracle      %v\n", site.Name, seed, run(site, exact, oracleOptions()))
		}
	}
}

// TestPacking prints the work that the baseline and the scheduler do in time, by
// load.
func TestPacking(t *testing.T) {
	skipUnlessSelected(t, "packing")
	const lowestLoad, loadStep, loadCount = 0.75, 0.05, 10
	for _, site := range sites() {
		var points []packingPoint
		for step := range loadCount {
			workload := DefaultWorkload(1, lowestLoad+loadStep*float64(step))
			baseline := run(site, workload, placement.BaselineOptions())
			scheduled := run(site, workload, placement.DefaultOptions())
			fmt.Printf("%s seed 1 load %.2f baseline goodput %.1f%% not in time %.2f%% | placement goodput %.1f%% not in time %.2f%% refused %.2f%% missed %.3f%%\n",
				site.Name, workload.Load, 100*baseline.Goodput(), 100-100*baseline.InTimeRate(),
				100*scheduled.Goodput(), 100-100*scheduled.InTimeRate(), 100*scheduled.RefusalRate(), 100*scheduled.MissRate())
			points = append(points, packingPoint{load: workload.Load, baseline: 100 * baseline.Goodput(), scheduled: 100 * scheduled.Goodput()})
		}
		if *plotFolder != "" {
			plotPacking(t, site, points, filepath.Join(*plotFolder, "placement-packing-"+site.Name+".svg"))
		}
	}
}

// TestUrgent prints the waiting times of urgent tasks of four cores while batch
// jobs arrive at a load above the capacity.
func TestUrgent(t *testing.T) {
	skipUnlessSelected(t, "urgent")
	const overload = 1.3
	for _, site := range sites() {
		for seed := uint64(1); seed <= *seedCount; seed++ {
			workload := DefaultWorkload(seed, overload)
			workload.TightDeadlineShare = 0
			workload.UrgentNeed = resources(4, 8)
			baseline := run(site, workload, placement.BaselineOptions())
			scheduled := run(site, workload, placement.DefaultOptions())
			fmt.Printf("%s seed %d baseline urgent p50 %v p99 %v | placement urgent p50 %v p99 %v preempted %d missed %.3f%% refused %.2f%%\n",
				site.Name, seed, baseline.UrgentWaits.Quantile(0.5), baseline.UrgentWaits.Quantile(0.99),
				scheduled.UrgentWaits.Quantile(0.5), scheduled.UrgentWaits.Quantile(0.99), scheduled.preempted, 100*scheduled.MissRate(), 100*scheduled.RefusalRate())
		}
	}
}

// TestFlood prints how long tasks wait while one customer floods the scheduler with extra
// jobs for two hours, for floods of several sizes. It leaves out the tasks of that
// customer.
func TestFlood(t *testing.T) {
	skipUnlessSelected(t, "flood")
	// baseLoad is the load that arrives in addition to the flood.
	const baseLoad = 0.6
	for _, site := range sites() {
		for seed := uint64(1); seed <= *seedCount; seed++ {
			for _, size := range []float64{0, 0.5, 1, 2, 5} {
				workload := DefaultWorkload(seed, baseLoad)
				arrivals := Flood{Customer: "flood", Load: size, From: time.Hour, Until: 3 * time.Hour}.Add(site, Generate(site, workload))
				for name, o := range map[string]placement.Options{"baseline": placement.BaselineOptions(), "placement": placement.DefaultOptions()} {
					r := Replay(Config{Site: site, Options: o, ServiceShare: workload.ServiceShare}, arrivals)
					fmt.Printf("%s seed %d flood %.1f %-9s others p50 %v p90 %v p99 %v refused %d | refused %.2f%% missed %.3f%%\n", site.Name, seed, size, name,
						r.OthersWait("flood", 0.5), r.OthersWait("flood", 0.9), r.OthersWait("flood", 0.99).Round(time.Second), r.Refused()-r.refusedBy["flood"], 100*r.RefusalRate(), 100*r.MissRate())
				}
			}
		}
	}
}

// TestFaults prints the failures and misses while one worker fails all tasks for two
// hours and another worker for two and a half hours.
func TestFaults(t *testing.T) {
	skipUnlessSelected(t, "faults")
	const loadBesideFaults = 0.8
	for _, site := range sites() {
		faults := []WorkerFault{{Worker: "w003", From: time.Hour, Until: 3 * time.Hour}, {Worker: "w017", From: 90 * time.Minute, Until: 4 * time.Hour}}
		for seed := uint64(1); seed <= *seedCount; seed++ {
			workload := DefaultWorkload(seed, loadBesideFaults)
			quarantineOff := placement.DefaultOptions()
			quarantineOff.NoQuarantine = true
			baseline := run(site, workload, placement.BaselineOptions(), faults...)
			unquarantined := run(site, workload, quarantineOff, faults...)
			scheduled := run(site, workload, placement.DefaultOptions(), faults...)
			for name, r := range map[string]*Report{"baseline": baseline, "no quarantine": unquarantined, "placement": scheduled} {
				fmt.Printf("%s seed %d %-13s failures %d missed %.3f%% %v refused %.2f%%\n", site.Name, seed, name, r.failures, 100*r.MissRate(), r.missed, 100*r.RefusalRate())
			}
		}
	}
}
