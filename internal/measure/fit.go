package measure

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Class is a group of processes with the same load, for capacity planning.
type Class string

// Classes of processes.
const (
	ClassEntry        Class = "entry"
	ClassLeader       Class = "cell leader"
	ClassFollower     Class = "cell follower"
	ClassConfigLeader Class = "configuration leader"
	ClassConfigVoter  Class = "configuration voter"
	ClassConfigReader Class = "configuration reader"
)

// Names of logs and roles in Usage.Roles, and the suffix of the Usage.Name of an entry
// process.
const (
	configurationLog = "configuration"
	cellLogPrefix    = "cell."
	roleLeader       = "leader"
	entrySuffix      = "/entry"
)

// CellClass returns the class of the process by its role in the log of its data
// centre. Every cell process is a member of that log, so one that leads no log is
// a follower.
func (u Usage) CellClass() Class {
	if strings.HasSuffix(u.Name, entrySuffix) {
		return ClassEntry
	}
	for group, role := range u.Roles {
		if strings.HasPrefix(group, cellLogPrefix) && role == roleLeader {
			return ClassLeader
		}
	}
	return ClassFollower
}

// ConfigClass returns the class of the process by its role in the configuration log.
func (u Usage) ConfigClass() Class {
	role, votes := u.Roles[configurationLog]
	switch {
	case strings.HasSuffix(u.Name, entrySuffix):
		return ClassEntry
	case role == roleLeader:
		return ClassConfigLeader
	case votes:
		return ClassConfigVoter
	default:
		return ClassConfigReader
	}
}

// SocketBytes returns the bytes per second through the process's sockets, sent and
// received together. It returns zero when SocketCounters weren't measured.
func (u Usage) SocketBytes() float64 {
	total := 0.0
	for _, name := range SocketCounters {
		total += u.Counters[name]
	}
	return total
}

// SocketCounters are the daemons' counters of bytes on sockets.
var SocketCounters = []string{
	"accepted.BytesSent", "accepted.BytesReceived",
	"dialled.BytesSent", "dialled.BytesReceived",
	"peers.*.BytesSent", "peers.*.BytesReceived",
}

// Measurement holds the usages of all processes at one size of the load.
type Measurement struct {
	// Size is the size of the load, in a unit that the caller of WriteFit chooses.
	Size   float64
	Usages []Usage
}

// Line is a straight line fitted to measured points.
type Line struct {
	// Intercept is the value at size 0, Slope the growth per unit of the size.
	Intercept, Slope float64
	// Residual is the largest vertical distance of a point from the line.
	Residual float64
}

// FitLine fits a line to points by least squares. With fewer than two different
// sizes the slope is 0.
func FitLine(x, y []float64) Line {
	line := Line{Intercept: stat.Mean(y, nil)}
	if len(x) > 1 && stat.Variance(x, nil) > 0 {
		line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	}
	for i := range x {
		line.Residual = max(line.Residual, math.Abs(y[i]-line.Intercept-line.Slope*x[i]))
	}
	return line
}

// quantity is a measured value of a process. name includes its unit.
type quantity struct {
	name  string
	value func(Usage) float64
}

var quantities = []quantity{
	{"cpu %", func(u Usage) float64 { return u.CPUPercent }},
	{"memory MiB", func(u Usage) float64 { return u.MemoryMiB }},
	{"socket B/s", Usage.SocketBytes},
}

// fixedColumns is the number of columns that a fit table has for any number of
// measurements: the process, the quantity and three of the fitted line.
const fixedColumns = 5

// WriteFit writes a Markdown table with a row for each class of processes and each
// quantity: the mean and largest value at each size and the line fitted to the means.
func WriteFit(w io.Writer, measurements []Measurement, class func(Usage) Class) error {
	slices.SortFunc(measurements, func(a, b Measurement) int { return cmp.Compare(a.Size, b.Size) })
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintf(table, "| process\t| quantity\t")
	for _, m := range measurements {
		fmt.Fprintf(table, "| at %g: mean (largest)\t", m.Size)
	}
	fmt.Fprintf(table, "| at 0\t| slope\t| largest residual\t|\n")
	fmt.Fprintln(table, strings.Repeat("|---\t", len(measurements)+fixedColumns)+"|")
	for _, c := range classes(measurements, class) {
		for _, q := range quantities {
			writeFitRow(table, measurements, c, class, q)
		}
	}
	return table.Flush()
}

// classes returns the classes of all measured processes, sorted.
func classes(measurements []Measurement, class func(Usage) Class) []Class {
	var found []Class
	for _, m := range measurements {
		for _, u := range m.Usages {
			if c := class(u); !slices.Contains(found, c) {
				found = append(found, c)
			}
		}
	}
	slices.Sort(found)
	return found
}

// writeFitRow writes the row of a class and a quantity.
func writeFitRow(w io.Writer, measurements []Measurement, c Class, class func(Usage) Class, q quantity) {
	var x, y []float64
	fmt.Fprintf(w, "| %s\t| %s\t", c, q.name)
	for _, m := range measurements {
		var values []float64
		for _, u := range m.Usages {
			if class(u) == c {
				values = append(values, q.value(u))
			}
		}
		if len(values) == 0 {
			fmt.Fprintf(w, "| -\t")
			continue
		}
		x, y = append(x, m.Size), append(y, stat.Mean(values, nil))
		fmt.Fprintf(w, "| %.2f (%.2f)\t", stat.Mean(values, nil), slices.Max(values))
	}
	line := FitLine(x, y)
	fmt.Fprintf(w, "| %.2f\t| %.4g\t| %.2g\t|\n", line.Intercept, line.Slope, line.Residual)
}
