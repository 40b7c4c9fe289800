package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients is how many clients hand in jobs and ask for them at a time, clientLimit how long one waits for an answer.
const (
	clients     = 24
	clientLimit = 3 * time.Second
)

// nightDesired returns the desired state with the queue of the jobs that are due later.
func nightDesired() string {
	return desired(1, []any{route("r-night", "/night/", "guest-desk")}, []any{service("guest-desk")})
}

// newNightCluster returns a cluster of three core and two edge instances whose platform has no machines.
func newNightCluster(rec *record, target, folder, network string) *cluster {
	platform := listen(network+".9.1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, encode(map[string]any{"machines": []any{}, name("field.nextpage"): ""}))
	}))
	c := newCluster(shape{cores: 3, edges: 2, coreMemoryMB: 280, edgeMemoryMB: 284, leaseMax: 10 * time.Second, network: network}, rec, target, folder, platform, platform)
	current = c
	return c
}

// nightJobs are jobs that are due in an hour.
type nightJobs struct {
	c        *cluster
	dueMS    int64
	accepted []bool
	// steps is how many steps a job has, one after the other.
	steps int
}

// imageName begins the names of the images.
const imageName = "images.example/guest-desk/folio-reconciliation"

func newNightJobs(c *cluster, n, steps int) *nightJobs {
	return &nightJobs{c: c, steps: steps, dueMS: time.Now().Add(time.Hour).UnixMilli(), accepted: make([]bool, n)}
}

func (j *nightJobs) path(n int) string { return fmt.Sprintf("/night/%016x", n+1) }

// body returns job n with a spec of specBytes bytes.
func (j *nightJobs) body(n, specBytes int) string {
	spec := fmt.Sprintf("folio %06d ", n)
	var steps []any
	for k := range j.steps {
		step := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000, "image": fmt.Sprintf("%s:step-%d@sha256:%064x", imageName, k+1, k)}
		if k > 0 {
			step[name("field.after")] = []int{k - 1}
		}
		steps = append(steps, step)
	}
	return encode(map[string]any{
		"spec":                spec + strings.Repeat("x", specBytes-len(spec)),
		"steps":               steps,
		name("field.startat"): j.dueMS,
		"interval_ms":         60000,
		name("field.times"):   1,
	})
}

// handIn hands the jobs in, perSecond a second, for limit at most. A client that gets no answer or a refusal tries
// again, up to five times in all.
func (j *nightJobs) handIn(specBytes, perSecond int, limit time.Duration) {
	var next, count, refused, unclear atomic.Int64
	began := time.Now()
	var group sync.WaitGroup
	for worker := range clients {
		group.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= len(j.accepted) || time.Since(began) > limit {
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
				text := j.body(n, specBytes)
				for try := range 5 {
					edge := j.c.edges[(worker+try)%len(j.c.edges)]
					status, _ := j.c.call("POST", edge.front, "desk.example", j.path(n), text, clientLimit)
					if status/100 == 2 {
						j.accepted[n] = true
						count.Add(1)
						break
					}
					if status == 429 || status == 503 {
						refused.Add(1)
					} else {
						unclear.Add(1)
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	j.c.rec.log("handed in for %.1f s: %d jobs accepted, %d tries refused, %d tries without a clear answer",
		time.Since(began).Seconds(), count.Load(), refused.Load(), unclear.Load())
	if count.Load() == 0 {
		cannotRun("no job was accepted")
	}
}

// unknown asks for each accepted job until it is known or limit has passed, and returns how many aren't known.
func (j *nightJobs) unknown(limit time.Duration) int {
	end := time.Now().Add(limit)
	var next, known, unknown atomic.Int64
	var mu sync.Mutex
	answers := map[string]int{}
	var group sync.WaitGroup
	for worker := range clients {
		group.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= len(j.accepted) {
					return
				}
				if !j.accepted[n] {
					continue
				}
				last := "none, the time is over"
				for try := 0; time.Now().Before(end); try++ {
					edge := j.c.edges[(worker+try)%len(j.c.edges)]
					status, text := j.c.call("GET", edge.front, "desk.example", j.path(n), "", clientLimit)
					last = fmt.Sprint(status, " ", text)
					if status == 200 || status == 410 {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
				mu.Lock()
				answers[last]++
				mu.Unlock()
				if strings.HasPrefix(last, "200 ") {
					known.Add(1)
				} else {
					unknown.Add(1)
				}
			}
		})
	}
	group.Wait()
	for answer, n := range answers {
		j.c.rec.log("last answer of %d jobs: %q", n, answer)
	}
	j.c.rec.log("%d accepted jobs are known, %d aren't", known.Load(), unknown.Load())
	return int(unknown.Load())
}
