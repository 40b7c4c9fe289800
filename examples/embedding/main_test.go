package main

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func Example() {
	main()
	// Output:
	// another leader: true
	// register: bay 7: offload
}

// docs/EMBEDDING.md shows this program. If only one of them changes, readers learn an
// interface that doesn't exist.
func TestPageShowsThisProgram(t *testing.T) {
	program, err := os.ReadFile("main.go")
	must.NoError(t, err)
	page, err := os.ReadFile("../../docs/EMBEDDING.md")
	must.NoError(t, err)
	must.True(t, strings.Contains(string(page), "```go\n"+string(program)+"```\n"))
}
