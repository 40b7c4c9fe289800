package tomlfile

import (
	"slices"
	"strings"
)

// suggestKey returns a text that suggests a known key for an unknown one: the nearest key
// of the same table, or else of the whole file, or else a key of the same name in another
// table. If there is no such key, the text lists the known keys of the table, or those of
// the top level if the table has no known keys.
func suggestKey(path string, known map[string]bool) string {
	parent := parentPath(path)
	siblings := keysOf(parent, known)
	if nearestKey := nearest(keyName(path), siblings); nearestKey != "" {
		return `did you mean "` + nearestKey + `"?`
	}
	allKeys := make([]string, 0, len(known))
	for key := range known {
		allKeys = append(allKeys, key)
	}
	slices.Sort(allKeys)
	if nearestKey := nearest(path, allKeys); nearestKey != "" {
		return `did you mean "` + nearestKey + `"?`
	}
	for _, key := range allKeys {
		if keyName(key) == keyName(path) {
			return `did you mean "` + key + `"?`
		}
	}
	if len(siblings) == 0 {
		siblings = keysOf("", known)
	}
	return "known keys here are " + strings.Join(siblings, ", ")
}

// keysOf returns the names of a table's known keys, sorted.
func keysOf(table string, known map[string]bool) []string {
	var keys []string
	for key := range known {
		if parentPath(key) == table {
			keys = append(keys, keyName(key))
		}
	}
	slices.Sort(keys)
	return keys
}

// keyName returns the name of a key without its table.
func keyName(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}

// maxComparedBytes bounds the length of a compared word. The comparison takes
// quadratic time and the word comes from a user.
const maxComparedBytes = 64

// Bounds on the number of edits from a mistyped word to the nearest one: at most maxEdits,
// and at most one for each bytesPerEdit bytes of the word, but one edit in any case.
const (
	maxEdits     = 3
	bytesPerEdit = 3
)

// Nearest returns the element of words with the smallest edit distance to a mistyped word.
// It returns "" if no element is within one edit for every three bytes of word, at least
// one and at most three.
func Nearest(word string, words []string) string { return nearest(word, words) }

// nearest implements Nearest.
func nearest(word string, words []string) string {
	if len(word) > maxComparedBytes {
		return ""
	}
	best, bestDistance := "", 1+max(1, min(maxEdits, len(word)/bytesPerEdit))
	for _, candidate := range words {
		d := editDistance(strings.ToLower(word), candidate)
		if d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance returns the number of insertions, deletions, replacements and swaps
// of adjacent characters that turn a into b.
func editDistance(a, b string) int {
	beforePrevious, previous := make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], beforePrevious[j-2]+1)
			}
		}
		beforePrevious, previous = previous, current
	}
	return previous[len(b)]
}
