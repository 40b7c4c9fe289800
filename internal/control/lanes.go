package control

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// followPause is the time between two announcements of an instance. From fewAnnounce
	// instances on it grows with their number, up to longestPause: many that announce
	// themselves often would be a large part of the calls that their leader serves.
	followPause  = 300 * time.Millisecond
	fewAnnounce  = 16
	longestPause = 600 * time.Millisecond
	// laneAnnouncements is how many announcements an instance may miss before it is
	// asked no more to put questions.
	laneAnnouncements = 3
	// laneRest is how long a lane is left alone after a question without an answer.
	laneRest = time.Second
	// longAsk is the length from which on a question leaves some lanes to short ones,
	// so that none of these waits behind it.
	longAsk = 150 * time.Millisecond
	// shortMemory is the time over which short questions are counted for that, and
	// shortSpread how many lanes more they get than they keep busy on average, in
	// multiples of the square root: that of a random arrival's spread, twice.
	shortMemory = 3 * time.Second
	shortSpread = 2
	// laneDepth bounds the questions under way on one lane.
	laneDepth = 3
)

// lane is one instance that puts questions to the adviser, which serves the
// questions of one machine one after the other.
type lane struct {
	address string
	heard   time.Time
	// restUntil keeps a lane unused that failed.
	restUntil time.Time
	// busyUntil is when the questions under way will have been answered.
	busyUntil time.Time
	underWay  int
}

// lanes spreads questions over the instances.
type lanes struct {
	own     string
	adviser Adviser
	client  Caller

	mu  sync.Mutex
	all map[string]*lane
	// shortLoad is how many lanes short questions have kept busy of late, as it was at
	// shortAt.
	shortLoad float64
	shortAt   time.Time
}

func newLanes(own string, adviser Adviser, client Caller) *lanes {
	return &lanes{own: own, adviser: adviser, client: client, all: map[string]*lane{own: {address: own}}}
}

// pause is the time between two announcements of an instance.
func (l *lanes) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauseFor(len(l.all))
}

func (l *lanes) pauseFor(instances int) time.Duration {
	return min(max(followPause, followPause*time.Duration(instances)/fewAnnounce), longestPause)
}

// note takes in that an instance is there.
func (l *lanes) note(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.all[address]
	if known == nil {
		known = &lane{address: address}
		l.all[address] = known
	}
	known.heard = now
}

// present returns the lanes that can be reached, in a fixed order. l.mu is held.
func (l *lanes) present(now time.Time) []*lane {
	var present []*lane
	fresh := laneAnnouncements * l.pauseFor(len(l.all))
	for _, candidate := range l.all {
		heard := candidate.address == l.own || now.Sub(candidate.heard) < fresh
		if heard && now.After(candidate.restUntil) {
			present = append(present, candidate)
		}
	}
	slices.SortFunc(present, func(a, b *lane) int { return cmp.Compare(a.address, b.address) })
	return present
}

// full reports whether no further question may be put on the lane.
func (l *lane) full() bool { return l.underWay >= laneDepth }

// free returns how many questions may be put now, and how many of them may be long.
func (l *lanes) free(now time.Time) (all, long int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := l.present(now)
	short := l.forShort(now, len(present))
	for i, candidate := range present {
		if candidate.full() {
			continue
		}
		all++
		if i >= short {
			long++
		}
	}
	return all, long
}

// noteShort takes in that a short question is put. l.mu is held.
func (l *lanes) noteShort(now time.Time, length time.Duration) {
	l.shortLoad = l.shortLoadAt(now) + length.Seconds()/shortMemory.Seconds()
	l.shortAt = now
}

// shortLoadAt returns how many lanes short questions keep busy. l.mu is held.
func (l *lanes) shortLoadAt(now time.Time) float64 {
	return l.shortLoad * math.Exp(-now.Sub(l.shortAt).Seconds()/shortMemory.Seconds())
}

// forShort returns how many of n lanes long questions leave to short ones: as many as
// these have needed of late, half at the most. l.mu is held.
//
// Load that it answers: large gangs, whose questions take over a second, and a hundred
// urgent jobs a second, whose questions take some milliseconds and keep a few lanes busy.
// With half of the lanes left to these the gangs' questions wait for each other; with
// none, urgent jobs wait behind them at a higher load.
func (l *lanes) forShort(now time.Time, n int) int {
	load := l.shortLoadAt(now)
	return min(int(math.Ceil(load+shortSpread*math.Sqrt(load)))+1, n/2)
}

// freeAt is when a question that is put now is begun. Idle lanes are equal, so that
// short questions keep to the first ones.
func (l *lane) freeAt(now time.Time) time.Time {
	if l.busyUntil.Before(now) {
		return now
	}
	return l.busyUntil
}

// take picks the lane that will be free first, and returns when the question will
// have been answered there. Short questions prefer the lanes that long ones leave.
func (l *lanes) take(now time.Time, length time.Duration) (*lane, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usable := l.present(now)
	if length > longAsk {
		usable = usable[l.forShort(now, len(usable)):]
	} else {
		l.noteShort(now, length)
	}
	usable = slices.DeleteFunc(usable, (*lane).full)
	if len(usable) == 0 {
		return nil, now
	}
	chosen := slices.MinFunc(usable, func(a, b *lane) int { return a.freeAt(now).Compare(b.freeAt(now)) })
	chosen.busyUntil = chosen.freeAt(now).Add(length)
	chosen.underWay++
	return chosen, chosen.busyUntil
}

func (l *lanes) give(used *lane, now time.Time, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used.underWay--
	if used.underWay == 0 {
		used.busyUntil = now
	}
	if failed {
		used.restUntil = now.Add(laneRest)
	}
}

func (l *lanes) ask(ctx context.Context, through *lane, call AskCall) (AskReply, error) {
	if through.address == l.own {
		return l.adviser.Ask(ctx, call)
	}
	var reply AskReply
	err := l.client.Call(ctx, through.address, MethodAsk, &call, &reply)
	return reply, err
}

// askLength is how long the adviser takes to answer.
func askLength(policy *workflow.AdvicePolicy, workers int) time.Duration {
	return time.Duration((policy.DecideMS + policy.EachMS*float64(workers)) * float64(time.Millisecond))
}
