package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// WorkerFaults are the faults that a worker injects. The zero value injects none.
type WorkerFaults struct {
	// FailAll makes every task fail as soon as it is started.
	FailAll bool
	// LoseResponses is the share of responses from entry instances that the worker
	// drops, from 0 to 1.
	LoseResponses float64
	// DuplicateReports sends every report twice.
	DuplicateReports bool
	// ReportDelay delays every report.
	ReportDelay time.Duration
}

// Worker is one stand-in worker, whose tasks are timers. It runs one incarnation after
// the other: a Restart or the end of the lease starts a successor.
type Worker struct {
	cfg        WorkersConfig
	dataCentre DataCentre
	id         string
	rack       string
	index      int
	logger     log.Logger
	gateway    *failover[apiv1.WorkerGateway]
	httpClient *http.Client

	mu       sync.Mutex
	random   *rand.Rand
	capacity *apiv1.Resources
	faults   WorkerFaults
	// incarnation is the number of the latest incarnation.
	incarnation uint64
	// session is the latest incarnation, or nil before Run.
	session *session
	// resumed is closed unless the worker is paused.
	resumed chan struct{}
	// restart receives a value when the simulated process is to restart.
	restart chan struct{}
	leaving bool
}

func newWorker(cfg WorkersConfig, index int) *Worker {
	dataCentre, id, rack := cfg.identity(index)
	client := NewHTTPClient(cfg.Token, cfg.Dial)
	w := &Worker{
		cfg:        cfg,
		dataCentre: dataCentre,
		id:         id,
		rack:       rack,
		index:      index,
		logger:     log.With(cfg.Logger, "worker", id),
		httpClient: client,
		random:     rand.New(rand.NewPCG(cfg.Seed, uint64(index))),
		capacity:   cfg.Capacity,
		resumed:    make(chan struct{}),
		restart:    make(chan struct{}, 1),
	}
	close(w.resumed)
	if index < cfg.FaultyCount {
		w.faults = cfg.Faults
	}
	gateways := newClients(dataCentre.Entries, func(url string) apiv1.WorkerGateway {
		return apiv1.NewWorkerGatewayProtobufClient(url, client)
	})
	w.gateway = newFailover(gateways, index/len(cfg.DataCentres))
	return w
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// DataCentre returns the name of the worker's data centre.
func (w *Worker) DataCentre() string { return w.dataCentre.Name }

// Run runs the worker's incarnations until the context ends or the worker has left.
// The error is always nil.
func (w *Worker) Run(ctx context.Context) error {
	defer w.httpClient.CloseIdleConnections()
	for ctx.Err() == nil && !w.isLeaving() {
		w.runProcess(ctx)
	}
	return nil
}

// runProcess simulates one process of the worker until Restart or the end of the
// context. The process starts a successor incarnation each time its lease ends.
func (w *Worker) runProcess(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() {
		select {
		case <-w.restart:
			cancel()
		case <-ctx.Done():
		}
	})
	s := w.newSession(nil)
	for s.run(ctx, &background) {
		s = w.newSession(s)
	}
}

// newSession starts an incarnation. predecessor is the incarnation of the same process
// whose lease has ended, or nil.
func (w *Worker) newSession(predecessor *session) *session {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The numbers of incarnations must increase. Unix milliseconds increase across
	// restarts of this program; adding 1 to the latest number covers two incarnations
	// within one millisecond.
	w.incarnation = max(w.incarnation+1, uint64(time.Now().UnixMilli()))
	w.session = newSession(w, w.incarnation, w.capacity)
	w.session.predecessor = predecessor
	return w.session
}

// current returns the latest incarnation, or nil before Run.
func (w *Worker) current() *session {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.session
}

func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// HoldsLease reports whether the worker holds a lease by its own clock.
func (w *Worker) HoldsLease() bool {
	s := w.current()
	return s != nil && s.holdsLease()
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	s := w.current()
	if s == nil {
		return 0
	}
	return s.runningCount()
}

// Pause stops renewals and reports until Resume, as in a process that hangs. Tasks
// continue until the lease expires; the worker's own lease check then stops them.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.resumed:
		w.resumed = make(chan struct{})
	default:
	}
}

// Resume ends a pause.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.resumed:
	default:
		close(w.resumed)
	}
}

// waitResumed returns once the worker isn't paused or the context has ended.
func (w *Worker) waitResumed(ctx context.Context) {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// Restart ends the incarnation as a crash would: tasks end and unacknowledged reports
// are lost. The successor has the given capacity; nil keeps the previous one.
func (w *Worker) Restart(capacity *apiv1.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if capacity != nil {
		w.capacity = capacity
	}
	select {
	case w.restart <- struct{}{}:
	default:
	}
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

func (w *Worker) currentFaults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Leave shuts the worker down gracefully: it stops the tasks, sends their reports and
// tells an entry instance that the worker leaves. Run returns afterwards. The error is
// that of the last LeaveWorker call if none succeeded.
func (w *Worker) Leave(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	s := w.session
	w.mu.Unlock()
	if s == nil {
		return nil
	}
	s.leave()
	s.flush(ctx)
	err := w.sendLeave(ctx, s.incarnation)
	w.Restart(nil)
	return err
}

// sendLeave tells an entry instance that the worker leaves, with one try per address.
func (w *Worker) sendLeave(ctx context.Context, incarnation uint64) error {
	var err error
	for range w.dataCentre.Entries {
		gateway, index := w.gateway.pick()
		_, err = gateway.LeaveWorker(ctx, &apiv1.LeaveWorkerRequest{Worker: w.id, Incarnation: incarnation})
		if err == nil {
			return nil
		}
		w.gateway.markFailed(index)
	}
	return err
}

// loseResponse decides at random whether to drop the response that has just arrived.
func (w *Worker) loseResponse() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.LoseResponses > 0 && w.random.Float64() < w.faults.LoseResponses
}

// jitter returns a random duration between d/2 and d.
func (w *Worker) jitter(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}
