package state

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// aboveDefaultLimit is more elements than the library of the encoding reads by default.
const aboveDefaultLimit = 131_073

// Guards against a member that ends at each start because its own snapshot has too many records of requests.
func TestSnapshotWithManyRequestsIsRestored(t *testing.T) {
	s := New("d")
	for i := range aboveDefaultLimit {
		s.recordResponse(Request{ID: strconv.Itoa(i)}, 1, RequestRecord{})
	}
	must.MapLen(t, aboveDefaultLimit, s.copied(t).Requests)
}

// Guards against a committed command that no member can read because a text in it isn't UTF-8.
func TestCommandWithInvalidTextIsDecoded(t *testing.T) {
	command := &Command{Submit: &Submit{Request: Request{ID: "\xff"}, Customer: "\xfe", Spec: Spec{Name: "\xfd", Tasks: 1}}}
	encoded, err := command.Encode()
	must.NoError(t, err)
	decoded, err := Decode(encoded)
	must.NoError(t, err)
	must.Eq(t, command, decoded)
	s := New("d")
	s.Apply(1, decoded)
	must.Eq(t, s.canonical(t), s.copied(t).canonical(t))
}
