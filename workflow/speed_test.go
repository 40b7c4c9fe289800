package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a speed that a snapshot or a heartbeat drops, and against a new incarnation that starts with the
// speed of its predecessor.
func TestSpeedBelongsToIncarnation(t *testing.T) {
	s := newState(t, smallStep(1))
	encoded, err := (&Command{Speeds: []WorkerSpeed{{Worker: "w1", SpeedPercent: 46}, {Worker: "unknown", SpeedPercent: 46}}}).Encode()
	must.NoError(t, err)
	command, err := Decode(encoded)
	must.NoError(t, err)
	s.Apply(3, &command)
	s.Apply(4, &Command{Worker: &Worker{ID: "w1", Name: "n", StartedAtMS: 1, Sequence: 2}})
	s.Apply(5, &Command{Worker: &Worker{ID: "w1@2", Name: "n", StartedAtMS: 2}})
	snapshot, err := s.Snapshot()
	must.NoError(t, err)
	s, err = Restore(snapshot)
	must.NoError(t, err)
	must.Eq(t, 46, s.Workers["w1"].SpeedPercent)
	must.Zero(t, s.Workers["w1@2"].SpeedPercent)
	must.MapNotContainsKey(t, s.Workers, "unknown")
	s.Apply(6, &Command{GoneWorker: "w1"})
	s.Apply(7, &command)
	must.Zero(t, s.Workers["w1"].SpeedPercent, must.Sprint("a decision of the past doesn't hold for a worker that is gone"))
}
