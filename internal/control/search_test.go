package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// search is one seeded run.
type search struct {
	t       *testing.T
	seed    uint64
	drawn   *drawnWorld
	random  *rand.Rand
	state   *StateMachine
	store   *searchStore
	workers *searchWorkers
	adviser *searchAdviser
	lines   *searchLines
	begun   time.Time
	jobs    int
	// work and asks are what traffic may bring of each by now.
	work, asks float64
	// behind is the most steps that a decision didn't go into.
	behind int

	mu    sync.Mutex
	steps map[string][]workflow.Step
	c     *Controller
	log   *searchLog
	stop  func()
	term  uint64
	calm  bool
}

func newSearch(t *testing.T, seed uint64) *search {
	random := rand.New(rand.NewPCG(seed, 3))
	x := &search{
		t: t, seed: seed, drawn: drawWorld(random), random: random, state: NewStateMachine(), lines: &searchLines{},
		begun: time.Now(), steps: map[string][]workflow.Step{},
	}
	x.store = &searchStore{random: rand.New(rand.NewPCG(seed, 4)), state: x.state}
	x.workers = &searchWorkers{
		drawn: x.drawn, seed: seed, stepOf: x.stepOf, lines: x.lines, at: map[string]*searchWorker{}, calls: map[string]int{},
		startedAt: map[workflow.TaskKey][]time.Time{}, doneAt: map[workflow.TaskKey]time.Time{}, complete: map[gangRun]bool{},
		lastStart: map[workflow.StepKey]time.Time{}, mayClaim: map[string]bool{},
		crashes: map[workflow.TaskKey]int{}, afterThird: map[workflow.TaskKey]int{},
	}
	x.adviser = &searchAdviser{
		drawn: x.drawn, seed: seed, policyOf: x.adviceOf, stepOf: x.stepOf, calm: x.isCalm, random: rand.New(rand.NewPCG(seed, 5)), busy: map[string]time.Time{}, cutUntil: map[string]time.Time{},
	}
	return x
}

func (x *search) stepOf(task workflow.TaskKey) *workflow.Step {
	x.mu.Lock()
	defer x.mu.Unlock()
	steps := x.steps[task.Job]
	if task.Step >= len(steps) {
		return nil
	}
	return &steps[task.Step]
}

func (x *search) adviceOf(step workflow.StepKey) (advice *workflow.AdvicePolicy) {
	x.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			advice = job.Policy.Advice
		}
	})
	return advice
}

func (x *search) isCalm() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calm
}

// controller returns the present leader's.
func (x *search) controller() *Controller {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.c
}

// lead lets a new leader begin.
func (x *search) lead() {
	x.store.settleOpen()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.term++
	x.log = &searchLog{store: x.store, term: x.term, lost: make(chan struct{})}
	x.c = New(Config{
		Address: ownLane, Bounds: Bounds{LeaseMax: x.drawn.lease, Shown: time.Minute}, Workers: x.workers, Adviser: x.adviser, Client: x.adviser,
		Logger: log.With(log.NewLogfmtLogger(x.lines), "ms", log.Valuer(virtualMS)), Counters: noCounters{},
		Leader: func() string { return ownLane }, Members: func() []string { return nil },
	}, x.state, x.log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c := x.c
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	x.stop = func() { cancel(); <-done }
}

// changeLeader lets the leader lose its leadership, which it notices a little later.
func (x *search) changeLeader() {
	close(x.log.lost)
	time.Sleep(between(x.random, 0, idlePause))
	x.stop()
	time.Sleep(between(x.random, 0, 1500*time.Millisecond))
	x.lead()
}

// present keeps the instances that put questions and the workers announced, until ctx ends.
func (x *search) present(ctx context.Context) {
	for beat := 0; ctx.Err() == nil; beat++ {
		c := x.controller()
		for i := 1; i < x.drawn.lanes; i++ {
			if lane := fmt.Sprint("lane", i); !x.adviser.isCut(lane) {
				_, _ = c.Follow(ctx, &FollowCall{Address: lane})
			}
		}
		x.workers.mu.Lock()
		var heard []*Announcement
		for i, w := range x.workers.all {
			if w.reachable(time.Now()) && i%heartbeatEach == beat%heartbeatEach {
				w.Sequence++
				heard = append(heard, &Announcement{Worker: w.Worker, Sequence: w.Sequence})
			}
		}
		x.workers.mu.Unlock()
		for _, call := range heard {
			go func() { _, _ = c.Announce(ctx, call) }()
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatPause):
		}
	}
}

const (
	// beatPause is the time between two rounds of heartbeats, of which each worker takes
	// part in one of heartbeatEach.
	beatPause     = 250 * time.Millisecond
	heartbeatEach = 4
)

// submit hands a job in to a queue.
func (x *search) submit(queue *workflow.Queue, steps []workflow.Step) {
	x.jobs++
	id := fmt.Sprint("j", x.jobs, "-", queue.Name)
	x.mu.Lock()
	x.steps[id] = steps
	c := x.c
	x.mu.Unlock()
	go func() {
		_, _ = c.Submit(context.Background(), &SubmitCall{Place: Place{Host: searchHost, Path: queue.Prefix + id}, Payload: "p", Steps: steps})
	}()
}

// configure stores the queues.
func (x *search) configure() {
	document := &workflow.Document{Version: 1, Source: []byte("{}"), Queues: x.drawn.queues}
	data, err := (&workflow.Command{Configuration: document}).Encode()
	if err != nil {
		x.t.Fatal(err)
	}
	x.state.Apply(0, data)
}

// play lets the seed's day pass, and returns what was found.
func (x *search) play() []string {
	x.configure()
	for i := range x.drawn.workers {
		x.workers.add(fmt.Sprint("w", i), 1)
	}
	x.lead()
	defer func() {
		x.stop()
		// Calls under way end before the world does.
		time.Sleep(2 * commitTimeout)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go x.workers.work(ctx)
	go x.present(ctx)
	time.Sleep(time.Second)
	for range x.drawn.hopeless {
		x.submit(&x.drawn.queues[0], undoable(nowhere, ""))
	}
	if queue := x.advisedQueue(); queue != nil {
		for range x.drawn.refused {
			x.submit(queue, undoable("", refusedImage))
		}
	}
	if found := x.disturbed(); len(found) > 0 {
		return found
	}
	x.settle()
	return x.verdict()
}

// advisedQueue returns the first queue that needs permits, nil for none.
func (x *search) advisedQueue() *workflow.Queue {
	for i := range x.drawn.queues {
		if x.drawn.queues[i].Policy.Advice != nil {
			return &x.drawn.queues[i]
		}
	}
	return nil
}

// settle ends traffic and disturbances.
func (x *search) settle() {
	x.mu.Lock()
	x.calm = true
	x.mu.Unlock()
	x.workers.mu.Lock()
	x.workers.calm = true
	x.workers.growAll()
	x.workers.mu.Unlock()
	x.store.mu.Lock()
	x.store.slowUntil, x.store.heldUntil, x.store.fullUntil = time.Time{}, time.Time{}, time.Time{}
	x.store.mu.Unlock()
	x.lines.say("calm")
}

// What a user sees: accepted work that nothing takes up while room is free.
// Order: drawn. Calls of workers get lost, are answered late, refused, misdirected and
// carried out late; workers crash, are cut off and refuse; lists aren't whole; leaders
// change; the log is slow, held up or full and leaves commands open; more comes in than
// fits. Then all that ends, and within a bound each ready task that has room twice over
// has to begin.
//
// What becomes of each call follows from the seed and the call alone, time is virtual,
// and all bounds are far from what sound code takes. The order in which goroutines run at
// one moment isn't drawn, so two runs of a seed differ in their details.
//
// BILBERRY_SEEDS names how many seeds are run, BILBERRY_SEED the first.
func TestSearchFindsNoWorkThatNothingTakesUp(t *testing.T) {
	few := 6
	if testing.Short() {
		few = 2
	}
	seeds, first := envNumber("BILBERRY_SEEDS", few), envNumber("BILBERRY_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				x := newSearch(t, uint64(seed))
				found := x.play()
				x.logFigures()
				if len(found) > 0 {
					t.Errorf("%s\n%s", strings.Join(found, "\n"), x.lines.about(jobsIn(found)...))
				}
			})
		})
	}
}

// logFigures says what the seed has drawn and how much happened.
func (x *search) logFigures() {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	d := x.drawn
	crashers, others := x.givenUp()
	x.t.Logf("crashers %.4f, shrinks %t, same names %t; given up %d crashers, %d others; workers %d, lanes %d, share %.2f, lease %v, load %.2f, burst %.2f, hopeless %d, refused %d, faults %+v; jobs %d, starts %d, questions %d, leaders %d, most behind %d, log refused %d, left open %d, virtual %v",
		d.crashers, d.shrinks, d.sameNames, crashers, others, d.workers, d.lanes, d.share, d.lease, d.load, d.burst, d.hopeless, d.refused, d.faults, x.jobs, x.workers.starts, x.adviser.asked, x.term, x.behind,
		x.store.refused, x.store.opened, time.Since(x.begun).Round(time.Millisecond))
}

// jobsIn returns the jobs that findings name.
func jobsIn(found []string) []string {
	var jobs []string
	for _, f := range found {
		for word := range strings.FieldsSeq(f) {
			if job, _, ok := strings.Cut(strings.TrimPrefix(word, "task="), "/"); ok && strings.HasPrefix(job, "j") {
				jobs = append(jobs, job+"/", "job="+job+" ")
			}
		}
	}
	return jobs
}
