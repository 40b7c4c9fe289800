package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	floodingFlow = 1
	fairFlows    = 20
	// fairReplay is long enough that each flow sends more than 100 calls.
	fairReplay = 20 * time.Second
	fairStep   = time.Millisecond
	// submitCapacity is how many submissions per second the normal bounds serve, with commits of commitTime.
	submitCapacity = 32 / 0.030
)

// flowCounts are the offered and the served calls by flow.
type flowCounts struct{ offered, served [fairFlows + 1]int }

// replayFlows replays submissions of fairFlows flows: the flooding flow sends floodRate calls per second, each
// other one usualRate. With merged, all are of one flow for the limiter.
func replayFlows(t *testing.T, usualRate, floodRate float64, merged bool) (counts flowCounts) {
	limiter, random := NewLimiter(DefaultBounds()), rand.New(rand.NewPCG(3, 4))
	waiting := map[CallID]int{}
	var ends []time.Duration
	serve := func(at time.Duration, flow int) {
		counts.served[flow]++
		ends = append(ends, at+commitTime)
	}
	for at := time.Duration(0); at < fairReplay; at += fairStep {
		now := time.Time{}.Add(at)
		for len(ends) > 0 && ends[0] <= at {
			ends = ends[1:]
			limiter.Done(now, ClassSubmit)
		}
		// The flows call in random order within a step.
		for _, i := range random.Perm(fairFlows) {
			flow, rate := i+1, usualRate
			if flow == floodingFlow {
				rate = floodRate
			}
			for expected := rate * fairStep.Seconds(); random.Float64() < expected; expected-- {
				counts.offered[flow]++
				label := uint64(flow)
				if merged {
					label = 0
				}
				switch id, decision := limiter.Arrive(now, ClassSubmit, label); decision {
				case Serve:
					serve(at, flow)
				case Wait:
					waiting[id] = flow
				}
			}
		}
		for _, outcome := range limiter.TakeOutcomes() {
			if outcome.Served {
				serve(at, waiting[outcome.ID])
			}
			delete(waiting, outcome.ID)
		}
		load := limiter.Load(ClassSubmit)
		must.True(t, load.Waiting == 0 || load.InService == load.Bound, must.Sprint("a slot is idle while a call waits"))
		must.MapLen(t, load.Waiting, waiting)
		must.LessEq(t, DefaultBounds()[ClassSubmit].Waiting, load.Waiting)
	}
	return counts
}

// Guards against a flow that floods the leader and takes the places of flows that send their usual calls, and
// against capacity that no flow gets.
func TestFloodingFlowTakesNothingFromOthers(t *testing.T) {
	for name, test := range map[string]struct {
		// flood is how many times the usual calls the flooding flow sends, capacity the part of the offered
		// calls that can be served.
		flood, capacity float64
	}{
		// Of 29 units 14.5 can be served, which is less than the 19 units of the others, so the flows share equally.
		"all flows exceed their share": {flood: 10, capacity: 0.5},
		// Of 29 units 22 can be served.
		"others within their share": {flood: 10, capacity: 22.0 / 29},
		// The flooding flow sends ten times what all flows usually send together. Of 219 units 109.5 can be served.
		"flood of ten times the usual total": {flood: 200, capacity: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			usualRate := submitCapacity / test.capacity / (test.flood + fairFlows - 1)
			counts := replayFlows(t, usualRate, test.flood*usualRate, false)
			capacity := submitCapacity * fairReplay.Seconds()
			rest := capacity
			least := 1.0
			for flow := floodingFlow + 1; flow <= fairFlows; flow++ {
				due := min(float64(counts.offered[flow]), capacity/fairFlows)
				served := float64(counts.served[flow])
				least = min(least, served/due)
				rest -= served
			}
			t.Logf("usual rate %.1f; the least served flow gets %.3f of its share, the flooding flow %d of %.0f that remain",
				usualRate, least, counts.served[floodingFlow], rest)
			must.GreaterEq(t, 0.95, least)
			must.GreaterEq(t, 0.95*rest, float64(counts.served[floodingFlow]))

			merged := replayFlows(t, usualRate, test.flood*usualRate, true)
			lost := 0
			for flow := floodingFlow + 1; flow <= fairFlows; flow++ {
				if float64(merged.served[flow]) < 0.95*min(float64(merged.offered[flow]), capacity/fairFlows) {
					lost++
				}
			}
			must.Eq(t, fairFlows-1, lost, must.Sprint("the load isn't unfair without flows"))
		})
	}
}

// Guards against a flow that is alone and doesn't get all the slots and waiting places.
func TestLoneFlowUsesAllSlots(t *testing.T) {
	bounds := DefaultBounds()[ClassSubmit]
	limiter := NewLimiter(DefaultBounds())
	for range bounds.InService + bounds.Waiting {
		_, decision := limiter.Arrive(time.Time{}, ClassSubmit, floodingFlow)
		must.NotEq(t, Refuse, decision)
	}
	must.Eq(t, Load{Bound: bounds.InService, InService: bounds.InService, Waiting: bounds.Waiting}, limiter.Load(ClassSubmit))
	_, decision := limiter.Arrive(time.Time{}, ClassSubmit, floodingFlow)
	must.Eq(t, Refuse, decision)
}
