package routing

import "testing"

// checkInvariants is true in tests only. In production a violated invariant must
// not crash the daemon and the requests that it carries.
var checkInvariants = testing.Testing()

// invariant panics in tests if holds is false.
func invariant(holds bool, message string) {
	if checkInvariants && !holds {
		panic("routing: invariant broken: " + message)
	}
}
