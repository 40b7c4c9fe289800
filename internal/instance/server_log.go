package instance

import (
	stdlog "log"
	"net/http"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/internal/panics"
)

// serverLog turns the messages that package net/http logs for a server into structured lines.
type serverLog struct {
	logger  log.Logger
	address string
}

// logServerErrors makes a server log its errors and the panics of its handlers to logger.
func logServerErrors(server *http.Server, logger log.Logger) {
	server.ErrorLog = stdlog.New(&serverLog{logger, server.Addr}, "", 0)
}

// Write logs one message.
func (l *serverLog) Write(message []byte) (int, error) {
	client, text, isPanic := cutPanic(string(message))
	if isPanic {
		reason, stack, _ := strings.Cut(text, "\ngoroutine ")
		_ = level.Error(l.logger).Log("event", "handler_panic", "address", l.address, "client", client,
			"reason", panics.OneLine(reason), "place", panics.Place(stack))
		return len(message), nil
	}
	_ = level.Warn(l.logger).Log("event", "http_server", "address", l.address, "err", panics.OneLine(text))
	return len(message), nil
}

// cutPanic returns the client and the rest of a message about the panic of a handler; of another
// message it returns the whole text.
func cutPanic(message string) (client, text string, isPanic bool) {
	for _, start := range []string{"http: panic serving ", "http2: panic serving "} {
		rest, found := strings.CutPrefix(message, start)
		if !found {
			continue
		}
		client, text, isPanic = strings.Cut(rest, ": ")
		return client, text, isPanic
	}
	return "", message, false
}
