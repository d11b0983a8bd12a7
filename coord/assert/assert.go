// Package assert checks invariants while the program runs.
package assert

import (
	"fmt"
	"sync/atomic"
)

// Violation is an invariant that did not hold.
type Violation struct{ Text string }

// Error returns what did not hold.
func (v *Violation) Error() string { return "invariant violated: " + v.Text }

var handler atomic.Pointer[func(*Violation)]

// SetHandler replaces the default handler, which panics. A daemon counts and logs
// instead, so that its other requests go on.
func SetHandler(h func(*Violation)) { handler.Store(&h) }

// That calls the handler unless ok is true.
func That(ok bool, format string, args ...any) {
	if ok {
		return
	}
	v := &Violation{fmt.Sprintf(format, args...)}
	if h := handler.Load(); h != nil {
		(*h)(v)
		return
	}
	panic(v)
}
