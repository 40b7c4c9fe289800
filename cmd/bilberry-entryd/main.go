// Command bilberry-entryd runs the entry process of one instance: callers, operators,
// workers and minions connect to it, and it forwards their calls and requests.
package main

import (
	"os"

	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/entry"
)

func main() { os.Exit(daemon.Main("entry", entry.Serve)) }
