package settings

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// Print writes all effective settings as TOML. Keys of instances, limits, timing and log
// are followed by a comment with their default. Parsing the output gives the same settings.
// Print writes the paths of the token files but doesn't read them.
func (s *Settings) Print(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "deployment = %s\n", quote(s.Deployment))
	for _, instance := range s.Instances {
		fmt.Fprintf(out, "\n[[instance]]\n")
		printTable(out, reflect.ValueOf(instance), reflect.ValueOf(Instance{}))
	}
	fmt.Fprintf(out, "\n[tokens]\n")
	printTable(out, reflect.ValueOf(s.Tokens), reflect.Value{})
	for _, customer := range s.Tokens.Customers {
		fmt.Fprintf(out, "\n[[tokens.customer]]\n")
		printTable(out, reflect.ValueOf(customer), reflect.Value{})
	}
	defaults := Default()
	fmt.Fprintf(out, "\n[limits]\n")
	printTable(out, reflect.ValueOf(s.Limits), reflect.ValueOf(defaults.Limits))
	fmt.Fprintf(out, "\n[timing]\n")
	printTable(out, reflect.ValueOf(s.Timing), reflect.ValueOf(defaults.Timing))
	fmt.Fprintf(out, "\n[log]\n")
	printTable(out, reflect.ValueOf(s.Log), reflect.ValueOf(defaults.Log))
	return out.Flush()
}

// printTable writes the scalar keys of one table, each followed by its default
// unless defaults is the zero Value.
func printTable(out io.Writer, table, defaults reflect.Value) {
	for i := range table.NumField() {
		key := table.Type().Field(i).Tag.Get("toml")
		value, ok := formatValue(table.Field(i))
		if key == "" || !ok {
			continue
		}
		if !defaults.IsValid() {
			fmt.Fprintf(out, "%s = %s\n", key, value)
			continue
		}
		defaultValue, _ := formatValue(defaults.Field(i))
		fmt.Fprintf(out, "%-14s = %s  # default %s\n", key, value, defaultValue)
	}
}

// formatValue returns a scalar or a list of strings as TOML, and false for values
// of other types.
func formatValue(v reflect.Value) (string, bool) {
	if text, ok := v.Interface().(fmt.Stringer); ok {
		return quote(text.String()), true
	}
	switch v.Kind() {
	case reflect.String:
		return quote(v.String()), true
	case reflect.Int, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10), true
	case reflect.Bool:
		return strconv.FormatBool(v.Bool()), true
	case reflect.Slice:
		names, ok := v.Interface().([]string)
		if !ok {
			return "", false
		}
		quoted := make([]string, len(names))
		for i, name := range names {
			quoted[i] = quote(name)
		}
		return "[" + strings.Join(quoted, ", ") + "]", true
	default:
		return "", false
	}
}

// asciiDelete is the only ASCII control character above the space.
const asciiDelete = 0x7f

// quote returns text as a TOML basic string, in which control characters must be
// escaped.
func quote(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == asciiDelete:
			fmt.Fprintf(&b, "\\u%04X", r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
