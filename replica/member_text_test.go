package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a membership in the log that its members can't read: each of them refused the entry and
// couldn't start with it.
func TestMembershipWithInvalidTextIsRead(t *testing.T) {
	members := []Member{{ID: "n0"}, {ID: "\xff", Address: "\xfe", DataCentre: "\xfd"}}
	decoded, err := decodeMembers(encodeMembers(members))
	must.NoError(t, err)
	must.Eq(t, members, decoded)
}
