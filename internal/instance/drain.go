package instance

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// finalResponseTime bounds how long requests take to respond once their contexts have been
	// cancelled, cancelLead is how long before the end of the wait for them that happens.
	finalResponseTime = 300 * time.Millisecond
	cancelLead        = 200 * time.Millisecond
	// settleInterval is how long a server still accepts requests before it shuts down. A pause
	// that takes maxSettleDelay longer shows that the process got too little processor time; it
	// is repeated, maxSettlePauses in all.
	settleInterval  = 250 * time.Millisecond
	maxSettleDelay  = 50 * time.Millisecond
	maxSettlePauses = 4
)

// drainer stops a server so that each request that was received gets its whole response.
type drainer struct {
	server *http.Server
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelFunc
	// closing says that responses ask clients to close their connections.
	closing atomic.Bool
}

// newDrainer returns the drainer of a server that isn't serving yet.
func newDrainer(server *http.Server) *drainer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &drainer{server: server, cancelRequests: cancel}
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return d
}

// settle lets clients leave: the server still accepts requests, and closes their connections
// after the response.
//
// Shutdown closes the listener and all idle connections, and the kernel resets those with
// requests that the process hasn't read yet. A pause that isn't delayed shows that the process
// has had the time to read them.
func (d *drainer) settle(ctx context.Context) {
	d.closing.Store(true)
	for range maxSettlePauses {
		started := time.Now()
		if !wait.For(ctx, settleInterval) || time.Since(started) < settleInterval+maxSettleDelay {
			return
		}
	}
}

// drain stops accepting requests and waits until those in flight have got their responses. The
// contexts of requests that are still in flight when ctx ends are cancelled, so that their
// handlers respond with an error instead of losing the connection.
func (d *drainer) drain(ctx context.Context) {
	if d.server.Shutdown(ctx) == nil {
		return
	}
	d.cancelRequests()
	finalCtx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	// Shutdown fails if a client hasn't sent its whole request yet. The end of the process
	// closes its connection.
	_ = d.server.Shutdown(finalCtx)
}
