// Command bilberry-edged runs an edge instance: it forwards callers' requests to the
// leader and queries the adviser on the leader's behalf.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/hangup"
	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() { os.Exit(instance.Main(platform.NewEdge(), hangup.Signals)) }
