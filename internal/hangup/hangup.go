// Package hangup keeps SIGHUP from ending a daemon.
//
// The default action of SIGHUP ends the process, also while it starts or stops. The handler is
// therefore installed when this package is initialized and is never removed. The package imports
// nothing but the signals, so that it is initialized before most other packages.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. It holds one signal until it is read.
var Signals = notify()

func notify() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
