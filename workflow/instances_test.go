package workflow

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

// Guards against members that hold different lists of instances, a list that grows without
// bound, and one that a snapshot loses.
func TestKnownInstancesAreBoundedAndInSnapshots(t *testing.T) {
	one, other := NewState(), NewState()
	apply := func(c InstanceChange) {
		encoded, err := (&Command{Instance: &c}).Encode()
		must.NoError(t, err)
		for _, s := range []*State{one, other} {
			decoded, err := Decode(encoded)
			must.NoError(t, err)
			s.Apply(1, &decoded)
		}
		snapshot, err := other.Snapshot()
		must.NoError(t, err)
		other, err = Restore(snapshot)
		must.NoError(t, err)
		must.Eq(t, one.Instances, other.Instances)
	}
	for _, address := range []string{"c", "a", "b", "a", ""} {
		apply(InstanceChange{Announced: address})
	}
	must.Eq(t, []string{"a", "b", "c"}, one.Instances)
	apply(InstanceChange{Gone: []string{"b", "unknown"}})
	must.Eq(t, []string{"a", "c"}, one.Instances)
	for i := range MaxInstances {
		one.Apply(1, &Command{Instance: &InstanceChange{Announced: fmt.Sprint(i)}})
	}
	must.SliceLen(t, MaxInstances, one.Instances)
	must.True(t, slices.IsSorted(one.Instances))
	must.False(t, one.LacksInstance("new"))
	one.Apply(1, &Command{Instance: &InstanceChange{Gone: []string{"a"}}})
	must.True(t, one.LacksInstance("new"))
}

// Guards against a snapshot or a log entry of an earlier version, without the list of
// instances, that can't be decoded, and against a member of an earlier version that can't
// decode the new command.
func TestSnapshotsAndCommandsWithoutInstancesDecode(t *testing.T) {
	type earlierState struct {
		Jobs          map[string]*Job         `cbor:"1,keyasint"`
		Workers       map[string]*WorkerState `cbor:"2,keyasint"`
		Configuration Document                `cbor:"3,keyasint"`
		RunList       []Run                   `cbor:"4,keyasint"`
	}
	type earlierCommand struct {
		Cancel string `cbor:"2,keyasint,omitempty"`
	}
	snapshot, err := cbor.Marshal(earlierState{Jobs: map[string]*Job{"j": {}}})
	must.NoError(t, err)
	s, err := Restore(snapshot)
	must.NoError(t, err)
	must.MapContainsKey(t, s.Jobs, "j")
	must.SliceEmpty(t, s.Instances)
	entry, err := cbor.Marshal(earlierCommand{Cancel: "j"})
	must.NoError(t, err)
	command, err := Decode(entry)
	must.NoError(t, err)
	must.Eq(t, Command{Cancel: "j"}, command)
	entry, err = (&Command{Instance: &InstanceChange{Announced: "a"}}).Encode()
	must.NoError(t, err)
	var earlier earlierCommand
	must.NoError(t, cbor.Unmarshal(entry, &earlier))
}
