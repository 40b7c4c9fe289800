package jobtrace

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sampleLog holds log lines out of order, each with a log collector's prefix.
const sampleLog = `
 1.0 edge-1 ts=2026-07-06T09:00:01.000Z instance=edge-1 event=leader_contact in_touch=false leader=
 1.1 core-1 ts=2026-07-06T09:00:01.500Z instance=core-1 event=tenure outcome=ended term=6
 1.2 edge-1 ts=2026-07-06T09:00:02.000Z instance=edge-1 event=request method=POST path=/q/refused1 outcome=Unavailable err="Unavailable: no leader is reached"
 2.0 core-2 ts=2026-07-06T09:00:03.500Z instance=core-2 event=tenure outcome=begun term=7
 2.0 core-2 ts=2026-07-06T09:00:04.000Z instance=core-2 event=submit job=late1 queue=r outcome=accepted known=false commit_ms=20
 2.1 core-2 ts=2026-07-06T09:00:04.100Z instance=core-2 event=permit step=late1/0/0 asked=30 granted=9 ms=90
 2.1 core-2 ts=2026-07-06T09:00:04.150Z instance=core-2 event=run_started task=late1/0/0/0 run=1 worker=i-1
 2.2 core-2 ts=2026-07-06T09:00:05.150Z instance=core-2 event=run_ended task=late1/0/0/0 run=1 worker=i-1 outcome=failed
 2.2 core-2 ts=2026-07-06T09:00:05.160Z instance=core-2 event=step_waiting step=late1/0/0 reason="no room"
 2.3 core-2 ts=2026-07-06T09:00:08.150Z instance=core-2 event=run_started task=late1/0/0/0 run=2 worker=i-2
 2.4 core-2 ts=2026-07-06T09:00:09.150Z instance=core-2 event=run_ended task=late1/0/0/0 run=2 worker=i-2 outcome=done
 2.4 core-2 ts=2026-07-06T09:00:09.160Z instance=core-2 event=job_ended job=late1 phase=done age_ms=5160 objective_ms=1500
 3.0 core-2 ts=2026-07-06T09:00:10.000Z instance=core-2 event=submit job=bad1 queue=r outcome=accepted known=false commit_ms=20
 3.1 core-2 ts=2026-07-06T09:00:10.200Z instance=core-2 event=run_ended task=bad1/0/0/0 run=1 worker=i-1 outcome=failed
 3.2 core-2 ts=2026-07-06T09:00:10.400Z instance=core-2 event=run_ended task=bad1/0/0/0 run=2 worker=i-3 outcome=failed
 3.3 core-2 ts=2026-07-06T09:00:10.410Z instance=core-2 event=job_ended job=bad1 phase=failed objective_ms=1500
 0.1 core-1 ts=2026-07-06T09:00:00.100Z instance=core-1 event=tenure outcome=begun term=6
no line of ours
`

// sampleLineCount is the number of lines of sampleLog that Read returns, and
// lateRunStartedIndex the index, in order of time, of the first run_started line of the
// job late1.
const (
	sampleLineCount     = 17
	lateRunStartedIndex = 7
)

// explainSample returns the trace of a job from sampleLog.
func explainSample(t *testing.T, job string) Trace {
	lines, err := Read(strings.NewReader(sampleLog))
	must.NoError(t, err)
	must.SliceLen(t, sampleLineCount, lines)
	must.Eq(t, "tenure", lines[0].Event)
	return Explain(lines, job)
}

func TestOutcomeOfRefusedJob(t *testing.T) {
	got := explainSample(t, "refused1")
	must.Eq(t, "not accepted: edge-1 answered Unavailable (Unavailable: no leader is reached); "+
		"that instance had had no contact with a leader since 09:00:01", got.Outcome)
}

func TestSpansOfLateJobAddUp(t *testing.T) {
	got := explainSample(t, "late1")
	must.Eq(t, "done after 5.16s, objective 1500 ms; longest: 2.99s waiting: no room", got.Outcome)
	total := time.Duration(0)
	spans := map[string]time.Duration{}
	for _, span := range got.Spans {
		spans[span.Activity] = span.Duration
		total += span.Duration
	}
	must.Eq(t, 5160*time.Millisecond+20*time.Millisecond, total)
	must.Eq(t, time.Second, spans[spanUnsuccessfulRuns])
	must.Eq(t, time.Second, spans[spanSuccessfulRuns])
	must.Eq(t, 100*time.Millisecond, spans[spanAdviserWait])
	must.SliceLen(t, 8, got.Lines)
}

func TestOutcomeOfFailedJobNamesTask(t *testing.T) {
	must.StrContains(t, explainSample(t, "bad1").Outcome, "task bad1/0/0/0 failed 2 times on 2 workers (i-1, i-3): the job itself is the likely cause")
	must.Eq(t, "no line names the job", explainSample(t, "unknown").Outcome)
}

func TestOutcomeOfJobStoredDespiteErrorResponse(t *testing.T) {
	lines, err := Read(strings.NewReader(`
ts=2026-07-06T09:00:00.000Z instance=edge-1 event=request path=/q/a outcome=Unavailable err="no leader"
ts=2026-07-06T09:00:00.500Z instance=edge-2 event=request path=/q/a outcome=Unknown err="no answer"
ts=2026-07-06T09:00:01.000Z instance=core-1 event=permit step=a/0/0
ts=2026-07-06T09:00:02.000Z instance=core-1 event=submit job=b outcome=accepted
ts=2026-07-06T09:00:02.100Z instance=core-1 event=run_started task=b/0/0/0 run=1 worker=i-7
ts=2026-07-06T09:00:08.100Z instance=core-1 event=run_ended task=b/0/0/0 run=1 worker=i-7 outcome=done
ts=2026-07-06T09:00:08.200Z instance=core-1 event=job_ended job=b phase=done objective_ms=1500
`))
	must.NoError(t, err)
	must.Eq(t, "stored, as later lines show, though its caller wasn't told: edge-2 answered Unknown (no answer)", Explain(lines, "a").Outcome)
	must.Eq(t, "done after 6.2s, objective 1500 ms; longest: 6s in runs that did the work, 6s of it on i-7: see that worker's timeline", Explain(lines, "b").Outcome)
}

func TestOutcomeNamesCancelAndPeakLoad(t *testing.T) {
	lines, err := Read(strings.NewReader(`
ts=2026-07-06T09:00:00.000Z instance=core-1 event=submit job=a outcome=accepted
ts=2026-07-06T09:00:00.500Z instance=core-1 event=cancel job=a err=null
ts=2026-07-06T09:00:01.000Z instance=core-1 event=submit job=b outcome=accepted
ts=2026-07-06T09:00:01.001Z instance=core-1 event=step_waiting step=b/0/0 reason="no room"
ts=2026-07-06T09:00:02.000Z instance=core-1 event=load usable_workers=36 tasks=90 kept_back="2: the worker leaves"
ts=2026-07-06T09:00:03.000Z instance=core-1 event=load usable_workers=38 tasks=40
ts=2026-07-06T09:00:04.000Z instance=core-1 event=job_ended job=b phase=done objective_ms=1500
`))
	must.NoError(t, err)
	must.Eq(t, "cancelled by its caller 500ms after it was accepted", Explain(lines, "a").Outcome)
	must.Eq(t, "done after 3s, objective 1500 ms; longest: 2.999s waiting: no room; "+
		"meanwhile up to 90 tasks waited for 36 workers (kept back: 2: the worker leaves)", Explain(lines, "b").Outcome)
}

// A gang first waits behind gangs with reserved resources and then for free resources. The
// trace must show both durations with their reasons.
func TestSpansOfGangWaitingForTwoReasons(t *testing.T) {
	lines, err := Read(strings.NewReader(`
ts=2026-07-06T09:00:00.000Z instance=core-1 event=submit job=g outcome=accepted
ts=2026-07-06T09:00:00.000Z instance=core-1 event=step_waiting step=g/0/0 tasks=40 reason="behind the gangs that room is kept for" waited_ms=0 earlier=
ts=2026-07-06T09:00:01.000Z instance=core-1 event=load usable_workers=350 tasks=40 behind=30 waiting_by="30: behind the steps that one decision goes into; 1: no room"
ts=2026-07-06T09:00:09.000Z instance=core-1 event=step_waiting step=g/0/0 tasks=40 reason="no room" waited_ms=9000 earlier="9000 ms: behind the gangs that room is kept for"
ts=2026-07-06T09:00:12.000Z instance=core-1 event=run_started task=g/0/0/0 run=1 worker=i-1
ts=2026-07-06T09:00:13.000Z instance=core-1 event=run_ended task=g/0/0/0 run=1 worker=i-1 outcome=done
ts=2026-07-06T09:00:13.000Z instance=core-1 event=job_ended job=g phase=done objective_ms=1500
`))
	must.NoError(t, err)
	got := Explain(lines, "g")
	must.Eq(t, []Span{
		{spanWaiting + "behind the gangs that room is kept for", 9 * time.Second},
		{spanWaiting + "no room", 3 * time.Second}, {spanSuccessfulRuns, time.Second},
	}, got.Spans)
	must.Eq(t, "done after 13s, objective 1500 ms; longest: 9s waiting: behind the gangs that room is kept for; "+
		"meanwhile up to 40 tasks waited for 350 workers "+
		"(steps that waited: 30: behind the steps that one decision goes into; 1: no room)", got.Outcome)
}

func TestTimeWithoutLeaderIsSeparateSpan(t *testing.T) {
	lines, err := Read(strings.NewReader(`
ts=2026-07-06T09:00:00.000Z instance=core-1 event=submit job=a outcome=accepted
ts=2026-07-06T09:00:01.000Z instance=core-1 event=tenure outcome=ended
ts=2026-07-06T09:00:03.000Z instance=core-2 event=tenure outcome=begun
ts=2026-07-06T09:00:04.000Z instance=core-2 event=permit step=a/0/0
`))
	must.NoError(t, err)
	must.Eq(t, []Span{{spanAdviserWait, 2 * time.Second}, {spanNoLeader, 2 * time.Second}}, Explain(lines, "a").Spans)
}

func TestEventsKeepSubjectsAndDetailOfLines(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	must.NoError(t, err)
	events := Events(lines)
	must.Eq(t, []string{"late1", "i-1"}, events[lateRunStartedIndex].Subjects)
	must.Eq(t, "task=late1/0/0/0 run=1 worker=i-1", events[lateRunStartedIndex].Detail)
}

// Guards against a summary that counts a job twice or in the wrong group, or adds up the time of jobs
// that were in time.
func TestSummaryCountsJobsByQueueAndOutcome(t *testing.T) {
	lines, err := Read(strings.NewReader(`
ts=2026-01-01T00:00:00Z instance=a event=submit job=early queue=q outcome=accepted commit_ms=10
ts=2026-01-01T00:00:00Z instance=a event=submit job=late queue=q outcome=accepted commit_ms=10
ts=2026-01-01T00:00:00Z instance=a event=submit job=failed queue=q outcome=accepted commit_ms=10
ts=2026-01-01T00:00:00Z instance=a event=submit job=open queue=r outcome=accepted commit_ms=10
ts=2026-01-01T00:00:00Z instance=a event=submit job=refused queue=r outcome=refused
ts=2026-01-01T00:00:00.1Z instance=a event=step_waiting step=late/0/0 reason="no room"
ts=2026-01-01T00:00:02Z instance=a event=run_started task=late/0/0/0 run=1
ts=2026-01-01T00:00:01Z instance=a event=job_ended job=early phase=done objective_ms=1500
ts=2026-01-01T00:00:03Z instance=a event=run_ended task=late/0/0/0 run=1 outcome=done
ts=2026-01-01T00:00:03Z instance=a event=job_ended job=late phase=done objective_ms=1500
ts=2026-01-01T00:00:04Z instance=a event=job_ended job=failed phase=failed objective_ms=1500
`))
	must.NoError(t, err)
	summaries := Summarize(lines)
	must.SliceLen(t, 2, summaries)
	q, r := summaries[0], summaries[1]
	must.Eq(t, []int{1, 1, 1, 0}, []int{q.InTime, q.Late, q.Failed, q.Unfinished})
	must.Eq(t, 1500*time.Millisecond, q.Lateness)
	must.Eq(t, Span{spanWaiting + "no room", 1900 * time.Millisecond}, q.Spans[0])
	must.Eq(t, []int{0, 0, 0, 1}, []int{r.InTime, r.Late, r.Failed, r.Unfinished})
	must.SliceEmpty(t, r.Spans)
}
