package panics

import (
	"path"
	"slices"
	"strings"
)

// Place names the innermost functions of this module on the first of several stacks that has
// any, the innermost first. The stacks have the runtime's text form, with an empty line between
// them.
func Place(stacks string) string {
	for stack := range strings.SplitSeq(stacks, "\n\n") {
		if frames := framesOfModule(stack); len(frames) > 0 {
			return strings.Join(frames, " < ")
		}
	}
	return ""
}

// framesOfModule returns the innermost frames of this module on a stack, without ownCalls.
func framesOfModule(stack string) []string {
	var frames []string
	lines := strings.Split(stack, "\n")
	for i, line := range lines[:len(lines)-1] {
		if isFrame(line) && len(frames) < maxFrames {
			frames = append(frames, frameName(line, lines[i+1]))
		}
	}
	return frames
}

// isFrame reports whether a line of a stack is a call of a function of this module, and not of one
// of ownCalls.
func isFrame(line string) bool {
	isOwn := func(start string) bool { return strings.HasPrefix(line, start) }
	return strings.HasPrefix(line, modulePath) && !slices.ContainsFunc(ownCalls, isOwn)
}

// frameName returns a frame as package, function, file and line, without arguments.
func frameName(call, position string) string {
	function := strings.TrimPrefix(call, modulePath)
	if end := strings.LastIndex(function, "("); end > 0 {
		function = function[:end]
	}
	position, _, _ = strings.Cut(strings.TrimSpace(position), " ")
	return function + " " + path.Base(position)
}
