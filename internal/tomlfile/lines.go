package tomlfile

import (
	"regexp"
	"strconv"
	"strings"
)

// lineIndex maps the keys of a text to their lines, for error messages. It
// understands one key or table header per line and doesn't find keys in inline
// tables.
type lineIndex struct {
	// lines maps a path with element numbers, such as "a[2].b", to its first line.
	lines map[string]int
	// byKey maps a path without element numbers to all its lines.
	byKey map[string][]int
	// elements counts the elements of each array of tables.
	elements map[string]int
}

var (
	arrayHeader = regexp.MustCompile(`^\[\[\s*([^\]]+?)\s*\]\]`)
	tableHeader = regexp.MustCompile(`^\[\s*([^\]]+?)\s*\]`)
	keyLine     = regexp.MustCompile(`^([A-Za-z0-9_."' -]+?)\s*=`)
	unquoter    = strings.NewReplacer(`"`, "", `'`, "", " ", "")
)

// newLineIndex returns the index of a text.
func newLineIndex(text []byte) *lineIndex {
	x := &lineIndex{lines: make(map[string]int), byKey: make(map[string][]int), elements: make(map[string]int)}
	table := ""
	for i, line := range strings.Split(string(text), "\n") {
		table = x.addLine(i+1, strings.TrimSpace(line), table)
	}
	return x
}

// addLine indexes one line and returns the path of the table that contains the next
// line.
func (x *lineIndex) addLine(lineNumber int, line, table string) string {
	if m := arrayHeader.FindStringSubmatch(line); m != nil {
		name := x.resolve(unquoter.Replace(m[1]))
		path := name + "[" + strconv.Itoa(x.elements[name]) + "]"
		x.elements[name]++
		x.record(path, lineNumber)
		return path
	}
	if m := tableHeader.FindStringSubmatch(line); m != nil {
		path := x.resolve(unquoter.Replace(m[1]))
		x.record(path, lineNumber)
		return path
	}
	if m := keyLine.FindStringSubmatch(line); m != nil {
		x.record(joinPath(table, unquoter.Replace(m[1])), lineNumber)
	}
	return table
}

// resolve appends the number of the current element to each parent in a path that is an
// array of tables: "a.b" inside the third "[[a]]" becomes "a[2].b".
func (x *lineIndex) resolve(name string) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		path = joinPath(path, part)
		count := x.elements[path]
		if count > 0 && i < len(parts)-1 {
			path += "[" + strconv.Itoa(count-1) + "]"
		}
	}
	return path
}

// record stores the line number of a path.
func (x *lineIndex) record(path string, lineNumber int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = lineNumber
	}
	key := stripElementNumbers(path)
	x.byKey[key] = append(x.byKey[key], lineNumber)
}

// line returns the line of a path or of its nearest parent, or 0 when neither is
// indexed.
func (x *lineIndex) line(path string) int {
	for path != "" {
		if lineNumber, ok := x.lines[path]; ok {
			return lineNumber
		}
		path = parentPath(path)
	}
	return 0
}

// candidates returns all lines of a key, whose path is given without element
// numbers.
func (x *lineIndex) candidates(key string) []int { return x.byKey[key] }

// inArray reports whether a key, whose path is given without element numbers, is
// in an array of tables.
func (x *lineIndex) inArray(key string) bool {
	for table := parentPath(key); table != ""; table = parentPath(table) {
		if x.elements[table] > 0 {
			return true
		}
	}
	return false
}

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// parentPath returns the path of the table that contains a key, or "".
func parentPath(path string) string {
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		return path[:i]
	}
	return ""
}

var elementNumber = regexp.MustCompile(`\[\d+\]`)

func stripElementNumbers(path string) string { return elementNumber.ReplaceAllString(path, "") }
