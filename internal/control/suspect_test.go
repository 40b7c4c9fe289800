package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: in the second after a data centre is cut off, one task after
// the other disappears on its workers.
// Order: no worker of a data centre answers any more; one start is overdue.
// Cause: each worker was judged by its own answers alone.
func TestADataCentreInWhichNobodyAnswersGetsNothingNew(t *testing.T) {
	now := time.Now()
	ten := &tenure{sessions: map[string]*session{}, answered: map[string]time.Time{}}
	add := func(id, dataCentre string) *session {
		s := &session{t: ten, ready: true, answeredAt: now, orders: map[workflow.TaskKey]*order{}}
		s.worker = workflow.Worker{ID: id, DataCentre: dataCentre}
		ten.sessions[id] = s
		return s
	}
	add("a1", "a").orders[task("j", 0)] = &order{sentAt: now.Add(-2 * promptAnswer)}
	add("a2", "a")
	add("b1", "b").orders[task("k", 0)] = &order{unanswered: true}
	add("c1", "c")
	ten.answered["a"] = now.Add(-2 * dataCentreSilence)
	ten.answered["b"] = now.Add(-dataCentreSilence / 2)
	ten.answered["c"] = now.Add(-2 * dataCentreSilence)
	must.Eq(t, map[string]bool{"a": true}, ten.suspects(now))
}

func TestACutOffDataCentreIsSaidOnceEachWay(t *testing.T) {
	var lines bytes.Buffer
	now := time.Now()
	ten := &tenure{suspected: map[string]time.Time{}, answered: map[string]time.Time{"a": now}, logger: log.NewLogfmtLogger(&lines)}
	cut := map[string]bool{"a": true}
	for _, step := range []struct {
		at       time.Duration
		suspects map[string]bool
	}{{0, cut}, {200 * time.Millisecond, nil}, {400 * time.Millisecond, cut}, {time.Second, nil}, {3 * time.Second, nil}, {4 * time.Second, nil}} {
		ten.noteSuspects(step.suspects, now.Add(step.at))
	}
	must.Eq(t, "event=data_centre_contact data_centre=a outcome=lost silent_ms=0\n"+
		"event=data_centre_contact data_centre=a outcome=regained silent_ms=3000\n", lines.String())
}
