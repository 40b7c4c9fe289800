package routing

import "testing"

// checkInvariants is true in tests only. In production a broken invariant must not
// crash the daemon, which would fail the requests in flight.
var checkInvariants = testing.Testing()

// invariant panics in tests if holds is false. Outside tests it does nothing.
func invariant(holds bool, message string) {
	if checkInvariants && !holds {
		panic("routing: invariant broken: " + message)
	}
}
