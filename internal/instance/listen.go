package instance

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/peermem"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// listenRetryInterval is the time between two attempts to listen on an address in use.
	listenRetryInterval = 50 * time.Millisecond
	// listenLogInterval is the time between two log lines about an address that stays in use or
	// a listener whose accepts fail.
	listenLogInterval = 10 * time.Second
)

// listenAndServe serves until Shutdown or Close of the server is called. While the address can't be
// had it tries again until ctx ends: another process on the machine may hold the port for a
// moment, for instance for an outgoing connection, and a machine that boots may not have its
// address yet. It calls listening once it listens. The connections are
// counted against budget.
func listenAndServe(ctx context.Context, server *http.Server, budget *peermem.Budget, logger log.Logger, listening func()) error {
	listener, err := listenWhenFree(ctx, server.Addr, budget.ReceiveBuffer(), logger)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	listening()
	return serveListener(ctx, server, budget.Listener(listener), logger)
}

// listenConfig returns the configuration of a listener whose connections receive at most about receiveBuffer bytes
// that the process hasn't read. The window is agreed on when a connection is opened, so that the buffer is set on the
// listening socket.
func listenConfig(receiveBuffer int) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) (err error) {
		controlErr := socket.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.CombineErrors(controlErr, err)
	}}
}

// listenWhenFree listens on a TCP address as soon as the machine has it and no other socket uses
// it. Any other error is returned at once.
func listenWhenFree(ctx context.Context, address string, receiveBuffer int, logger log.Logger) (net.Listener, error) {
	if address == "" {
		return nil, errors.New("no address to listen on")
	}
	started, config := time.Now(), listenConfig(receiveBuffer)
	var lastLogged time.Time
	for {
		listener, err := config.Listen(ctx, "tcp", address)
		if !isTemporary(err) {
			if err == nil && !lastLogged.IsZero() {
				_ = logger.Log("event", "listen", "address", address, "outcome", "listening", "waited", time.Since(started))
			}
			return listener, err
		}
		if time.Since(lastLogged) >= listenLogInterval {
			lastLogged = time.Now()
			_ = logger.Log("event", "listen", "address", address, "outcome", unavailableOutcome(err))
		}
		if !wait.For(ctx, listenRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// isTemporary reports whether a failed attempt to listen may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// unavailableOutcome returns the outcome in the log of an attempt that failed with a temporary error.
func unavailableOutcome(err error) string {
	if errors.Is(err, syscall.EADDRNOTAVAIL) {
		return "address_not_available"
	}
	return "address_in_use"
}

// serveListener serves on a listener until Shutdown or Close of the server is called.
func serveListener(ctx context.Context, server *http.Server, listener net.Listener, logger log.Logger) error {
	err := server.Serve(&retryingListener{Listener: listener, ctx: ctx, logger: logger})
	if err == http.ErrServerClosed || ctx.Err() != nil {
		return nil
	}
	return err
}

// acceptRetryInterval is the time between two attempts to accept a connection after an error.
const acceptRetryInterval = 20 * time.Millisecond

// retryingListener is a listener whose Accept fails only once it is closed. A lack of descriptors
// or of memory, and errors of the new connection that accept returns on Linux, pass.
type retryingListener struct {
	net.Listener
	ctx        context.Context
	logger     log.Logger
	lastLogged time.Time
}

// Accept waits for the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if time.Since(l.lastLogged) >= listenLogInterval {
			l.lastLogged = time.Now()
			_ = l.logger.Log("event", "accept", "address", l.Addr(), "err", err)
		}
		if !wait.For(l.ctx, acceptRetryInterval) {
			return nil, err
		}
	}
}
