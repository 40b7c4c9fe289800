package state

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/placement"
)

// canonical returns an encoding of the state that is equal for equal states.
func (s *State) canonical(t must.T) string {
	ledger, err := s.ledger.MarshalBinary()
	must.NoError(t, err)
	s.Ledger = ledger
	mode, err := cbor.CanonicalEncOptions().EncMode()
	must.NoError(t, err)
	encoded, err := mode.Marshal(s)
	must.NoError(t, err)
	readable, err := cbor.Diagnose(encoded)
	if err != nil {
		// The notation has no form for text that isn't UTF-8.
		return string(encoded)
	}
	return readable
}

// copied returns the state that a member has after it restored a snapshot of s.
func (s *State) copied(t must.T) *State {
	encoded, err := s.Encode()
	must.NoError(t, err)
	restored, err := DecodeState(encoded)
	must.NoError(t, err)
	return restored
}

// Guards against members that answer a repeated cancellation differently: jobs that were submitted at the same
// time were cancelled in another order on each member.
func TestJobsAreCancelledInOneOrder(t *testing.T) {
	members := []*State{New("d"), New("d"), New("d")}
	for _, s := range members {
		for i := range 8 {
			request := Request{ID: fmt.Sprint(i), Customer: "c"}
			spec := Spec{Name: "n", Tasks: 1, Policy: placement.Batch}
			s.Apply(uint64(i), &Command{Now: 5, Submit: &Submit{Request: request, Customer: "c", Spec: spec}})
		}
		s.Apply(9, &Command{Now: 6, Cancel: &Cancel{Request: Request{ID: "x", Customer: "c"}, Customer: "c", All: true}})
	}
	must.Eq(t, members[0].canonical(t), members[1].canonical(t))
	must.Eq(t, members[0].canonical(t), members[2].canonical(t))
}
