package control

import (
	"sync"

	"github.com/bilberryferry/bilberryferry/internal/panics"
)

// goroutineGroup runs the goroutines of a leader term. After wait has been called it
// starts none: a heartbeat that arrives while the leader term ends would otherwise add to
// a sync.WaitGroup that is being waited for.
type goroutineGroup struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs f in a goroutine, unless wait has been called.
func (g *goroutineGroup) start(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.group.Go(func() {
			defer panics.Handle()
			f()
		})
	}
}

// wait waits until all goroutines have returned.
func (g *goroutineGroup) wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.group.Wait()
}
