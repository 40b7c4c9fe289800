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
// It follows TOML's rules for strings and comments. Where a text breaks these rules, the
// library stops with an error, so the rest of the text needs no scan.
type nestingScanner struct {
	text  []byte
	pos   int
	depth int
	dots  int
}

// findExcessiveNesting returns the line and description of the first key or value that
// would exhaust the library's stack or memory, or an empty description.
func findExcessiveNesting(text []byte) (line int, problem string) {
	s := nestingScanner{text: text}
	for s.pos < len(s.text) {
		s.step()
		switch {
		case s.depth > maxNesting:
			problem = fmt.Sprintf("brackets nest deeper than %d", maxNesting)
		case s.dots > maxDots:
			problem = fmt.Sprintf("a key has more than %d dots", maxDots)
		default:
			continue
		}
		return 1 + bytes.Count(text[:min(s.pos, len(text))], []byte{'\n'}), problem
	}
	return 0, ""
}

// step advances past one character, string or comment.
func (s *nestingScanner) step() {
	c := s.text[s.pos]
	switch c {
	case '"', '\'':
		s.skipString(c)
		return
	case '#':
		s.skipTo('\n')
		return
	case '.':
		s.dots++
	case '[', '{':
		s.depth++
		s.dots = 0
	case ']', '}':
		s.depth = max(s.depth-1, 0)
		s.dots = 0
	case '\n', '=', ',':
		s.dots = 0
	}
	s.pos++
}

// skipString skips the string that begins at the current position.
func (s *nestingScanner) skipString(quote byte) {
	triple := bytes.Repeat([]byte{quote}, 3)
	if !bytes.HasPrefix(s.text[s.pos:], triple) {
		s.pos++
		s.skipLineString(quote)
		return
	}
	s.pos += len(triple)
	for s.pos < len(s.text) && !bytes.HasPrefix(s.text[s.pos:], triple) {
		s.skipCharacter(quote)
	}
	s.pos += len(triple)
	// TOML counts up to two quotes right before the closing three as part of the string.
	for extra := 0; extra < 2 && s.pos < len(s.text) && s.text[s.pos] == quote; extra++ {
		s.pos++
	}
}

// skipLineString skips the rest of a single-line string with its closing quote.
func (s *nestingScanner) skipLineString(quote byte) {
	for s.pos < len(s.text) && s.text[s.pos] != quote && s.text[s.pos] != '\n' {
		s.skipCharacter(quote)
	}
	if s.pos < len(s.text) && s.text[s.pos] == quote {
		s.pos++
	}
}

// skipCharacter skips one character, or a backslash and the character that it
// escapes. A backslash escapes only within double quotes. An escaped line break
// doesn't end the string.
func (s *nestingScanner) skipCharacter(quote byte) {
	if quote == '"' && s.text[s.pos] == '\\' {
		s.pos++
	}
	s.pos++
}

// skipTo advances to the next end character, or to the end of the text.
func (s *nestingScanner) skipTo(end byte) {
	i := bytes.IndexByte(s.text[s.pos:], end)
	if i < 0 {
		s.pos = len(s.text)
		return
	}
	s.pos += i
}
