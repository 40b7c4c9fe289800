package tomlfile

import (
	"regexp"
	"strconv"
	"strings"
)

// lineIndex knows on which line each key of a text stands. It reads the plain
// form of TOML, one key or table header a line, and serves error messages
// only: for keys in inline tables it answers with no line.
type lineIndex struct {
	lines    map[string]int
	byKey    map[string][]int
	elements map[string]int
}

var (
	arrayHeader = regexp.MustCompile(`^\[\[\s*([^\]]+?)\s*\]\]`)
	tableHeader = regexp.MustCompile(`^\[\s*([^\]]+?)\s*\]`)
	keyLine     = regexp.MustCompile(`^([A-Za-z0-9_."' -]+?)\s*=`)
	unquoter    = strings.NewReplacer(`"`, "", `'`, "", " ", "")
)

func newLineIndex(text []byte) *lineIndex {
	x := &lineIndex{lines: make(map[string]int), byKey: make(map[string][]int), elements: make(map[string]int)}
	table := ""
	for i, raw := range strings.Split(string(text), "\n") {
		table = x.addLine(i+1, strings.TrimSpace(raw), table)
	}
	return x
}

// add reads one line and returns the path of the table that the next line is in.
func (x *lineIndex) addLine(number int, line, table string) string {
	if m := arrayHeader.FindStringSubmatch(line); m != nil {
		name := x.resolve(unquoter.Replace(m[1]))
		path := name + "[" + strconv.Itoa(x.elements[name]) + "]"
		x.elements[name]++
		x.record(path, number)
		return path
	}
	if m := tableHeader.FindStringSubmatch(line); m != nil {
		path := x.resolve(unquoter.Replace(m[1]))
		x.record(path, number)
		return path
	}
	if m := keyLine.FindStringSubmatch(line); m != nil {
		x.record(joinPath(table, unquoter.Replace(m[1])), number)
	}
	return table
}

// resolve puts the current element's number behind each parent that is an
// array of tables: "a.b" inside the third "[[a]]" reads "a[2].b".
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

func (x *lineIndex) record(path string, number int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = number
	}
	key := stripNumbers(path)
	x.byKey[key] = append(x.byKey[key], number)
}

// line returns the line of a path, or that of the nearest parent, or 0.
func (x *lineIndex) line(path string) int {
	for path != "" {
		if number, ok := x.lines[path]; ok {
			return number
		}
		path = parentPath(path)
	}
	return 0
}

// candidates returns every line on which a key without element numbers stands.
func (x *lineIndex) candidates(key string) []int { return x.byKey[key] }

// inArray says whether a key without element numbers stands in an array of tables.
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

func parentPath(path string) string {
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		return path[:i]
	}
	return ""
}

var elementNumber = regexp.MustCompile(`\[\d+\]`)

func stripNumbers(path string) string { return elementNumber.ReplaceAllString(path, "") }
