package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// jobMemoryDivisor gives the share of the memory of the process that jobs may take. Writing or restoring a snapshot
	// takes several times what the jobs take.
	jobMemoryDivisor = 3
	// defaultMemoryBytes is assumed for a process without a memory limit.
	defaultMemoryBytes = 1 << 30
	// jobMemoryRetryAfter is the retry delay sent to a caller whose job is refused because jobs take too much memory.
	// Memory becomes free when jobs have ended and their retention is over.
	jobMemoryRetryAfter = 10 * time.Second
)

// jobMemory is the estimated memory that all jobs take on each member, in bytes.
type jobMemory struct {
	bytes int64
	// counted says that the jobs which the leader took over are counted.
	counted bool
}

// maxJobBytes returns the memory that jobs may take, in bytes. Every member holds all jobs.
func (cfg *Config) maxJobBytes() int64 {
	if cfg.MemoryBytes == 0 {
		return defaultMemoryBytes / jobMemoryDivisor
	}
	return cfg.MemoryBytes / jobMemoryDivisor
}

// countJobMemory counts the memory of all jobs. t.mu must be held.
func (t *leaderTerm) countJobMemory() {
	t.jobMemory = jobMemory{counted: true}
	t.c.state.read(func(s *workflow.State) {
		for _, job := range s.Jobs {
			t.jobMemory.bytes += job.MemoryBytes()
		}
	})
}

// admitWithinMemory returns a fault of kind Overloaded for a new job that would take the memory which is left. Jobs that
// are due later aren't in the queue, and would be accepted without bound. t.mu must be held.
func (t *leaderTerm) admitWithinMemory(job *workflow.Submission) error {
	if !t.jobMemory.counted {
		t.countJobMemory()
	}
	need, limit := job.MemoryBytes(), t.c.cfg.maxJobBytes()
	if t.jobMemory.bytes+need <= limit {
		return nil
	}
	t.c.cfg.Counters.Add("jobs_refused_memory", 1)
	t.submissionsOf(job.Customer).RefusedCluster++
	return fault.Retry(fault.Overloaded, jobMemoryRetryAfter, "the accepted jobs take %d KB, this one %d KB, and %d KB are allowed",
		t.jobMemory.bytes>>10, need>>10, limit>>10)
}
