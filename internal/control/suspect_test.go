package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against losing one task after another in the first second after a data centre
// becomes unreachable: no worker of the data centre responds, and one start is overdue.
// Workers that are judged only by their own overdue orders would all get another task.
func TestUnresponsiveDataCentreIsSuspected(t *testing.T) {
	now := time.Now()
	term := &leaderTerm{sessions: map[string]*workerSession{}, dataCentreRespondedAt: map[string]time.Time{}}
	add := func(id, dataCentre string) *workerSession {
		s := &workerSession{t: term, ready: true, respondedAt: now, orders: map[workflow.TaskKey]*runOrder{}}
		s.worker = workflow.Worker{ID: id, DataCentre: dataCentre}
		term.sessions[id] = s
		return s
	}
	add("a1", "a").orders[task("j", 0)] = &runOrder{sentAt: now.Add(-2 * minOverdueTime)}
	add("a2", "a")
	add("b1", "b").orders[task("k", 0)] = &runOrder{unanswered: true}
	add("c1", "c")
	term.dataCentreRespondedAt["a"] = now.Add(-2 * dataCentreResponseTimeout)
	term.dataCentreRespondedAt["b"] = now.Add(-dataCentreResponseTimeout / 2)
	term.dataCentreRespondedAt["c"] = now.Add(-2 * dataCentreResponseTimeout)
	must.Eq(t, map[string]bool{"a": true}, term.suspectedDataCentres(now))
}

// Checks that a lost contact is logged once although the suspicion disappears briefly, and
// that the regained contact is logged once.
func TestDataCentreContactIsLoggedOncePerChange(t *testing.T) {
	var logOutput bytes.Buffer
	now := time.Now()
	term := &leaderTerm{dataCentreSuspectedAt: map[string]time.Time{}, dataCentreRespondedAt: map[string]time.Time{"a": now}, logger: log.NewLogfmtLogger(&logOutput)}
	unreachable := map[string]bool{"a": true}
	for _, step := range []struct {
		at       time.Duration
		suspects map[string]bool
	}{{0, unreachable}, {200 * time.Millisecond, nil}, {400 * time.Millisecond, unreachable}, {time.Second, nil}, {3 * time.Second, nil}, {4 * time.Second, nil}} {
		term.recordSuspectedDataCentres(step.suspects, now.Add(step.at))
	}
	must.Eq(t, "event=data_centre_contact data_centre=a outcome=lost silent_ms=0\n"+
		"event=data_centre_contact data_centre=a outcome=regained silent_ms=3000\n", logOutput.String())
}
