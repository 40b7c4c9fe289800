package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// announceCapacity lets worker w1 announce a capacity in thousandths of a core, with the
// heartbeat of the given sequence number.
func (s *State) announceCapacity(sequence uint64, milliCPU int64) {
	s.Apply(20, &Command{Worker: &Worker{
		ID: "w1", Service: "s", Address: "w1", Capacity: Resources{MilliCPU: milliCPU, MemoryMB: 800}, Sequence: sequence,
	}})
}

// Guards against a worker that is loaded beyond its capacity because it announces a smaller
// one between the decision on a start and the commit of the start.
func TestStartBeyondShrunkCapacityIsRejected(t *testing.T) {
	s := newState(t, smallStep(4))
	s.announceCapacity(1, 2500)
	must.SliceLen(t, 2, s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2)))
	must.SliceLen(t, 1, s.startRuns("w2", key(0, 2)))
	s.announceCapacity(2, 500)
	must.SliceEmpty(t, s.startRuns("w1", key(0, 3)))
	s.announceCapacity(3, 8000)
	must.SliceLen(t, 1, s.startRuns("w1", key(0, 3)))
}

// Guards against a gang that starts in part, or on a worker whose capacity has shrunk and
// no longer holds all members placed there.
func TestGangBeyondShrunkCapacityIsRejected(t *testing.T) {
	gang := smallStep(3)
	gang.Gang = true
	s := newState(t, gang)
	s.announceCapacity(1, 2500)
	must.SliceEmpty(t, s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2)))
	s.announceCapacity(2, 3000)
	must.SliceLen(t, 3, s.startRuns("w1", key(0, 0), key(0, 1), key(0, 2)))
}

// Guards against an older heartbeat that is committed after a newer one and overwrites it.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	s := newState(t, smallStep(1))
	s.announceCapacity(7, 500)
	s.announceCapacity(6, 8000)
	must.Eq(t, 500, s.Workers["w1"].Capacity.MilliCPU)
}
