package workflow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against members that follow different incarnations of a worker: of those that started at the
// same time a restored member took any.
func TestNewestIncarnationIsTheSameAfterRestore(t *testing.T) {
	s := NewState()
	for i := range 8 {
		s.Apply(1, &Command{Worker: &Worker{ID: fmt.Sprint("a.", i), Name: "a", StartedAtMS: 5}})
	}
	for range 20 {
		must.Eq(t, s.NewestIncarnation("a").ID, s.restored(t).NewestIncarnation("a").ID)
	}
}

// Guards against an incarnation that takes the name of another worker with a later heartbeat: members
// that restore a snapshot found it under the new name, the others under the old one.
func TestIncarnationKeepsItsNameAndStart(t *testing.T) {
	s := NewState()
	s.Apply(1, &Command{Worker: &Worker{ID: "a.1", Name: "a", StartedAtMS: 5, Sequence: 1}})
	s.Apply(2, &Command{Worker: &Worker{ID: "a.1", Name: "b", StartedAtMS: 6, Sequence: 2, Draining: true}})
	for _, member := range []*State{s, s.restored(t)} {
		must.Eq(t, "a.1", member.NewestIncarnation("a").ID)
		must.Nil(t, member.NewestIncarnation("b"))
		must.Eq(t, 5, member.Workers["a.1"].StartedAtMS)
		must.True(t, member.Workers["a.1"].Draining)
	}
}
