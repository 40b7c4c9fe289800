package tomlfile

import (
	"bytes"
	"fmt"
)

const (
	// maxNesting bounds the nesting depth of arrays and inline tables. The TOML
	// library recurses once per level, so a file of a million opening brackets
	// would overflow the stack, which ends the process and can't be recovered.
	maxNesting = 64
	// maxDots bounds the dots of one key. The library's work grows faster than
	// quadratically with them: one key of 30,000 dots in 60 KB of text allocated
	// 33 GB.
	maxDots = 16
)

// nestingScanner scans a text for excessive nesting before the library decodes it.
// It follows TOML's rules for strings and comments. Where a text breaks them, the
// library stops with an error, so text after that place is harmless.
type nestingScanner struct {
	text  []byte
	pos   int
	depth int
	dots  int
}

// findExcessiveNesting returns the line and description of the first key or value that
// would exhaust the library's stack or memory, or an empty description.
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

// step advances past one character, string or comment.
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

// skipString skips the string that begins at the current position.
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
	// TOML counts up to two quotes right before the closing three as part of the string.
	for extra := 0; extra < 2 && g.pos < len(g.text) && g.text[g.pos] == quote; extra++ {
		g.pos++
	}
}

// skipLineString skips the rest of a single-line string with its closing quote.
func (g *nestingScanner) skipLineString(quote byte) {
	for g.pos < len(g.text) && g.text[g.pos] != quote && g.text[g.pos] != '\n' {
		g.skipCharacter(quote)
	}
	if g.pos < len(g.text) && g.text[g.pos] == quote {
		g.pos++
	}
}

// skipCharacter skips one character, or a backslash and the character that it
// escapes. A backslash escapes only within double quotes. An escaped line break
// doesn't end the string.
func (g *nestingScanner) skipCharacter(quote byte) {
	if quote == '"' && g.text[g.pos] == '\\' {
		g.pos++
	}
	g.pos++
}

// skipTo advances to the next end character, or to the end of the text.
func (g *nestingScanner) skipTo(end byte) {
	i := bytes.IndexByte(g.text[g.pos:], end)
	if i < 0 {
		g.pos = len(g.text)
		return
	}
	g.pos += i
}
