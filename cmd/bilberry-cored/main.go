// Command bilberry-cored runs a core instance: a member of the replicated log that
// receives heartbeats and configuration, and schedules jobs while it is the leader.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/hangup"
	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() { os.Exit(instance.Main(platform.NewCore(), hangup.Signals)) }
