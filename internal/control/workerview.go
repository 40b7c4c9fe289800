package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workerindex"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// parkedCheckInterval is the time between two checks whether parked workers may get tasks
	// again: their calls are answered, their quarantine ends, or their data centre responds.
	parkedCheckInterval = 100 * time.Millisecond
	// backlogSelection is how many workers are selected for the steps of one service, label and
	// rack together while more steps wait than a decision considers.
	backlogSelection = 1024
)

// workerView selects the workers that a decision about a large fleet considers. Its index is
// kept up to date by events: workers are marked as changed when a command or a report changes
// them, and the next decision sets them in the index.
//
// Decisions that looked over thousands of workers would take tens of milliseconds each. They
// would delay the heartbeats of the log, and each submission would wait for two of them.
//
// The index only orders workers. Each selected worker is looked at again before a decision uses
// it; one that gets no task is parked and checked again later.
type workerView struct {
	index *workerindex.Index
	// filled says that the index holds the workers; it is empty while decisions consider the
	// whole fleet.
	filled bool
	// parked are the workers that get no task.
	parked          map[string]bool
	parkedCheckedAt time.Time
	// reserved are the resources that the last full decision reserved, by worker.
	reserved map[string]workflow.Resources

	// mu guards changed, which the goroutine of the log adds to. The other fields are guarded
	// by leaderTerm.mu.
	mu      sync.Mutex
	changed map[string]bool
}

func newWorkerView() *workerView {
	return &workerView{index: workerindex.New(), parked: map[string]bool{}, changed: map[string]bool{}}
}

// markChanged records that a worker has to be set in the index again.
func (v *workerView) markChanged(ids ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		v.changed[id] = true
	}
}

// markCommand records the workers whose runs, resources or incarnation a command may change.
func (v *workerView) markCommand(c *workflow.Command) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range c.Start {
		v.changed[c.Start[i].Worker] = true
	}
	if c.Ends != nil {
		v.changed[c.Ends.Worker] = true
	}
	if c.Worker != nil {
		v.changed[c.Worker.ID] = true
	}
	if c.GoneWorker != "" {
		v.changed[c.GoneWorker] = true
	}
}

func (v *workerView) takeChanged() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.changed
	v.changed = map[string]bool{}
	return changed
}

// park removes a worker that gets no task from the index.
func (v *workerView) park(id string) {
	v.index.Remove(id)
	v.parked[id] = true
}

// parkMissing parks the selected workers that aren't among those that may get tasks. Both are
// sorted by ID.
func (v *workerView) parkMissing(selected []string, usable []dispatch.Worker) {
	for _, id := range selected {
		if len(usable) > 0 && usable[0].ID == id {
			usable = usable[1:]
			continue
		}
		v.park(id)
	}
}

// clear empties the view.
func (v *workerView) clear() {
	v.takeChanged()
	if v.filled {
		v.index, v.filled = workerindex.New(), false
		clear(v.parked)
	}
}

// refresh sets the changed workers in the index, and from time to time the parked ones.
func (v *workerView) refresh(g *workerGathering) {
	if !v.filled {
		v.filled = true
		for id := range g.t.sessions {
			v.markChanged(id)
		}
	}
	for id := range v.takeChanged() {
		v.set(g, id)
	}
	if g.now.Sub(v.parkedCheckedAt) < parkedCheckInterval {
		return
	}
	v.parkedCheckedAt = g.now
	for _, id := range slices.Collect(maps.Keys(v.parked)) {
		v.set(g, id)
	}
}

// set sets a worker in the index, or parks it, or forgets it if it isn't monitored.
func (v *workerView) set(g *workerGathering, id string) {
	switch {
	case g.t.sessions[id] == nil:
		v.index.Remove(id)
		delete(v.parked, id)
	case g.unschedulable(id):
		v.park(id)
	default:
		delete(v.parked, id)
		state := g.s.Workers[id]
		v.index.Set(workerindex.Worker{
			ID: id, Service: state.Service, Rack: state.Rack, Labels: state.Labels, Capacity: state.Capacity, Free: g.free(state),
			SpeedClass: g.t.sessions[id].speedClass(),
		})
	}
}

// selectFor returns the workers that a decision about the steps considers, sorted by ID: those
// that are known to be permitted, and for each step as many of the others as it may need.
func (v *workerView) selectFor(steps []dispatch.Step) []string {
	chosen := map[string]bool{}
	add := func(id string) { chosen[id] = true }
	for i := range steps {
		for _, id := range steps[i].GrantedWorkers {
			add(id)
		}
	}
	if len(steps) > maxPlannedSteps {
		v.selectForBacklog(steps, add)
	} else {
		for i := range steps {
			v.selectForStep(&steps[i], add)
		}
	}
	return slices.Sorted(maps.Keys(chosen))
}

// selectForStep adds the workers that one step may need beside those with a known permit.
func (v *workerView) selectForStep(step *dispatch.Step, add func(id string)) {
	if len(step.Permits) >= v.index.Len() {
		// The adviser has decided about all of them.
		return
	}
	known := func(id string) bool { _, known := step.Permits[id]; return known }
	n := step.WantedWorkers(&planLimits)
	v.index.MostFree(requirementOf(step), n, known, add)
	if !step.NeedsPermit {
		v.index.LeastFree(requirementOf(step), n, known, add)
	}
}

// selectForBacklog adds workers for steps of which a decision considers only some. Steps of one
// service, label and rack share the selection.
func (v *workerView) selectForBacklog(steps []dispatch.Step, add func(id string)) {
	type group struct{ service, label, rack string }
	least := map[group]workflow.Resources{}
	for i := range steps {
		r := requirementOf(&steps[i])
		key := group{r.Service, r.Label, r.Rack}
		demand, found := least[key]
		if !found {
			demand = r.Demand
		}
		least[key] = demand.Min(r.Demand)
	}
	none := func(string) bool { return false }
	for key, demand := range least {
		r := workerindex.Requirement{Service: key.service, Label: key.label, Rack: key.rack, Demand: demand}
		v.index.MostFree(r, backlogSelection, none, add)
		v.index.LeastFree(r, backlogSelection, none, add)
	}
}

// requirementOf returns what a step requires of its workers.
func requirementOf(step *dispatch.Step) workerindex.Requirement {
	return workerindex.Requirement{Service: step.Service, Label: step.Spec.Label, Rack: step.Spec.DataRack, Demand: step.Spec.Demand()}
}

// recordReserved remembers what a full decision has reserved on its workers.
func (t *leaderTerm) recordReserved(workers []dispatch.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.reserved = map[string]workflow.Resources{}
	for i := range workers {
		if w := &workers[i]; w.Reserved != (workflow.Resources{}) {
			t.view.reserved[w.ID] = w.Reserved
		}
	}
}

// gatherUnreserved returns the workers for an incremental decision about the steps: what the last
// full decision has reserved isn't free. t.mu must be held.
func (t *leaderTerm) gatherUnreserved(s *workflow.State, steps []dispatch.Step, now time.Time) []dispatch.Worker {
	workers := t.gatherWorkers(s, steps, now)
	for i := range workers {
		w := &workers[i]
		w.Free = w.Free.Minus(t.view.reserved[w.ID])
		w.FreeBeforePlan = w.Free
	}
	return workers
}
