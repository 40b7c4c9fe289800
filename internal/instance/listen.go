package instance

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// listenRetryInterval is the time between two attempts to listen on an address in use.
	listenRetryInterval = 50 * time.Millisecond
	// listenLogInterval is the time between two log lines about an address that stays in use.
	listenLogInterval = 10 * time.Second
)

// listenAndServe serves until Shutdown or Close of the server is called. While the address is in
// use it tries again until ctx ends; another process on the machine may hold the port for a
// moment, for instance for an outgoing connection. It calls listening once it listens.
func listenAndServe(ctx context.Context, server *http.Server, logger log.Logger, listening func()) error {
	listener, err := listenWhenFree(ctx, server.Addr, logger)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	listening()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// listenWhenFree listens on a TCP address as soon as no other socket uses it. Any other error
// is returned at once.
func listenWhenFree(ctx context.Context, address string, logger log.Logger) (net.Listener, error) {
	if address == "" {
		return nil, errors.New("no address to listen on")
	}
	started := time.Now()
	var lastLogged time.Time
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			if err == nil && !lastLogged.IsZero() {
				_ = logger.Log("event", "listen", "address", address, "outcome", "listening", "waited", time.Since(started))
			}
			return listener, err
		}
		if time.Since(lastLogged) >= listenLogInterval {
			lastLogged = time.Now()
			_ = logger.Log("event", "listen", "address", address, "outcome", "address_in_use")
		}
		if !wait.For(ctx, listenRetryInterval) {
			return nil, ctx.Err()
		}
	}
}
