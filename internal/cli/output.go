package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// colour is a terminal escape sequence.
type colour string

const (
	plain  colour = ""
	red    colour = "\x1b[31m"
	green  colour = "\x1b[32m"
	yellow colour = "\x1b[33m"
	bold   colour = "\x1b[1m"
	reset  colour = "\x1b[0m"
)

// useColours reports whether to print colours: only on a terminal that supports them, and
// not with --no-colour, --json or a non-empty $NO_COLOR.
func (s *session) useColours() bool {
	return s.app.IsTerminal && !s.globals.noColour && !s.globals.json &&
		s.app.Getenv(envNoColour) == "" && s.app.Getenv(envTerminal) != "dumb"
}

// paint returns text in a colour, or unchanged when colours are off.
func (s *session) paint(c colour, text string) string {
	if c == plain || !s.useColours() {
		return text
	}
	return string(c) + text + string(reset)
}

// cell is one field of a table.
type cell struct {
	text   string
	colour colour
}

// textCell returns an uncoloured cell with a formatted text.
func textCell(format string, args ...any) cell { return cell{text: fmt.Sprintf(format, args...)} }

// table collects rows under a heading and prints them in aligned columns.
type table struct {
	heading []string
	rows    [][]cell
}

func newTable(heading ...string) *table { return &table{heading: heading} }

func (t *table) add(cells ...cell) { t.rows = append(t.rows, cells) }

// print writes the table with aligned columns. It replaces control characters, because some
// of the texts, such as job names, come from customers.
func (t *table) print(s *session) {
	widths := make([]int, len(t.heading))
	heading := make([]cell, len(t.heading))
	for i, name := range t.heading {
		heading[i] = cell{name, bold}
	}
	rows := append([][]cell{heading}, t.rows...)
	for _, row := range rows {
		for i := range row {
			row[i].text = event.Printable(row[i].text)
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i].text))
		}
	}
	for _, row := range rows {
		fmt.Fprintln(s.app.Stdout, s.formatRow(row, widths))
	}
}

// formatRow returns one line of a table with the given column widths.
func (s *session) formatRow(row []cell, widths []int) string {
	var b strings.Builder
	for i, c := range row {
		if i > 0 {
			b.WriteString("  ")
		}
		b.WriteString(s.paint(c.colour, c.text))
		if i < len(row)-1 {
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c.text)))
		}
	}
	return strings.TrimRight(b.String(), " ")
}

// printJSON prints a message of the schema as one line of JSON with the schema's
// field names.
func (s *session) printJSON(message proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	// protojson varies its white space at random, but programs compare the output.
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.app.Stdout, compact.String())
	return err
}

// show prints a message as JSON with --json, and calls writeText otherwise.
func (s *session) show(message proto.Message, writeText func(out io.Writer)) error {
	if s.globals.json {
		return s.printJSON(message)
	}
	writeText(s.app.Stdout)
	return nil
}

// formatUnixTime returns a time in Unix milliseconds as RFC 3339 in UTC, or "-" for 0.
func formatUnixTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// enumName returns the name of an enum value in readable form: "not run" for
// JOB_STATE_NOT_RUN.
func enumName(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}

func jobStateCell(state apiv1.JobState) cell {
	return cell{enumName(state.String(), "JOB_STATE_"), jobColours[state]}
}

// jobColours are the colours of job states. States that aren't listed are plain.
var jobColours = map[apiv1.JobState]colour{
	apiv1.JobState_JOB_STATE_PENDING_HANDOVER: yellow,
	apiv1.JobState_JOB_STATE_RUNNING:          green,
	apiv1.JobState_JOB_STATE_FAILED:           red,
	apiv1.JobState_JOB_STATE_CANCELLED:        yellow,
	apiv1.JobState_JOB_STATE_NOT_RUN:          yellow,
	apiv1.JobState_JOB_STATE_UNKNOWN:          red,
}

// formatResources returns a text like "2 cores, 4GiB, 1 accelerators". A negative
// amount means unlimited.
func formatResources(r *apiv1.Resources) string {
	parts := []string{formatAmount(r.GetCpuMilli(), units.FormatCores) + " cores", formatAmount(r.GetMemoryMib(), formatMiB)}
	if r.GetAccelerators() != 0 {
		parts = append(parts, formatAmount(r.GetAccelerators(), formatCount)+" accelerators")
	}
	return strings.Join(parts, ", ")
}

// formatAmount formats an amount of a resource. A negative amount is unlimited.
func formatAmount(n int64, format func(int64) string) string {
	if n < 0 {
		return "unlimited"
	}
	return format(n)
}

func formatMiB(n int64) string { return units.FormatSize(n * units.MiB) }

func formatCount(n int64) string { return fmt.Sprint(n) }
