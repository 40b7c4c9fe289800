package arrivals

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryferry/bilberryferry/placement"
)

// missKind is why accepted work did not finish in time.
type missKind uint8

const (
	// missLate finished after its deadline.
	missLate missKind = iota
	// missInfeasible was given up by the scheduler after acceptance.
	missInfeasible
	// missFailed failed on workers too often.
	missFailed
	// missUnfinished was not finished when the replay ended.
	missUnfinished
	missKindCount
)

// Waits holds waiting times in milliseconds.
type WaitTimes struct{ histogram *hdrhistogram.Histogram }

func newWaitTimes() *WaitTimes {
	return &WaitTimes{histogram: hdrhistogram.New(1, int64(48*time.Hour/time.Millisecond), 3)}
}

// Quantile is the waiting time that the part q of the tasks stays within.
func (w *WaitTimes) Quantile(q float64) time.Duration {
	return time.Duration(w.histogram.ValueAtQuantile(100*q)) * time.Millisecond
}

func (w *WaitTimes) record(d time.Duration) {
	_ = w.histogram.RecordValue(int64(d / time.Millisecond))
}

// Report is what a replay showed.
type Report struct {
	site          Site
	arrivalWindow time.Duration

	submitted int
	refused   map[placement.Reason]int
	// refusedPermanently counts refusals that name no time to come back: the
	// run time alone was taken to overrun the deadline.
	refusedPermanently int
	// refusedFirstHour counts refusals in the first hour, while run times are
	// still being learned.
	refusedFirstHour int
	// refusedBy counts refusals by customer.
	refusedBy map[string]int
	missed    [missKindCount]int
	inTime    int
	// inTimeWork and used are in seconds of the whole site.
	inTimeWork siteSeconds
	usedWork   siteSeconds
	preempted  int
	failures   int

	Normal   *WaitTimes
	Urgent   *WaitTimes
	Gangs    *WaitTimes
	Customer map[string]*WaitTimes

	evaluations    *hdrhistogram.Histogram
	admissions     *hdrhistogram.Histogram
	schedulingTime time.Duration
	starts         int
}

func newReport(site Site) *Report {
	timing := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(10*time.Second), 3) }
	return &Report{
		site: site, refused: map[placement.Reason]int{}, refusedBy: map[string]int{},
		Normal: newWaitTimes(), Urgent: newWaitTimes(), Gangs: newWaitTimes(), Customer: map[string]*WaitTimes{},
		evaluations: timing(), admissions: timing(),
	}
}

// advance adds what was used between two events, within the time of arrivals.
func (r *Report) addUsage(from, to time.Duration, used placement.Resources) {
	to = min(to, r.arrivalWindow)
	if to <= from {
		return
	}
	usage := Arrival{ActualRuntime: to - from, Job: placement.Job{Tasks: 1, Need: used}}
	r.usedWork = r.usedWork.plus(siteSecondsOf(usage, r.site.total()))
}

func (r *Report) recordAdmission(took time.Duration) {
	_ = r.admissions.RecordValue(int64(took))
	r.schedulingTime += took
}

func (r *Report) recordEvaluation(took time.Duration, starts int) {
	_ = r.evaluations.RecordValue(int64(took))
	r.schedulingTime += took
	r.starts += starts
}

func (r *Report) recordRefusal(j *job, v placement.AdmissionDecision) {
	r.refused[v.Reason]++
	r.refusedBy[j.arrival.Job.Customer]++
	if v.RetryAfter == 0 {
		r.refusedPermanently++
	}
	if j.arrival.At < time.Hour {
		r.refusedFirstHour++
	}
}

func (r *Report) recordMiss(_ *job, kind missKind) { r.missed[kind]++ }

func (r *Report) recordWait(j *job, d time.Duration) {
	a := j.arrival.Job
	switch {
	case a.Urgent:
		r.Urgent.record(d)
	case a.Policy == placement.Gang:
		r.Gangs.record(d)
	default:
		r.Normal.record(d)
		customerWaits, found := r.Customer[a.Customer]
		if !found {
			customerWaits = newWaitTimes()
			r.Customer[a.Customer] = customerWaits
		}
		customerWaits.record(d)
	}
}

func (r *Report) recordFinish(j *job) {
	if epoch.Add(j.lastEnd).After(j.arrival.Job.Deadline) {
		r.recordMiss(j, missLate)
		return
	}
	r.inTime++
	r.inTimeWork = r.inTimeWork.plus(j.windowWork)
}

// OthersWait is the waiting time that the part q of the normal tasks of all
// customers but one stays within.
func (r *Report) OthersWait(except string, q float64) time.Duration {
	others := newWaitTimes()
	for customer, w := range r.Customer {
		if customer != except {
			others.histogram.Merge(w.histogram)
		}
	}
	return others.Quantile(q)
}

// Accepted is the number of jobs that admission took.
func (r *Report) Accepted() int { return r.submitted - r.Refused() }

// Refused is the number of jobs that admission turned away.
func (r *Report) Refused() int {
	n := 0
	for _, k := range r.refused {
		n += k
	}
	return n
}

// Missed is the number of accepted jobs that did not finish in time.
func (r *Report) Missed() int {
	n := 0
	for _, k := range r.missed {
		n += k
	}
	return n
}

// MissRate is the part of the accepted jobs that was missed.
func (r *Report) MissRate() float64 { return rate(r.Missed(), r.Accepted()) }

// RefusalRate is the part of the submitted jobs that was turned away.
func (r *Report) RefusalRate() float64 { return rate(r.Refused(), r.submitted) }

// InTimeRate is the part of the submitted jobs that finished in time.
func (r *Report) InTimeRate() float64 { return rate(r.inTime, r.submitted) }

// Busy is the mean part in use, while jobs arrived, of the resource that is
// used most.
func (r *Report) Busy() float64 { return r.usedWork.largest() / r.arrivalWindow.Seconds() }

// Goodput is the work done while jobs arrived, for jobs that finished in time,
// as a part of what the workers could do. Services are not in it.
func (r *Report) Goodput() float64 { return r.inTimeWork.largest() / r.arrivalWindow.Seconds() }

// DecisionRate is the number of starts per second of deciding.
func (r *Report) DecisionRate() float64 {
	if r.schedulingTime == 0 {
		return 0
	}
	return float64(r.starts) / r.schedulingTime.Seconds()
}

// DecisionQuantile is how long an evaluation takes at most for the part q.
func (r *Report) DecisionQuantile(q float64) time.Duration {
	return time.Duration(r.evaluations.ValueAtQuantile(100 * q))
}

// AdmissionQuantile is how long an admission takes at most for the part q.
func (r *Report) AdmissionQuantile(q float64) time.Duration {
	return time.Duration(r.admissions.ValueAtQuantile(100 * q))
}

func rate(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String is one row of a table.
func (r *Report) String() string {
	return fmt.Sprintf("jobs %d refused %.2f%% (alone %d, first hour %d, reasons %v) missed %.3f%% %v in time %.2f%% busy %.1f%% goodput %.1f%% | wait p50 %v p99 %v urgent p50 %v p99 %v gang p50 %v p99 %v | preempted %d failures %d | %.0f starts/s evaluate p50 %v p99 %v admit p50 %v p99 %v",
		r.submitted, 100*r.RefusalRate(), r.refusedPermanently, r.refusedFirstHour, r.refused, 100*r.MissRate(), r.missed, 100*r.InTimeRate(), 100*r.Busy(), 100*r.Goodput(),
		r.Normal.Quantile(0.5).Round(time.Millisecond), r.Normal.Quantile(0.99).Round(time.Second),
		r.Urgent.Quantile(0.5), r.Urgent.Quantile(0.99).Round(time.Millisecond),
		r.Gangs.Quantile(0.5).Round(time.Second), r.Gangs.Quantile(0.99).Round(time.Second),
		r.preempted, r.failures, r.DecisionRate(),
		r.DecisionQuantile(0.5), r.DecisionQuantile(0.99), r.AdmissionQuantile(0.5), r.AdmissionQuantile(0.99))
}
