// Package tomlfile decodes TOML strictly. It rejects unknown keys, wrong types and
// wrong units with an error that names the file, the line and the nearest known key.
package tomlfile

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
)

// MaxBytes bounds the size of a text that Decode accepts.
const MaxBytes = 1 << 20

// File is a decoded text with the lines of its keys.
type File struct {
	name  string
	index *lineIndex
}

// Decode decodes text into the struct that into points to. Errors are of kind
// fault.Invalid and refer to the text as name.
func Decode(name string, text []byte, into any) (*File, error) {
	file := &File{name: name}
	if len(text) > MaxBytes {
		return nil, fault.New(fault.Invalid, "%s: %d bytes are too many, at most %d are allowed", name, len(text), MaxBytes)
	}
	if line, problem := findExcessiveNesting(text); problem != "" {
		return nil, file.errorAt("", line, "%s", problem)
	}
	file.index = newLineIndex(text)
	meta, err := toml.Decode(string(text), into)
	if err != nil {
		return nil, file.parseError(err)
	}
	if err := file.checkKeys(meta.Keys(), knownKeys(into)); err != nil {
		return nil, err
	}
	return file, nil
}

// Errorf returns an error of kind Invalid about the key at path. It names the file and the
// line. The path includes the index of an element of an array of tables, as in
// "instance[1].entry".
func (f *File) Errorf(path, format string, args ...any) error {
	return f.errorAt(path, f.index.line(path), format, args...)
}

// errorAt returns an error of kind Invalid about a field on a line. The error names no
// field if field is empty, and no line if line is 0.
func (f *File) errorAt(field string, line int, format string, args ...any) error {
	message := shorten(errors.Newf(format, args...).Error())
	field = shorten(field)
	where := f.name
	if line > 0 {
		where += " line " + strconv.Itoa(line)
	}
	if field == "" {
		return fault.New(fault.Invalid, "%s: %s", where, message)
	}
	return fault.Field(field, "%s: %s", where, message)
}

// parseError converts an error of the TOML library to an error of kind Invalid. The library
// keeps one position for all elements of an array of tables, so the error names every line
// of a key in such an array.
func (f *File) parseError(err error) error {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return fault.New(fault.Invalid, "%s: %s", f.name, oneLine(strings.TrimPrefix(err.Error(), "toml: ")))
	}
	message := oneLine(parse.Message)
	if message == "" {
		message = oneLine(parse.Error())
	}
	lines := f.index.candidates(parse.LastKey)
	if len(lines) > 1 && f.index.inArray(parse.LastKey) {
		return fault.Field(parse.LastKey, "%s, one of the lines %s: %s", f.name, joinInts(lines), message)
	}
	return f.errorAt(parse.LastKey, parse.Position.Line, "%s", message)
}

// checkKeys returns an error for the first key of the text that isn't known.
func (f *File) checkKeys(keys []toml.Key, known map[string]bool) error {
	for _, key := range keys {
		path := strings.Join(key, ".")
		if known[path] {
			continue
		}
		lines := f.index.candidates(path)
		line := 0
		if len(lines) > 0 {
			line = lines[0]
		}
		return f.errorAt(path, line, "unknown key; %s", suggestKey(path, known))
	}
	return nil
}

var textUnmarshaler = reflect.TypeFor[interface{ UnmarshalText([]byte) error }]()

// knownKeys returns the dotted keys of the struct that into points to.
func knownKeys(into any) map[string]bool {
	known := make(map[string]bool)
	addKeys(known, "", reflect.TypeOf(into))
	return known
}

// addKeys adds the dotted keys of the fields of a type to known, each with the prefix.
func addKeys(known map[string]bool, prefix string, t reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(textUnmarshaler) {
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		known[prefix+name] = true
		addKeys(known, prefix+name+".", field.Type)
	}
}

// maxMessageBytes bounds the part of a user's text that an error repeats.
const maxMessageBytes = 300

// shorten truncates a text to maxMessageBytes.
func shorten(text string) string {
	if len(text) <= maxMessageBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxMessageBytes], "") + "..."
}

// oneLine joins the words of a text with single spaces and truncates it.
func oneLine(text string) string {
	return shorten(strings.Join(strings.Fields(text), " "))
}

func joinInts(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, ", ")
}

// Text is a TOML string, or a number without quotes, as text. The caller of Decode parses
// it afterwards, so that an error about a wrong value can name the line of the element of
// an array of tables.
type Text string

// UnmarshalText stores the text unchanged.
func (t *Text) UnmarshalText(text []byte) error {
	*t = Text(text)
	return nil
}
