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

// fit lays lines through measurements at several sizes.
type fit struct {
	*base
	configuration bool
}

func (*fit) Name() string     { return "fit" }
func (*fit) Synopsis() string { return "lay lines through measurements at several sizes" }
func (*fit) Usage() string {
	return "fit [flags] SIZE=FILE ...:\n  Read what \"measure -json\" wrote at several sizes of a load and print, for each\n  kind of process, the measured values and the line through them, as Markdown.\n"
}

func (c *fit) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.configuration, "configuration", false, "tell processes apart by their role in the configuration log")
}

func (c *fit) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var sized []measure.Measurement
	for _, arg := range f.Args() {
		measurement, err := readMeasurement(arg)
		if err != nil {
			return c.usageError(err)
		}
		sized = append(sized, measurement)
	}
	if len(sized) == 0 {
		return c.usageError(errors.New("no measurement is named"))
	}
	class := measure.Usage.CellClass
	if c.configuration {
		class = measure.Usage.ConfigClass
	}
	if err := measure.WriteFit(c.out, sized, class); err != nil {
		fmt.Fprintln(c.errorOutput, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readMeasurement(arg string) (measure.Measurement, error) {
	size, path, _ := strings.Cut(arg, "=")
	number, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return measure.Measurement{}, errors.Newf("%q isn't SIZE=FILE", arg)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return measure.Measurement{}, err
	}
	measurement := measure.Measurement{Size: number}
	if err := json.Unmarshal(text, &measurement.Usages); err != nil {
		return measure.Measurement{}, errors.Wrapf(err, "%s", path)
	}
	return measurement, nil
}
