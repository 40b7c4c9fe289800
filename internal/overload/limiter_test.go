package overload

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// smallBounds make calls wait and be refused often.
var smallBounds = Bounds{
	ClassLog:    {InService: 100, MinInService: 100},
	ClassWork:   {InService: 3, MinInService: 3, Waiting: 4, MaxWait: 80 * time.Millisecond},
	ClassSubmit: {InService: 4, MinInService: 1, Waiting: 5, MaxWait: 40 * time.Millisecond},
	ClassRead:   {InService: 4, MinInService: 1, Waiting: 5, MaxWait: 20 * time.Millisecond},
}

// limiterModel records the calls of a Limiter.
type limiterModel struct {
	limiter *Limiter
	now     time.Time
	// waiting holds the waiting calls of each class by flow, in the order of arrival.
	waiting [classCount]map[uint64][]CallID
	// turns is, for each class and flow with waiting calls, after how many services of its class the flow must
	// have been served.
	turns [classCount]map[uint64]int
	// flows and deadlines are those of all calls that have waited.
	flows     map[CallID]uint64
	deadlines map[CallID]time.Time
	inService [classCount]int
}

func newLimiterModel() *limiterModel {
	m := &limiterModel{limiter: NewLimiter(smallBounds), now: time.Unix(1000, 0), flows: map[CallID]uint64{}, deadlines: map[CallID]time.Time{}}
	for class := range classCount {
		m.waiting[class], m.turns[class] = map[uint64][]CallID{}, map[uint64]int{}
	}
	return m
}

// waits returns how many calls of a class wait.
func (m *limiterModel) waits(class Class) int {
	n := 0
	for _, calls := range m.waiting[class] {
		n += len(calls)
	}
	return n
}

// mostWaiting returns the number of waiting calls of the flow of a class that has the most.
func (m *limiterModel) mostWaiting(class Class) int {
	n := 0
	for _, calls := range m.waiting[class] {
		n = max(n, len(calls))
	}
	return n
}

// add adds a waiting call.
func (m *limiterModel) add(id CallID, class Class, flow uint64) {
	m.flows[id], m.deadlines[id] = flow, m.now.Add(smallBounds[class].MaxWait)
	m.waiting[class][flow] = append(m.waiting[class][flow], id)
	if len(m.waiting[class][flow]) == 1 {
		m.turns[class][flow] = len(m.waiting[class])
	}
}

// remove removes call i of the waiting calls of a flow.
func (m *limiterModel) remove(class Class, flow uint64, i int) {
	m.waiting[class][flow] = slices.Delete(m.waiting[class][flow], i, i+1)
	if len(m.waiting[class][flow]) == 0 {
		delete(m.waiting[class], flow)
		delete(m.turns[class], flow)
	}
}

// serve records that the first waiting call of a flow is served.
func (m *limiterModel) serve(t *rapid.T, class Class, flow uint64) {
	m.inService[class]++
	for other := range m.turns[class] {
		m.turns[class][other]--
		must.GreaterEq(t, 0, m.turns[class][other], must.Sprint("a flow waits for more services than there are waiting flows"))
		if other != flow {
			must.Positive(t, m.turns[class][other], must.Sprint("another flow is served in the turn of a flow"))
		}
	}
	m.remove(class, flow, 0)
	if len(m.waiting[class][flow]) > 0 {
		m.turns[class][flow] = len(m.waiting[class])
	}
}

// arrival is a call that has just arrived. Its class is classCount if there is none.
type arrival struct {
	class    Class
	flow     uint64
	id       CallID
	decision Decision
}

var noArrival = arrival{class: classCount}

// takeOutcomes checks and records the outcomes of an operation. At most one call, the last one, is refused in
// favour of the one that has arrived.
func (m *limiterModel) takeOutcomes(t *rapid.T, a arrival) (served [classCount]bool) {
	outcomes := m.limiter.TakeOutcomes()
	for i, o := range outcomes {
		flow, known := m.flows[o.ID]
		must.True(t, known)
		place := slices.Index(m.waiting[o.Class][flow], o.ID)
		must.GreaterEq(t, 0, place, must.Sprint("an outcome of a call that doesn't wait"))
		expired := !m.now.Before(m.deadlines[o.ID])
		switch {
		case o.Served:
			must.False(t, expired)
			must.Zero(t, place, must.Sprint("not in the order of arrival"))
			m.serve(t, o.Class, flow)
			served[o.Class] = true
		case expired:
			must.Zero(t, place, must.Sprint("not in the order of arrival"))
			m.remove(o.Class, flow, 0)
		default:
			must.Eq(t, len(outcomes)-1, i, must.Sprint("refused without an arrival"))
			must.Eq(t, a.class, o.Class)
			must.Eq(t, Wait, a.decision)
			must.GreaterEq(t, m.limiter.classes[a.class].waitingBound(), m.waits(a.class), must.Sprint("refused below the bound"))
			must.Len(t, m.mostWaiting(a.class), m.waiting[a.class][flow], must.Sprint("refused a call of a flow that hasn't the most"))
			must.Less(t, m.mostWaiting(a.class), len(m.waiting[a.class][a.flow]), must.Sprint("refused for a flow with as many"))
			must.Eq(t, m.mostWaiting(a.class)-1, place, must.Sprint("refused a call that isn't the newest"))
			m.remove(a.class, flow, place)
		}
	}
	return served
}

// arrive records the decision on a call that has arrived, after the outcomes.
func (m *limiterModel) arrive(t *rapid.T, a arrival) {
	switch a.decision {
	case Serve:
		must.Zero(t, m.waits(a.class), must.Sprint("served before the waiting calls"))
		m.inService[a.class]++
	case Wait:
		m.add(a.id, a.class, a.flow)
	case Refuse:
		must.Positive(t, m.waits(a.class))
		must.GreaterEq(t, m.limiter.classes[a.class].waitingBound(), m.waits(a.class), must.Sprint("refused below the bound"))
		must.Len(t, m.mostWaiting(a.class), m.waiting[a.class][a.flow], must.Sprint("refused although another flow has more"))
	}
}

// settle checks the outcomes of an operation and the state after it.
func (m *limiterModel) settle(t *rapid.T, a arrival) {
	served := m.takeOutcomes(t, a)
	if a.class < classCount {
		m.arrive(t, a)
		served[a.class] = served[a.class] || a.decision == Serve
	}
	// An outcome is decided before the call that arrives begins to wait.
	higherWaits, higherWaited := false, false
	for class := range classCount {
		load, bounds := m.limiter.Load(class), smallBounds[class]
		must.Eq(t, m.inService[class], load.InService)
		must.Eq(t, m.waits(class), load.Waiting)
		must.Between(t, bounds.MinInService, load.Bound, bounds.InService)
		must.LessEq(t, bounds.Waiting, load.Waiting)
		limit, servedLimit := load.Bound, load.Bound
		if higherWaits && m.limiter.Reduced() {
			limit = bounds.MinInService
		}
		if higherWaited && m.limiter.Reduced() {
			servedLimit = bounds.MinInService
		}
		if served[class] {
			must.LessEq(t, servedLimit, load.InService, must.Sprint("a served call exceeds the bound or a class with precedence waits"))
		}
		if load.Waiting > 0 {
			must.GreaterEq(t, limit, load.InService, must.Sprint("a call waits although the bounds allow it"))
		}
		for _, calls := range m.waiting[class] {
			for _, id := range calls {
				must.True(t, m.now.Before(m.deadlines[id]), must.Sprint("a call waits for too long"))
			}
		}
		arrivedAlone := a.class == class && a.decision == Wait && load.Waiting == 1
		higherWaits = higherWaits || load.Waiting > 0
		higherWaited = higherWaited || load.Waiting > 0 && !arrivedAlone
	}
}

// Guards against bounds that are exceeded, waiting calls that get no outcome or two, classes without precedence,
// and flows that wait for more than one call of each other flow.
func TestLimiterKeepsBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLimiterModel()
		classes := rapid.SampledFrom([]Class{ClassLog, ClassWork, ClassSubmit, ClassRead})
		flows := rapid.Uint64Range(0, 3)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				a := arrival{class: classes.Draw(t, "class"), flow: flows.Draw(t, "flow")}
				a.id, a.decision = m.limiter.Arrive(m.now, a.class, a.flow)
				if a.class < ClassSubmit {
					a.flow = 0
				}
				m.settle(t, a)
			},
			"done": func(t *rapid.T) {
				class := classes.Draw(t, "class")
				if m.inService[class] > 0 {
					m.inService[class]--
					m.limiter.Done(m.now, class)
					m.settle(t, noArrival)
				}
			},
			"cancel": func(t *rapid.T) {
				class, flow := classes.Draw(t, "class"), flows.Draw(t, "flow")
				if n := len(m.waiting[class][flow]); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "i")
					id := m.waiting[class][flow][i]
					m.remove(class, flow, i)
					must.True(t, m.limiter.Cancel(m.now, id, class))
					must.False(t, m.limiter.Cancel(m.now, id, class))
					m.settle(t, noArrival)
				}
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"observe": func(t *rapid.T) {
				delay := time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
				m.now = m.now.Add(sampleInterval + delay)
				m.limiter.Observe(m.now, delay)
				m.settle(t, noArrival)
			},
		})
	})
}

// Guards against bounds that take longer to fall than an election does, or more than a second to recover.
func TestBoundsFollowDelay(t *testing.T) {
	l := NewLimiter(DefaultBounds())
	bound := func() int { return l.Load(ClassSubmit).Bound }
	l.Observe(time.Time{}, maxDelay)
	must.Eq(t, 32, bound())
	l.Observe(time.Time{}, maxDelay+time.Millisecond)
	must.Eq(t, 16, bound())
	l.Observe(time.Time{}, time.Hour)
	must.Eq(t, 4, bound())
	l.Observe(time.Time{}, 2*maxDelay)
	l.Observe(time.Time{}, maxDelay+time.Millisecond)
	must.Eq(t, 1, bound())
	must.Eq(t, 1, l.Load(ClassRead).Bound)
	must.Eq(t, 2048, l.Load(ClassWork).Bound)
	for range 31 {
		must.True(t, l.Reduced())
		l.Observe(time.Time{}, time.Millisecond)
	}
	must.False(t, l.Reduced())
}
