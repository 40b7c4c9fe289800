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

func (t *goroutineGroup) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.group.Go(f)
	}
}

func (t *goroutineGroup) wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}
