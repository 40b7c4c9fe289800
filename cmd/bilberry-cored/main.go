// Command bilberry-cored runs a core instance: a member of the shared log that
// takes in heartbeats and configuration, and schedules while it leads.
package main

import (
	"net/http"
	"os"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() {
	os.Exit(instance.Main("core", instance.RunCore(instance.CoreAdapters{
		Outside: func(adviser string) instance.Outside { return platform.NewClient(adviser) },
		Control: func(operations *instance.Operations, logger log.Logger) http.Handler {
			return platform.NewControl(operations, logger)
		},
	})))
}
