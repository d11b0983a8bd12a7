// Package tasks runs the goroutines of a daemon and waits for their end.
package tasks

import "sync"

// Group is a set of goroutines. The zero value is ready for use.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Go runs f in a goroutine, unless the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.wg.Go(f)
}

// Close lets no more goroutines start and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
