// Package tasks runs the goroutines of a daemon and waits for them to return at shutdown.
package tasks

import "sync"

// Group is a set of goroutines that accepts no more goroutines once it is closed. The zero
// value is ready for use. It is safe for concurrent use.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Go runs f in a new goroutine. If the group is closed, it returns without running f.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.wg.Go(f)
}

// Close closes the group and waits until all its goroutines have returned. It doesn't
// cancel them.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
