package arrivals

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryferry/bilberryferry/placement"
)

// missKind is the reason why an accepted job did not finish in time.
type missKind uint8

const (
	// missLate is a job that finished after its deadline.
	missLate missKind = iota
	// missInfeasible is a job that the scheduler accepted and later refused as
	// infeasible.
	missInfeasible
	// missFailed is a job with a task that failed too often.
	missFailed
	// missUnfinished is a job that was not finished at the end of the
	// simulation.
	missUnfinished
	// missKindCount is the number of kinds.
	missKindCount
)

// The ranges of the histograms. Longer times are not recorded.
const (
	maxRecordedWait     = 48 * time.Hour
	maxRecordedDuration = 10 * time.Second
	// histogramDigits is the number of significant digits.
	histogramDigits = 3
)

// WaitTimes is a distribution of waiting times in milliseconds.
type WaitTimes struct{ histogram *hdrhistogram.Histogram }

// newWaitTimes returns an empty distribution.
func newWaitTimes() *WaitTimes {
	return &WaitTimes{histogram: hdrhistogram.New(1, int64(maxRecordedWait/time.Millisecond), histogramDigits)}
}

// Quantile returns the waiting time that the fraction q of the tasks does not
// exceed.
func (w *WaitTimes) Quantile(q float64) time.Duration {
	return time.Duration(w.histogram.ValueAtQuantile(100*q)) * time.Millisecond
}

// record adds a waiting time.
func (w *WaitTimes) record(d time.Duration) {
	_ = w.histogram.RecordValue(int64(d / time.Millisecond))
}

// Report is the result of a simulation.
type Report struct {
	site Site
	// arrivalWindow is the time of the last arrival, from the start of the
	// simulation.
	arrivalWindow time.Duration

	submitted int
	refused   map[placement.Reason]int
	// refusedWithoutRetry counts refusals without a retry delay: the job could not
	// be accepted later either, for example because the estimated run time exceeds
	// the time to the deadline.
	refusedWithoutRetry int
	// refusedFirstHour counts refusals in the first hour, while the scheduler
	// has few measured run times.
	refusedFirstHour int
	// refusedBy counts refusals by customer.
	refusedBy map[string]int
	missed    [missKindCount]int
	inTime    int
	// inTimeWork is the work done for jobs that finished in time, and usedWork the
	// work of all allocated resources, both up to the last arrival.
	inTimeWork siteSeconds
	usedWork   siteSeconds
	preempted  int
	failures   int

	// NormalWaits, UrgentWaits and GangWaits are the waiting times of tasks by kind of
	// job. WaitsByCustomer holds the waiting times of the normal tasks by customer.
	NormalWaits     *WaitTimes
	UrgentWaits     *WaitTimes
	GangWaits       *WaitTimes
	WaitsByCustomer map[string]*WaitTimes

	// evaluations and admissions are the durations of evaluations and of admission
	// checks, in nanoseconds.
	evaluations *hdrhistogram.Histogram
	admissions  *hdrhistogram.Histogram
	// schedulingTime is the total time of admission checks and evaluations.
	schedulingTime time.Duration
	// starts is the number of started attempts.
	starts int
}

// newReport returns an empty report.
func newReport(site Site) *Report {
	timing := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(maxRecordedDuration), histogramDigits)
	}
	return &Report{
		site: site, refused: map[placement.Reason]int{}, refusedBy: map[string]int{},
		NormalWaits: newWaitTimes(), UrgentWaits: newWaitTimes(), GangWaits: newWaitTimes(), WaitsByCustomer: map[string]*WaitTimes{},
		evaluations: timing(), admissions: timing(),
	}
}

// addUsage adds the allocated resources between two events, up to the last
// arrival.
func (r *Report) addUsage(from, to time.Duration, used placement.Resources) {
	to = min(to, r.arrivalWindow)
	if to <= from {
		return
	}
	usage := Arrival{ActualRuntime: to - from, Job: placement.Job{Tasks: 1, Need: used}}
	r.usedWork = r.usedWork.plus(siteSecondsOf(usage, r.site.total()))
}

// recordAdmission records the duration of an admission check.
func (r *Report) recordAdmission(took time.Duration) {
	_ = r.admissions.RecordValue(int64(took))
	r.schedulingTime += took
}

// recordEvaluation records the duration of an evaluation and its number of
// starts.
func (r *Report) recordEvaluation(took time.Duration, starts int) {
	_ = r.evaluations.RecordValue(int64(took))
	r.schedulingTime += took
	r.starts += starts
}

// recordRefusal counts a job that was refused at submission.
func (r *Report) recordRefusal(j *job, decision placement.AdmissionDecision) {
	r.refused[decision.Reason]++
	r.refusedBy[j.arrival.Job.Customer]++
	if decision.RetryAfter == 0 {
		r.refusedWithoutRetry++
	}
	if j.arrival.At < time.Hour {
		r.refusedFirstHour++
	}
}

// recordMiss counts an accepted job that did not finish in time.
func (r *Report) recordMiss(_ *job, kind missKind) { r.missed[kind]++ }

// recordWait records the time from the submission of a job to the first start
// of a task.
func (r *Report) recordWait(j *job, d time.Duration) {
	a := j.arrival.Job
	switch {
	case a.Urgent:
		r.UrgentWaits.record(d)
	case a.Policy == placement.Gang:
		r.GangWaits.record(d)
	default:
		r.NormalWaits.record(d)
		customerWaits, found := r.WaitsByCustomer[a.Customer]
		if !found {
			customerWaits = newWaitTimes()
			r.WaitsByCustomer[a.Customer] = customerWaits
		}
		customerWaits.record(d)
	}
}

// recordFinish counts a finished job, as missed if it is late.
func (r *Report) recordFinish(j *job) {
	if epoch.Add(j.lastEnd).After(j.arrival.Job.Deadline) {
		r.recordMiss(j, missLate)
		return
	}
	r.inTime++
	r.inTimeWork = r.inTimeWork.plus(j.windowWork)
}

// OthersWait returns the waiting time that the fraction q of the normal tasks
// of all customers except one does not exceed.
func (r *Report) OthersWait(except string, q float64) time.Duration {
	others := newWaitTimes()
	for customer, w := range r.WaitsByCustomer {
		if customer != except {
			others.histogram.Merge(w.histogram)
		}
	}
	return others.Quantile(q)
}

// Accepted returns the number of admitted jobs.
func (r *Report) Accepted() int { return r.submitted - r.Refused() }

// Refused returns the number of jobs that were refused at submission.
func (r *Report) Refused() int {
	n := 0
	for _, k := range r.refused {
		n += k
	}
	return n
}

// Missed returns the number of accepted jobs that did not finish in time.
func (r *Report) Missed() int {
	n := 0
	for _, k := range r.missed {
		n += k
	}
	return n
}

// MissRate returns the fraction of the accepted jobs that did not finish in
// time.
func (r *Report) MissRate() float64 { return ratio(r.Missed(), r.Accepted()) }

// RefusalRate returns the fraction of the submitted jobs that were refused at
// submission.
func (r *Report) RefusalRate() float64 { return ratio(r.Refused(), r.submitted) }

// InTimeRate returns the fraction of the submitted jobs that finished in time.
func (r *Report) InTimeRate() float64 { return ratio(r.inTime, r.submitted) }

// Utilization returns the mean allocated fraction, up to the last arrival, of the
// resource that is used most.
func (r *Report) Utilization() float64 { return r.usedWork.largest() / r.arrivalWindow.Seconds() }

// Goodput returns the work done up to the last arrival for jobs that finished
// in time, as a fraction of the capacity. It does not include services.
func (r *Report) Goodput() float64 { return r.inTimeWork.largest() / r.arrivalWindow.Seconds() }

// DecisionRate returns the number of starts per second of scheduling time.
func (r *Report) DecisionRate() float64 {
	if r.schedulingTime == 0 {
		return 0
	}
	return float64(r.starts) / r.schedulingTime.Seconds()
}

// DecisionQuantile returns the duration that the fraction q of the evaluations
// does not exceed.
func (r *Report) DecisionQuantile(q float64) time.Duration {
	return time.Duration(r.evaluations.ValueAtQuantile(100 * q))
}

// AdmissionQuantile returns the duration that the fraction q of the admission
// checks does not exceed.
func (r *Report) AdmissionQuantile(q float64) time.Duration {
	return time.Duration(r.admissions.ValueAtQuantile(100 * q))
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("jobs %d refused %.2f%% (without retry %d, first hour %d, reasons %v) missed %.3f%% %v in time %.2f%% busy %.1f%% goodput %.1f%% | wait p50 %v p99 %v urgent p50 %v p99 %v gang p50 %v p99 %v | preempted %d failures %d | %.0f starts/s evaluate p50 %v p99 %v admit p50 %v p99 %v",
		r.submitted, 100*r.RefusalRate(), r.refusedWithoutRetry, r.refusedFirstHour, r.refused, 100*r.MissRate(), r.missed, 100*r.InTimeRate(), 100*r.Utilization(), 100*r.Goodput(),
		r.NormalWaits.Quantile(0.5).Round(time.Millisecond), r.NormalWaits.Quantile(0.99).Round(time.Second),
		r.UrgentWaits.Quantile(0.5), r.UrgentWaits.Quantile(0.99).Round(time.Millisecond),
		r.GangWaits.Quantile(0.5).Round(time.Second), r.GangWaits.Quantile(0.99).Round(time.Second),
		r.preempted, r.failures, r.DecisionRate(),
		r.DecisionQuantile(0.5), r.DecisionQuantile(0.99), r.AdmissionQuantile(0.5), r.AdmissionQuantile(0.99))
}
