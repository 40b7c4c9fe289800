package event

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/hlc"
)

// eventAt returns an event whose timestamp has the wall time in Unix milliseconds and the
// logical counter.
func eventAt(wall int64, logical uint32, instance, kind string, subjects ...string) Event {
	return Event{Timestamp: hlc.Timestamp{Wall: wall, Logical: logical}, Instance: instance, Kind: kind, Subjects: subjects}
}

func TestRingKeepsNewestEvents(t *testing.T) {
	r := NewRing(3)
	for i := range int64(5) {
		r.Append(eventAt(i, 0, "a", "k", fmt.Sprint(i%2)))
	}
	must.Eq(t, 3, r.Len())
	events := r.Since("", 0, 0)
	must.Eq(t, []int64{2, 3, 4}, []int64{events[0].Timestamp.Wall, events[1].Timestamp.Wall, events[2].Timestamp.Wall})
	must.Len(t, 2, r.Since("0", 0, 0))
	must.Len(t, 1, r.Since("0", 3, 0))
	must.Eq(t, int64(4), r.Since("", 0, 1)[0].Timestamp.Wall)
	must.SliceEmpty(t, r.Since("other", 0, 10))
}

// How far the wall clocks of two instances are behind that of the leader.
const (
	followerLag = 3 * time.Second
	workerLag   = 5 * time.Second
)

// A leader is lost and another instance is elected while the instances' wall clocks differ
// by seconds. The merged timeline must show the loss before the election, and the election
// before the start of the task that the new leader orders.
func TestMergeKeepsCausalOrder(t *testing.T) {
	wall := time.UnixMilli(1_000_000)
	leaderRecorder := NewRecorder(Config{Instance: "a", Clock: new(hlc.Clock), Wall: func() time.Time { return wall }})
	followerClock, workerClock := new(hlc.Clock), new(hlc.Clock)
	followerRecorder := NewRecorder(Config{Instance: "b", Clock: followerClock, Wall: func() time.Time { return wall.Add(-followerLag) }})
	workerRecorder := NewRecorder(Config{Instance: "c", Clock: workerClock, Wall: func() time.Time { return wall.Add(-workerLag) }})

	leaderRecorder.Record("leader", "term 1", "cell")
	heartbeat := leaderRecorder.Since("", 0, 0)[0].Timestamp
	followerClock.Observe(heartbeat, wall.Add(-followerLag))
	followerRecorder.Record("leader lost", "term 1", "cell")
	followerRecorder.Record("leader", "term 2", "cell")
	command := followerRecorder.Since("", 0, 0)[1].Timestamp
	workerClock.Observe(command, wall.Add(-workerLag))
	workerRecorder.Record("task started", "term 2", "job-1")

	merged := Merge(workerRecorder.Since("", 0, 0), followerRecorder.Since("", 0, 0), leaderRecorder.Since("", 0, 0), followerRecorder.Since("", 0, 0))
	var kinds []string
	for _, e := range merged {
		kinds = append(kinds, e.Instance+" "+e.Kind)
	}
	must.Eq(t, []string{"a leader", "b leader lost", "b leader", "c task started"}, kinds)
	must.Eq(t, merged, EventsFromAPI(EventsToAPI(merged)))
}

func TestRecorderTruncatesLongFields(t *testing.T) {
	r := NewRecorder(Config{Instance: "a", Clock: new(hlc.Clock)})
	r.Record("k", strings.Repeat("é", 1000), make([]string, 100)...)
	r.Record("k", "\xff\xfe", strings.Repeat("x", 1000))
	for _, e := range r.Since("", 0, 0) {
		must.LessEq(t, maxDetailBytes, len(e.Detail))
		must.True(t, utf8.ValidString(e.Detail))
	}
	var nilRecorder *Recorder
	nilRecorder.Record("k", "")
	must.SliceEmpty(t, nilRecorder.Since("", 0, 0))
}

// A process crashes while it writes an event and leaves a truncated last line. After the
// restart the earlier events must be loaded, the truncated line must be skipped, and the
// next event must begin on a line of its own.
func TestFileSkipsTruncatedLineAfterCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events")
	f, err := OpenFile(path, 0)
	must.NoError(t, err)
	f.Append(eventAt(1, 0, "a", "first", "x"))
	must.NoError(t, f.Close())
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	must.NoError(t, err)
	_, err = file.WriteString(`{"format":1,"wall`)
	must.NoError(t, err)
	must.NoError(t, file.Close())

	f, err = OpenFile(path, 0)
	must.NoError(t, err)
	r := NewRecorder(Config{Clock: new(hlc.Clock), File: f})
	must.Eq(t, []Event{eventAt(1, 0, "a", "first", "x")}, r.Since("", 0, 0))
	r.Record("second", "")
	must.NoError(t, f.Close())
	r.Record("after close", "")
	must.Len(t, 2, readEvents(path))
}

func TestFileRotationBoundsDiskUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events")
	const limit = 2000
	for i := range int64(100) {
		f, err := OpenFile(path, limit)
		must.NoError(t, err)
		f.Append(eventAt(i, 0, "a", "k"))
		must.NoError(t, f.Close())
	}
	for _, name := range []string{path, path + previousSuffix} {
		fileInfo, err := os.Stat(name)
		must.NoError(t, err)
		must.LessEq(t, int64(limit), fileInfo.Size())
	}
	events := append(readEvents(path+previousSuffix), readEvents(path)...)
	must.Eq(t, int64(99), events[len(events)-1].Timestamp.Wall)
}

// A caller puts markup and terminal control characters into its job's name. Unless the
// timeline page escapes the markup and the text output replaces the control characters,
// they take effect in the operator's browser or terminal.
func TestOutputEscapesMarkupAndControlCharacters(t *testing.T) {
	e := eventAt(1, 1, "a", "<script>alert(1)</script>", "\"><img src=x onerror=alert(1)>", "\x1b[2J")
	e.Detail = "first\nsecond\u202e"
	var page, text strings.Builder
	must.NoError(t, WriteHTML(&page, Page{Title: "<b>", Unreachable: []string{"<i>"}}, []Event{e}))
	must.StrNotContains(t, page.String(), "<script>alert")
	must.StrNotContains(t, page.String(), "<img")
	must.StrNotContains(t, page.String(), "<i></i><i>")
	must.StrNotContains(t, page.String(), "ZgotmplZ")
	must.NoError(t, WriteText(&text, []Event{e}))
	must.Eq(t, 1, strings.Count(text.String(), "\n"))
	must.StrNotContains(t, text.String(), "\x1b")
	must.StrNotContains(t, text.String(), "\u202e")
}

// The timeline page must refer to no other file or server, so that it can be
// opened from any folder and without a network.
func TestHTMLPageIsSelfContained(t *testing.T) {
	var page strings.Builder
	must.NoError(t, WriteHTML(&page, Page{Title: "empty"}, nil))
	for _, reference := range []string{"http://", "https://", "src=", "href=", "url(", "@import"} {
		must.StrNotContains(t, page.String(), reference)
	}
}
