// Command bilberry-standin simulates workers, minions, callers and submitters of
// jobs, for trials and measurements of the system.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
