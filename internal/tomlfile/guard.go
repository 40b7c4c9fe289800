package tomlfile

import (
	"bytes"
	"fmt"
)

const (
	// maxNesting bounds how deep arrays and inline tables nest. The TOML
	// library recurses once a level: a file of a million opening brackets
	// would end the process by its stack, which can't be recovered from.
	maxNesting = 64
	// maxDots bounds the dots of one key. The library's work is quadratic in
	// them and more: one key of 30,000 dots in 60 KB of text allocated 33 GB.
	maxDots = 16
)

// guard walks over a text before the library reads it. It follows the rules
// of TOML for strings and comments; where a text breaks those rules, the
// library stops with an error at that place and what comes after it can't harm.
type nestingScanner struct {
	text  []byte
	pos   int
	depth int
	dots  int
}

// findExcessiveNesting returns the line and nature of what the library can't bear, or "".
func findExcessiveNesting(text []byte) (line int, problem string) {
	g := nestingScanner{text: text}
	for g.pos < len(g.text) {
		g.step()
		switch {
		case g.depth > maxNesting:
			problem = fmt.Sprintf("brackets nest deeper than %d", maxNesting)
		case g.dots > maxDots:
			problem = fmt.Sprintf("a key has more than %d dots", maxDots)
		default:
			continue
		}
		return 1 + bytes.Count(text[:min(g.pos, len(text))], []byte{'\n'}), problem
	}
	return 0, ""
}

func (g *nestingScanner) step() {
	c := g.text[g.pos]
	switch c {
	case '"', '\'':
		g.skipString(c)
		return
	case '#':
		g.skipTo('\n')
		return
	case '.':
		g.dots++
	case '[', '{':
		g.depth++
		g.dots = 0
	case ']', '}':
		g.depth = max(g.depth-1, 0)
		g.dots = 0
	case '\n', '=', ',':
		g.dots = 0
	}
	g.pos++
}

// skipString passes over a string that begins at the current position.
func (g *nestingScanner) skipString(quote byte) {
	triple := bytes.Repeat([]byte{quote}, 3)
	if !bytes.HasPrefix(g.text[g.pos:], triple) {
		g.pos++
		g.skipLineString(quote)
		return
	}
	g.pos += len(triple)
	for g.pos < len(g.text) && !bytes.HasPrefix(g.text[g.pos:], triple) {
		g.skipCharacter(quote)
	}
	g.pos += len(triple)
	// Up to two quotes right before the closing three belong to the string.
	for extra := 0; extra < 2 && g.pos < len(g.text) && g.text[g.pos] == quote; extra++ {
		g.pos++
	}
}

func (g *nestingScanner) skipLineString(quote byte) {
	for g.pos < len(g.text) && g.text[g.pos] != quote && g.text[g.pos] != '\n' {
		g.skipCharacter(quote)
	}
	if g.pos < len(g.text) && g.text[g.pos] == quote {
		g.pos++
	}
}

// skipCharacter passes over one character, or two after a backslash, which
// escapes in double quotes only. An escaped end of line stays in its string.
func (g *nestingScanner) skipCharacter(quote byte) {
	if quote == '"' && g.text[g.pos] == '\\' {
		g.pos++
	}
	g.pos++
}

func (g *nestingScanner) skipTo(end byte) {
	i := bytes.IndexByte(g.text[g.pos:], end)
	if i < 0 {
		g.pos = len(g.text)
		return
	}
	g.pos += i
}
