// Command bilberry-celld runs the cell process of one instance: a replica of its data
// centre's log, which schedules jobs and grants leases while it is the leader.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/cell"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
)

func main() { os.Exit(daemon.Main("cell", cell.Serve)) }
