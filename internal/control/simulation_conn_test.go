package control

import (
	"context"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// reachOverConn returns the worker at which a call arrives after callDelay. A call on an open
// connection arrives at the incarnation to which the connection belongs, or nowhere if that ends
// meanwhile. A call that finds its connection closed opens another one, and arrives at the incarnation
// that is there by then.
func (ws *simWorkers) reachOverConn(ctx context.Context, to Target) (*simWorker, callOutcome, error) {
	outcome := callOutcome{responseDelay: ws.params.callDelay}
	ws.mu.Lock()
	w := ws.conns[to.Address]
	if w != nil && w.crashed {
		w = nil
	}
	ws.mu.Unlock()
	outcome.otherConn = w == nil || w.ID != to.Worker
	if !wait.For(ctx, ws.params.callDelay) {
		return nil, outcome, errNoResponse
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w == nil {
		w = ws.current[to.Address]
	}
	if w == nil || w.crashed {
		return nil, outcome, errNoResponse
	}
	ws.conns[to.Address] = w
	return w, outcome, nil
}
