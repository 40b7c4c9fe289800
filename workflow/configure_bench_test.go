package workflow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// benchQueues and benchJobs are the numbers of queues and of open jobs of a large cluster.
	benchQueues = 12_000
	benchJobs   = 30_000
)

// BenchmarkConfigure measures a version of the configuration of a large cluster: one that adds a queue, and one that
// moves the queue of all jobs to another service.
func BenchmarkConfigure(b *testing.B) {
	for _, moved := range []bool{false, true} {
		b.Run(fmt.Sprint("moved=", moved), func(b *testing.B) {
			queues := []Queue{queueAt(followPath)}
			for i := range benchQueues {
				queues = append(queues, queueAt(fmt.Sprintf("/%08x/", i)))
			}
			s := configured(Document{Queues: queues})
			for i := range benchJobs {
				job := &Submission{ID: fmt.Sprintf("%016x", i), Queue: queues[0].Identity(), Steps: []Step{smallStep(1)}}
				must.Eq(b, SubmitAccepted, s.Apply(uint64(i), &Command{Submit: job}).Submit)
			}
			for b.Loop() {
				next := append([]Queue{queues[0]}, queues[1:]...)
				if moved {
					next[0].Policy.Service = fmt.Sprint(s.Configuration.Version)
				}
				s.Apply(1, &Command{Configuration: &Document{Version: s.Configuration.Version + 1, Source: []byte("{}"), Queues: append(next, queueAt(fmt.Sprint("/", s.Configuration.Version)))}})
			}
		})
	}
}
