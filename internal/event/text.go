package event

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode"
)

// timeFormat is the layout of an event's time, which is shown in UTC.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes one line for each event, in the order given.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	width := 0
	for i := range events {
		width = max(width, len(events[i].Instance))
	}
	for i := range events {
		e := &events[i]
		fmt.Fprintf(out, "%s  %-*s  %s", e.formatTime(), width, Printable(e.Instance), Printable(e.Kind))
		if len(e.Subjects) > 0 {
			fmt.Fprintf(out, "  [%s]", Printable(strings.Join(e.Subjects, " ")))
		}
		if e.Detail != "" {
			fmt.Fprintf(out, "  %s", Printable(e.Detail))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

// formatTime returns the event's time, with the logical counter where it isn't zero. Spaces
// replace a counter of zero, so that the next column is aligned.
func (e *Event) formatTime() string {
	text := e.Timestamp.Time().UTC().Format(timeFormat)
	if e.Timestamp.Logical > 0 {
		return fmt.Sprintf("%s+%-3d", text, e.Timestamp.Logical)
	}
	return text + "    "
}

// Printable replaces the control and format characters of a text. Names and details come
// from callers, whose control characters could move the cursor of an operator's terminal
// or forge lines.
func Printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || unicode.Is(unicode.Cf, r) {
			return '\uFFFD'
		}
		return r
	}, text)
}

// timeRange returns the times of the first and last event of a sorted list, in UTC;
// zero times when the list is empty.
func timeRange(events []Event) (first, last time.Time) {
	if len(events) == 0 {
		return first, last
	}
	return events[0].Timestamp.Time().UTC(), events[len(events)-1].Timestamp.Time().UTC()
}
