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
	measure       = flag.String("measure", "", "measurement to print: load, packing, flood, urgent, faults, all")
	seeds         = flag.Uint64("seeds", 5, "number of seeds; seeds 1 to this number are run")
	load          = flag.Float64("load", 0.95, "actual work that arrives, divided by the capacity")
	placementOnly = flag.Bool("brief", false, "leave out the baseline and the oracle")
	tight         = flag.Float64("tight", 0.4, "share of the jobs that must start within a few run times")
	length        = flag.Duration("length", 6*time.Hour, "time over which jobs arrive")
	plots         = flag.String("plots", "", "folder for SVG plots of the packing measurement; empty for none")
	only          = flag.String("only", "", "site to run; empty for all")
)

// stopwatch returns a function for the time since the call.
func stopwatch() func() time.Duration {
	begin := time.Now()
	return func() time.Duration { return time.Since(begin) }
}

// oracleOptions are the options of an oracle scheduler. With exact declarations
// it knows the run times, starts the job with the earliest latest start on the
// first worker that fits, and refuses exactly the jobs that cannot meet their
// deadlines.
func oracleOptions() placement.Options {
	o := placement.DefaultOptions()
	o.DueWindow = 1000 * time.Hour
	o.FirstFit = true
	o.NoAdmission = true
	o.NoCorrection = true
	return o
}

// run simulates a workload at a site.
func run(site Site, mix Workload, o placement.Options, faults ...WorkerFault) *Report {
	return Replay(Config{Site: site, Options: o, Services: mix.Services, Faults: faults, Stopwatch: stopwatch()}, Generate(site, mix))
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
	var list []Site
	for _, s := range []Site{Rackwise(), Himalaya(), GrowthTarget()} {
		if *only == "" || *only == s.Name {
			list = append(list, s)
		}
	}
	return list
}

// TestLoad prints the reports of the baseline, the scheduler and the oracle at
// one load.
func TestLoad(t *testing.T) {
	skipUnlessSelected(t, "load")
	for _, site := range sites() {
		for s := uint64(1); s <= *seeds; s++ {
			mix := DefaultWorkload(s, *load)
			mix.TightDeadlines, mix.Duration = *tight, *length
			exact := mix
			exact.ExactDeclarations = true
			if *placementOnly {
				fmt.Printf("%s seed %d placement   %v\n", site.Name, s, run(site, mix, placement.DefaultOptions()))
				continue
			}
			fmt.Printf("%s seed %d baseline    %v\n", site.Name, s, run(site, mix, placement.BaselineOptions()))
			fmt.Printf("%s seed %d placement   %v\n", site.Name, s, run(site, mix, placement.DefaultOptions()))
			fmt.Printf("%s seed %d oracle      %v\n", site.Name, s, run(site, exact, oracleOptions()))
		}
	}
}

// TestPacking prints the work done in time at a range of loads.
func TestPacking(t *testing.T) {
	skipUnlessSelected(t, "packing")
	for _, site := range sites() {
		var points []packingPoint
		for step := range 10 {
			mix := DefaultWorkload(1, 0.75+0.05*float64(step))
			base := run(site, mix, placement.BaselineOptions())
			scheduled := run(site, mix, placement.DefaultOptions())
			fmt.Printf("%s seed 1 load %.2f baseline goodput %.1f%% not in time %.2f%% | placement goodput %.1f%% not in time %.2f%% refused %.2f%% missed %.3f%%\n",
				site.Name, mix.Load, 100*base.Goodput(), 100-100*base.InTimeRate(),
				100*scheduled.Goodput(), 100-100*scheduled.InTimeRate(), 100*scheduled.RefusalRate(), 100*scheduled.MissRate())
			points = append(points, packingPoint{load: mix.Load, baseline: 100 * base.Goodput(), scheduled: 100 * scheduled.Goodput()})
		}
		if *plots != "" {
			plotPacking(t, site, points, filepath.Join(*plots, "placement-packing-"+site.Name+".svg"))
		}
	}
}

// TestUrgent prints the waiting times of urgent tasks of four cores while batch
// jobs arrive at a load above the capacity.
func TestUrgent(t *testing.T) {
	skipUnlessSelected(t, "urgent")
	for _, site := range sites() {
		for s := uint64(1); s <= *seeds; s++ {
			mix := DefaultWorkload(s, 1.3)
			mix.TightDeadlines = 0
			mix.UrgentNeed = resources(4, 8)
			base := run(site, mix, placement.BaselineOptions())
			own := run(site, mix, placement.DefaultOptions())
			fmt.Printf("%s seed %d baseline urgent p50 %v p99 %v | placement urgent p50 %v p99 %v preempted %d missed %.3f%% refused %.2f%%\n",
				site.Name, s, base.Urgent.Quantile(0.5), base.Urgent.Quantile(0.99),
				own.Urgent.Quantile(0.5), own.Urgent.Quantile(0.99), own.preempted, 100*own.MissRate(), 100*own.RefusalRate())
		}
	}
}

// TestFlood prints the waiting times of all other customers while one customer
// floods the queue for two hours, by size of the flood.
func TestFlood(t *testing.T) {
	skipUnlessSelected(t, "flood")
	for _, site := range sites() {
		for s := uint64(1); s <= *seeds; s++ {
			for _, size := range []float64{0, 0.5, 1, 2, 5} {
				mix := DefaultWorkload(s, 0.6)
				list := Flood{Customer: "flood", Load: size, From: time.Hour, Until: 3 * time.Hour}.Add(site, Generate(site, mix))
				for name, o := range map[string]placement.Options{"baseline": placement.BaselineOptions(), "placement": placement.DefaultOptions()} {
					r := Replay(Config{Site: site, Options: o, Services: mix.Services}, list)
					fmt.Printf("%s seed %d flood %.1f %-9s others p50 %v p90 %v p99 %v refused %d | refused %.2f%% missed %.3f%%\n", site.Name, s, size, name,
						r.OthersWait("flood", 0.5), r.OthersWait("flood", 0.9), r.OthersWait("flood", 0.99).Round(time.Second), r.Refused()-r.refusedBy["flood"], 100*r.RefusalRate(), 100*r.MissRate())
				}
			}
		}
	}
}

// TestFaults prints the failures and misses while one worker fails all tasks
// for two hours and another one for two and a half.
func TestFaults(t *testing.T) {
	skipUnlessSelected(t, "faults")
	for _, site := range sites() {
		faults := []WorkerFault{{Worker: "w003", From: time.Hour, Until: 3 * time.Hour}, {Worker: "w017", From: 90 * time.Minute, Until: 4 * time.Hour}}
		for s := uint64(1); s <= *seeds; s++ {
			mix := DefaultWorkload(s, 0.8)
			off := placement.DefaultOptions()
			off.NoQuarantine = true
			base := run(site, mix, placement.BaselineOptions(), faults...)
			without := run(site, mix, off, faults...)
			own := run(site, mix, placement.DefaultOptions(), faults...)
			for name, r := range map[string]*Report{"baseline": base, "no quarantine": without, "placement": own} {
				fmt.Printf("%s seed %d %-13s failures %d missed %.3f%% %v refused %.2f%%\n", site.Name, s, name, r.failures, 100*r.MissRate(), r.missed, 100*r.RefusalRate())
			}
		}
	}
}
