package worktime

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a second whose work is counted again in the next one.
func TestTakeStartsAnew(t *testing.T) {
	l := NewLedger()
	l.Add(Report, 2*time.Millisecond)
	l.Add(Report, 5*time.Millisecond)
	l.Add(Decide, 20*time.Millisecond)
	l.Track(Log)()
	sums := l.Take()
	must.Eq(t, "decide:1/20/20 report:2/7/5 log:1/0/0", Format(sums))
	must.SliceEmpty(t, l.Take())
}

// Guards against a component without a ledger that panics.
func TestNilLedgerCountsNothing(t *testing.T) {
	var l *Ledger
	l.Track(Log)()
	must.SliceEmpty(t, l.Take())
	must.Eq(t, "", Format(nil))
}
