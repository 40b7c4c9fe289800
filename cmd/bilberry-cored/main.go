// Command bilberry-cored runs a core instance: a member of the shared log that
// takes in heartbeats and configuration, and schedules while it leads.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() { os.Exit(instance.Main(platform.NewCore())) }
