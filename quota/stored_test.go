package quota

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Guards against a member that ends at each start because its own snapshot has too many customers, or one
// whose name isn't UTF-8.
func TestSnapshotOfAnyCustomersIsRestored(t *testing.T) {
	const aboveDefaultLimit = 131_073
	many := map[string]placement.Resources{}
	for i := range aboveDefaultLimit {
		many[strconv.Itoa(i)] = placement.Resources{CPU: 1}
	}
	for name, limits := range map[string]map[string]placement.Resources{
		"many": many, "a name that isn't UTF-8": {"\xff": {CPU: 1}},
	} {
		l := NewLedger("a")
		must.NoError(t, l.Configure(Config{Version: 1, InitialOwners: []string{"a"}, Limits: limits}))
		snapshot, err := l.MarshalBinary()
		must.NoError(t, err)
		restored := NewLedger("a")
		must.NoError(t, restored.UnmarshalBinary(snapshot), must.Sprint(name))
		must.MapLen(t, len(limits), restored.state.Config.Limits, must.Sprint(name))
	}
}
