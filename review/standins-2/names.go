package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names are the platform's names, which the project's own code doesn't contain, by the names that the stand-ins use.
var names = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(namesText) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[key] = value
	}
	return names
}()

// name returns a name of the platform.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		cannotRun("no name " + key)
	}
	return value
}
