// Command bilberry-edged runs an instance that faces callers: it passes their
// requests on to the leader and puts questions to the adviser for it.
package main

import (
	"net/http"
	"os"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/instance"
	"github.com/bilberryferry/bilberryferry/platform"
)

func main() {
	os.Exit(instance.Main("edge", instance.RunEdge(instance.EdgeAdapters{
		Outside: func(adviser string) instance.Outside { return platform.NewClient(adviser) },
		Entry: func(operations *instance.Operations, logger log.Logger) http.Handler {
			return platform.NewFront(operations, logger)
		},
		ReadinessPath: platform.ReadinessPath,
	})))
}
