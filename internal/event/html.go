package event

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
)

//go:embed timeline.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

// Page is what the HTML timeline shows besides the events.
type Page struct {
	Title string
	// Unreachable names the instances whose events are missing because the instances didn't
	// respond.
	Unreachable []string
}

// pageData is the input of the page template.
type pageData struct {
	Page
	// From and To are the times of the first and last event.
	From, To string
	// Count is the number of events.
	Count int
	Lanes []lane
	// LaneWidth is the width of a lane, and AllWidth that of all lanes together, in
	// pixels.
	LaneWidth int
	AllWidth  int
	Rows      []row
}

// lane is the column of one instance.
type lane struct {
	Name       string
	DataCentre string
	// Colour is the number of the lane's colour in the style sheet, from 0.
	Colour int
	// Count is the number of the instance's events.
	Count int
	// X is the horizontal position of the lane's middle in pixels.
	X int
}

// row is one event on the page.
type row struct {
	Time, Logical string
	// Gap is the time since the previous event; empty below minShownGapMs.
	Gap string
	// Colour and X are those of the instance's lane.
	Colour   int
	X        int
	Instance string
	Kind     string
	Subjects []string
	Detail   string
	// Search is the lower-case text that the page's filter searches.
	Search string
}

const (
	// laneColours is the number of lane colours that the page's style sheet defines.
	laneColours = 8
	// maxLanesWidth bounds the width of all lanes together in pixels, unless there are so
	// many lanes that they exceed it even with minLaneWidth each.
	maxLanesWidth = 336
	// minLaneWidth and maxLaneWidth bound the width of one lane in pixels.
	minLaneWidth = 12
	maxLaneWidth = 72
	// minShownGapMs is the shortest time between two events that the page shows, in
	// milliseconds.
	minShownGapMs = 250
)

// WriteHTML writes a self-contained page with a lane for each instance, the
// events in the order given and a filter box.
func WriteHTML(w io.Writer, page Page, events []Event) error {
	data := pageData{Page: page, Count: len(events)}
	first, last := timeRange(events)
	if len(events) > 0 {
		data.From = first.Format(timeFormat)
		data.To = last.Format(timeFormat)
	}
	data.Lanes, data.LaneWidth = layOutLanes(events)
	data.AllWidth = data.LaneWidth * len(data.Lanes)
	index := make(map[string]lane, len(data.Lanes))
	for _, l := range data.Lanes {
		index[l.Name] = l
	}
	data.Rows = make([]row, 0, len(events))
	for i := range events {
		gap := int64(0)
		if i > 0 {
			gap = events[i].Timestamp.Wall - events[i-1].Timestamp.Wall
		}
		data.Rows = append(data.Rows, newRow(&events[i], index[events[i].Instance], gap))
	}
	return pageTemplate.Execute(w, data)
}

// layOutLanes returns a lane for each instance, ordered by data centre and name, and
// the width of a lane in pixels.
func layOutLanes(events []Event) ([]lane, int) {
	seen := make(map[string]*lane)
	for i := range events {
		e := &events[i]
		if seen[e.Instance] == nil {
			seen[e.Instance] = &lane{Name: e.Instance, DataCentre: e.DataCentre}
		}
		seen[e.Instance].Count++
	}
	lanes := make([]lane, 0, len(seen))
	for _, l := range seen {
		lanes = append(lanes, *l)
	}
	slices.SortFunc(lanes, func(a, b lane) int {
		if c := strings.Compare(a.DataCentre, b.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	width := max(minLaneWidth, min(maxLaneWidth, maxLanesWidth/max(1, len(lanes))))
	for i := range lanes {
		lanes[i].Colour = i % laneColours
		lanes[i].X = i*width + width/2
	}
	return lanes, width
}

// newRow returns the row in lane l of an event that follows the previous event after gap
// milliseconds.
func newRow(e *Event, l lane, gap int64) row {
	r := row{
		Time:     e.Timestamp.Time().UTC().Format("15:04:05.000"),
		Colour:   l.Colour,
		X:        l.X,
		Instance: e.Instance,
		Kind:     e.Kind,
		Subjects: e.Subjects,
		Detail:   e.Detail,
	}
	if e.Timestamp.Logical > 0 {
		r.Logical = fmt.Sprintf("+%d", e.Timestamp.Logical)
	}
	if gap >= minShownGapMs {
		r.Gap = fmt.Sprintf("%.1f s", float64(gap)/1000)
	}
	words := append([]string{e.Instance, e.DataCentre, e.Kind, e.Detail}, e.Subjects...)
	r.Search = strings.ToLower(strings.Join(words, " "))
	return r
}
