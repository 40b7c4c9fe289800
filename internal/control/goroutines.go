package control

import "sync"

// tasks are the goroutines of a tenure. Once wait has been called none is begun:
// a heartbeat that comes in while a tenure ends would otherwise add to a wait
// group that is being waited for.
type goroutineGroup struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

func (g *goroutineGroup) start(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.group.Go(f)
	}
}

func (g *goroutineGroup) wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.group.Wait()
}
