// Package assert checks invariants at run time and passes violations to a handler.
package assert

import (
	"fmt"
	"sync/atomic"
)

// Violation is the error for an invariant that did not hold. Text describes it.
type Violation struct{ Text string }

// Error returns the description with a fixed prefix.
func (v *Violation) Error() string { return "invariant violated: " + v.Text }

// handler receives the violations. While it is nil, a violation panics.
var handler atomic.Pointer[func(*Violation)]

// SetHandler sets the handler of violations for the whole process, in place of the default,
// which panics. A daemon sets one that counts and logs violations, so that one violation
// doesn't end its other requests.
func SetHandler(h func(*Violation)) { handler.Store(&h) }

// That checks that ok is true. If it is false, That passes a Violation with the formatted text
// to the handler and returns, or panics with the Violation if no handler is set.
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
