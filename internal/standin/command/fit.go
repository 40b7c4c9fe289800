package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/measure"
)

// fit is the subcommand that fits a line to the measurements of each kind of process,
// taken at several sizes of the load.
type fit struct {
	*base
	// configuration groups processes by their role in the configuration log.
	configuration bool
}

func (*fit) Name() string     { return "fit" }
func (*fit) Synopsis() string { return "fit lines to measurements at several sizes of a load" }
func (*fit) Usage() string {
	return "fit [flags] SIZE=FILE ...:\n  Read the output of \"measure -json\" at several sizes of a load and print, for each\n  kind of process, the measured values and the fitted line, as Markdown.\n"
}

func (c *fit) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.configuration, "configuration", false, "group processes by their role in the configuration log")
}

func (c *fit) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var measurements []measure.Measurement
	for _, arg := range f.Args() {
		measurement, err := readMeasurement(arg)
		if err != nil {
			return c.usageError(err)
		}
		measurements = append(measurements, measurement)
	}
	if len(measurements) == 0 {
		return c.usageError(errors.New("the arguments name no measurement"))
	}
	class := measure.Usage.CellClass
	if c.configuration {
		class = measure.Usage.ConfigClass
	}
	if err := measure.WriteFit(c.out, measurements, class); err != nil {
		fmt.Fprintln(c.errorOutput, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readMeasurement reads the measurement named by an argument SIZE=FILE.
func readMeasurement(arg string) (measure.Measurement, error) {
	sizeText, path, _ := strings.Cut(arg, "=")
	size, err := strconv.ParseFloat(sizeText, 64)
	if err != nil {
		return measure.Measurement{}, errors.Newf("argument %q doesn't have the form SIZE=FILE with a number as SIZE", arg)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return measure.Measurement{}, err
	}
	measurement := measure.Measurement{Size: size}
	if err := json.Unmarshal(text, &measurement.Usages); err != nil {
		return measure.Measurement{}, errors.Wrapf(err, "parse measurement %s", path)
	}
	return measurement, nil
}
