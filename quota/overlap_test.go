package quota

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Guards against the end of every member that applies a transfer of slots that the data centre owns already,
// from a data centre with other initial owners or an older state.
func TestTransferOfOwnedSlotsIsRefused(t *testing.T) {
	own, other := SlotSet{1}, SlotSet{2}
	for name, customers := range map[string][]CustomerSlots{
		"owned":                       {{Customer: "c", CPU: own}},
		"after others":                {{Customer: "c", CPU: other}, {Customer: "d", Memory: own}},
		"twice in the same transfer":  {{Customer: "c", CPU: other}, {Customer: "c", CPU: other}},
		"of a customer without limit": {{Customer: "e", Accelerators: own}},
	} {
		l := NewLedger("a")
		limits := map[string]placement.Resources{"c": {CPU: 2048}, "d": {CPU: 2048}}
		must.NoError(t, l.Configure(Config{Version: 1, InitialOwners: []string{"a", "b"}, Limits: limits}))
		before, err := l.MarshalBinary()
		must.NoError(t, err)
		must.ErrorIs(t, l.Credit(Transfer{From: "b", To: "a", Sequence: 1, Customers: customers}), ErrOverlap, must.Sprint(name))
		after, err := l.MarshalBinary()
		must.NoError(t, err)
		must.Eq(t, before, after, must.Sprint(name))
		must.NoError(t, l.Credit(Transfer{From: "b", To: "a", Sequence: 1, Customers: []CustomerSlots{{Customer: "c", CPU: other}}}))
		must.Eq(t, 1026, l.Allotment("c").CPU)
	}
}
