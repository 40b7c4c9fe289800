package jobtrace

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
)

// ServedJobs counts jobs, those of them that had a start, and those that were done before they were worth
// nothing.
type ServedJobs struct {
	Jobs, Started, Served int
	// AdviserTime is the total time that the adviser's connections were occupied by the queries of the jobs.
	AdviserTime time.Duration
}

// Share returns the share of the jobs that were served; 0 without jobs.
func (s ServedJobs) Share() float64 {
	if s.Jobs == 0 {
		return 0
	}
	return float64(s.Served) / float64(s.Jobs)
}

// AdviserTimePerStart returns the adviser time for each job that had a start; 0 if none had.
func (s ServedJobs) AdviserTimePerStart() time.Duration {
	if s.Started == 0 {
		return 0
	}
	return s.AdviserTime / time.Duration(s.Started)
}

func (s *ServedJobs) add(job *jobSize) {
	s.Jobs++
	if job.started {
		s.Started++
	}
	if job.served {
		s.Served++
	}
	s.AdviserTime += job.adviserTime
}

// jobSize is the estimated work of an accepted job in core-milliseconds, the time that the adviser spent on
// its queries, and whether it was started and served.
type jobSize struct {
	work            int64
	adviserTime     time.Duration
	started, served bool
}

const (
	// largestDivisor is the inverse of the share of a queue's jobs that count as its largest.
	largestDivisor = 10
	// nextLargestDivisor is the inverse of the share of the jobs that are next in size.
	nextLargestDivisor = 5
)

// setServedBySize sets All, Largest and NextLargest from the sizes of the queue's jobs.
func (s *QueueSummary) setServedBySize(sizes []jobSize) {
	slices.SortStableFunc(sizes, func(a, b jobSize) int { return cmp.Compare(b.work, a.work) })
	largest := len(sizes) / largestDivisor
	nextLargest := largest + len(sizes)/nextLargestDivisor
	for i := range sizes {
		s.All.add(&sizes[i])
		switch {
		case i < largest:
			s.Largest.add(&sizes[i])
		case i < nextLargest:
			s.NextLargest.add(&sizes[i])
		}
	}
}

// sizeOf returns the size of the job whose lines are given and whether it was served.
func sizeOf(jobLines []Line, accepted int) jobSize {
	work, _ := strconv.ParseInt(jobLines[accepted].Get("work_core_ms"), 10, 64)
	size := jobSize{work: work, adviserTime: adviserTimeOf(jobLines), started: findEvent(jobLines, "run_started") >= 0}
	ended := findEvent(jobLines, "job_ended")
	if ended < accepted || jobLines[ended].Get("phase") == "failed" {
		return size
	}
	objectiveMS, err := strconv.ParseInt(jobLines[ended].Get("objective_ms"), 10, 64)
	took := jobLines[ended].Time.Sub(jobLines[accepted].Time)
	worthlessAfter := admission.WorthlessAfterObjectives * time.Duration(objectiveMS) * time.Millisecond
	size.served = err != nil || took <= worthlessAfter
	return size
}

// adviserTimeOf adds up the times that the queries of a job took.
func adviserTimeOf(jobLines []Line) (total time.Duration) {
	for i := range jobLines {
		if jobLines[i].Event != "permit" {
			continue
		}
		ms, _ := strconv.ParseInt(jobLines[i].Get("ms"), 10, 64)
		total += time.Duration(ms) * time.Millisecond
	}
	return total
}
