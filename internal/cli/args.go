package cli

import (
	"flag"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
)

// parsedArgs holds arguments split into flags, in the form --name=value, and
// positional arguments. Package flag isn't enough: it stops at the first positional
// argument and silently takes the last of duplicate flags.
type parsedArgs struct {
	flags      []string
	positional []string
	help       bool
}

// parseArgs splits all arguments of a command. It returns an Invalid error for a flag that
// is unknown, given twice, or has no valid value.
func parseArgs(set *flag.FlagSet, args []string) (parsedArgs, error) {
	var out parsedArgs
	seen := make(map[string]bool)
	for len(args) > 0 {
		if args[0] == "--" {
			out.positional = append(out.positional, args[1:]...)
			return out, nil
		}
		if !isFlag(args[0]) {
			out.positional = append(out.positional, args[0])
			args = args[1:]
			continue
		}
		rest, err := out.parseFlag(set, args, seen)
		if err != nil {
			return out, err
		}
		args = rest
	}
	return out, nil
}

// parseGlobalFlags parses the global flags before the command's name and returns the
// arguments after them.
func parseGlobalFlags(set *flag.FlagSet, args []string) (parsedArgs, []string, error) {
	var out parsedArgs
	seen := make(map[string]bool)
	for len(args) > 0 && isFlag(args[0]) && args[0] != "--" {
		rest, err := out.parseFlag(set, args, seen)
		if err != nil {
			return out, nil, withHint(err, "run \"bilberry help\" for the global flags")
		}
		args = rest
	}
	return out, args, nil
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

// parseFlag parses one flag with its value and returns the arguments after them.
func (p *parsedArgs) parseFlag(set *flag.FlagSet, args []string, seen map[string]bool) ([]string, error) {
	name, value, hasValue := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(args[0], "-"), "-"), "=")
	rest := args[1:]
	f := set.Lookup(name)
	if f == nil {
		if name == "help" || name == "h" {
			p.help = true
			return rest, nil
		}
		return nil, unknownFlag(set, name)
	}
	if seen[name] {
		return nil, fault.Field("--"+name, "is given twice")
	}
	seen[name] = true
	switch {
	case hasValue:
	case isBool(f):
		value = "true"
	case len(rest) == 0 || rest[0] == "--":
		return nil, fault.Field("--"+name, "needs a value")
	default:
		value, rest = rest[0], rest[1:]
	}
	if err := set.Set(name, value); err != nil {
		return nil, fault.Field("--"+name, "%q isn't a valid value: %v", shorten(value), err)
	}
	p.flags = append(p.flags, "--"+name+"="+value)
	return rest, nil
}

func isBool(f *flag.Flag) bool {
	b, ok := f.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

// unknownFlag returns an error that suggests a flag with a similar name.
func unknownFlag(set *flag.FlagSet, name string) error {
	var names []string
	set.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	err := fault.New(fault.Invalid, "unknown flag %q", "--"+shorten(name))
	if near := tomlfile.Nearest(name, names); near != "" {
		return withHint(err, "did you mean \"--"+near+"\"?")
	}
	return err
}

// maxArgumentBytes bounds the size of an id or name that is sent to an instance.
const maxArgumentBytes = 256

// checkArgument rejects an id or name that every instance would refuse, so that the error
// comes without a call.
func checkArgument(name, value string) error {
	if value == "" {
		return fault.Field(name, "is empty")
	}
	if len(value) > maxArgumentBytes {
		return fault.Field(name, "has %d bytes, at most %d are allowed", len(value), maxArgumentBytes)
	}
	if !utf8.ValidString(value) || strings.ContainsFunc(value, func(r rune) bool { return unicode.IsControl(r) || unicode.IsSpace(r) }) {
		return fault.Field(name, "%q contains white space or control characters", shorten(value))
	}
	return nil
}

// requireArgs checks that there is one valid argument for each name.
func requireArgs(args []string, names ...string) error {
	if len(args) < len(names) {
		return fault.Field(names[len(args)], "is missing")
	}
	if len(args) > len(names) {
		return fault.New(fault.Invalid, "unexpected argument %q", shorten(args[len(names)]))
	}
	for i, name := range names {
		if err := checkArgument(name, args[i]); err != nil {
			return err
		}
	}
	return nil
}

// requireDistinct checks each argument and rejects duplicates. Error messages use name
// for what the arguments denote.
func requireDistinct(name string, args []string) error {
	seen := make(map[string]bool)
	for _, arg := range args {
		if err := checkArgument(name, arg); err != nil {
			return err
		}
		if seen[arg] {
			return fault.Field(name, "%q is given twice", shorten(arg))
		}
		seen[arg] = true
	}
	return nil
}

// maxQuotedBytes bounds the part of an invalid argument that an error message quotes.
const maxQuotedBytes = 60

// shorten truncates a text to maxQuotedBytes and appends "...", unless it is short enough.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
