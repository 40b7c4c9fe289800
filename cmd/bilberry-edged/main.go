// Command bilberry-edged runs an instance that faces callers: it passes their
// requests on to the leader and puts questions to the adviser for it.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() { os.Exit(instance.Main(platform.NewEdge())) }
