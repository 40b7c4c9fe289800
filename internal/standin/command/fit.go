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
	var sized []measure.Sized
	for _, arg := range f.Args() {
		one, err := readSized(arg)
		if err != nil {
			return c.wrong(err)
		}
		sized = append(sized, one)
	}
	if len(sized) == 0 {
		return c.wrong(errors.New("no measurement is named"))
	}
	class := measure.Usage.CellClass
	if c.configuration {
		class = measure.Usage.ConfigClass
	}
	if err := measure.WriteFit(c.out, sized, class); err != nil {
		fmt.Fprintln(c.problems, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readSized(arg string) (measure.Sized, error) {
	size, path, _ := strings.Cut(arg, "=")
	number, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return measure.Sized{}, errors.Newf("%q isn't SIZE=FILE", arg)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return measure.Sized{}, err
	}
	one := measure.Sized{Size: number}
	if err := json.Unmarshal(text, &one.Usages); err != nil {
		return measure.Sized{}, errors.Wrapf(err, "%s", path)
	}
	return one, nil
}
