package instance

import (
	"context"
	"net"
	"net/http"
	"time"
)

// finalResponseTime bounds how long requests take to respond once their contexts have been
// cancelled.
const finalResponseTime = 500 * time.Millisecond

// setRequestContext makes a server that isn't serving yet derive the contexts of its requests
// from one that cancelRequests cancels.
func setRequestContext(server *http.Server) (cancelRequests func()) {
	ctx, cancel := context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return cancel
}

// drain stops accepting requests and waits until those in flight have got their responses. The
// contexts of requests that are still in flight when ctx ends are cancelled, so that their
// handlers respond with an error instead of losing the connection.
func drain(ctx context.Context, server *http.Server, cancelRequests func()) {
	if server.Shutdown(ctx) == nil {
		return
	}
	cancelRequests()
	finalCtx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	// Shutdown fails if a client hasn't sent its whole request yet. The end of the process
	// closes its connection.
	_ = server.Shutdown(finalCtx)
}
