package jobtrace

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
)

// ServedJobs counts jobs, and those of them that were done before they were worth nothing.
type ServedJobs struct {
	Jobs, Served int
}

// Share returns the share of the jobs that were served; 0 without jobs.
func (s ServedJobs) Share() float64 {
	if s.Jobs == 0 {
		return 0
	}
	return float64(s.Served) / float64(s.Jobs)
}

func (s *ServedJobs) add(served bool) {
	s.Jobs++
	if served {
		s.Served++
	}
}

// jobSize is the estimated work of an accepted job in core-milliseconds, and whether it was served.
type jobSize struct {
	work   int64
	served bool
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
		s.All.add(sizes[i].served)
		switch {
		case i < largest:
			s.Largest.add(sizes[i].served)
		case i < nextLargest:
			s.NextLargest.add(sizes[i].served)
		}
	}
}

// sizeOf returns the size of the job whose lines are given and whether it was served.
func sizeOf(jobLines []Line, accepted int) jobSize {
	work, _ := strconv.ParseInt(jobLines[accepted].Get("work_core_ms"), 10, 64)
	size := jobSize{work: work}
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
