package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// minSurveyInterval is the shortest pause between two surveys of a large fleet.
	minSurveyInterval = 500 * time.Millisecond
	// surveyChunk is the number of workers that a survey looks at before others get the lock.
	surveyChunk = 128
)

// fleetSurvey sums up all workers of a large fleet, of which decisions consider only some. Its
// workers are looked at one after the other, so that the sums are of no single moment. It isn't
// changed once it is complete.
type fleetSurvey struct {
	usable    int
	resources clusterResources
	// unschedulable counts the workers that get no new tasks, by reason.
	unschedulable map[dispatch.Reason]int
	// room holds the pools and the limits of customers for admission.
	room   admission.Snapshot
	limits customerLimits
}

// surveyLoop surveys the workers until the leader term ends.
func (t *leaderTerm) surveyLoop() {
	for t.ctx.Err() == nil {
		start := time.Now()
		t.surveyFleet()
		wait.For(t.ctx, nextCheckAfter(minSurveyInterval, time.Since(start)))
	}
}

// surveyFleet makes a survey of a large fleet. It holds the lock for a chunk of the workers at a
// time, because decisions and calls wait meanwhile.
func (t *leaderTerm) surveyFleet() {
	t.mu.Lock()
	var ids []string
	if !t.isWholeFleet() {
		ids = slices.Sorted(maps.Keys(t.sessions))
	}
	t.mu.Unlock()
	if ids == nil {
		return
	}
	survey := &fleetSurvey{unschedulable: map[dispatch.Reason]int{}, room: admission.Snapshot{Pools: map[string]admission.Room{}}}
	for chunk := range slices.Chunk(ids, surveyChunk) {
		t.mu.Lock()
		t.c.state.read(func(s *workflow.State) { survey.addChunk(t.newWorkerGathering(s, time.Now()), chunk) })
		t.mu.Unlock()
	}
	t.mu.Lock()
	t.survey = survey
	t.mu.Unlock()
}

// addChunk adds workers to the survey.
func (v *fleetSurvey) addChunk(g *workerGathering, ids []string) {
	if v.limits == nil {
		v.limits = newCustomerLimits(g.s)
	}
	for _, id := range ids {
		if w, usable := g.describe(id); usable {
			v.usable++
			v.resources.add(&w)
			addWorker(&v.room, v.limits, w.Service, w.Capacity, w.Capacity.Minus(w.Free), g.t.sessions[id].runSummary.runningWork)
			continue
		}
		v.addUnusable(g, id)
	}
}

// addUnusable adds a worker that gets no new tasks.
func (v *fleetSurvey) addUnusable(g *workerGathering, id string) {
	session, state := g.t.sessions[id], g.s.Workers[id]
	if session == nil || state == nil || state.Gone {
		return
	}
	v.unschedulable[session.unschedulableReason(g.now, g.suspects, len(g.s.Runs[id]))]++
	if g.t.mayBecomeUsable(session, state, g.now) {
		used, _ := g.s.Used(id)
		addWorker(&v.room, v.limits, state.Service, state.Capacity, used, nil)
	}
}

// totalsOf returns the resources of all usable workers and their number. t.mu must not be held.
func (t *leaderTerm) totalsOf(input *planInput) (totals clusterResources, usable int) {
	totals, usable = sumResources(input.workers), len(input.workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.survey == nil || t.isWholeFleet() {
		return totals, usable
	}
	reserved := totals.reserved
	totals, usable = t.survey.resources, t.survey.usable
	totals.reserved = reserved
	return totals, usable
}
