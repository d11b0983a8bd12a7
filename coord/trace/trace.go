// Package trace keeps the time line of a process: a bounded ring of typed events.
//
// Events carry identifiers only, never keys, prompts or answers.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/stamp"
)

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	Arrived    Kind = "arrived"
	Refused    Kind = "refused"
	Reserved   Kind = "reserved"
	Settled    Kind = "settled"
	Opened     Kind = "opened"
	Granted    Kind = "granted"
	Started    Kind = "started"
	Fed        Kind = "fed"
	Resumed    Kind = "resumed"
	Lost       Kind = "lost"
	Finished   Kind = "finished"
	Failed     Kind = "failed"
	Cancelled  Kind = "cancelled"
	Expired    Kind = "expired"
	Adopted    Kind = "adopted"
	Rejected   Kind = "rejected"
	Authority  Kind = "authority"
	Draining   Kind = "draining"
	Violation  Kind = "violation"
	Incarnated Kind = "incarnated"
)

// Event is one entry of the time line.
type Event struct {
	At        stamp.Time `json:"at"`
	VM        string     `json:"vm"`
	Kind      Kind       `json:"kind"`
	Request   string     `json:"request,omitempty"`
	Attempt   uint32     `json:"attempt,omitempty"`
	Stage     string     `json:"stage,omitempty"`
	Workspace string     `json:"workspace,omitempty"`
	Peer      string     `json:"peer,omitempty"`
	Detail    string     `json:"detail,omitempty"`
}

// Ring keeps the newest values appended to it. The zero value keeps nothing.
type Ring[T any] struct {
	items []T
	next  int
	full  bool
}

// NewRing returns a ring of at most size values.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, size)}
}

// Append adds v and drops the oldest value when the ring is full.
func (r *Ring[T]) Append(v T) {
	if len(r.items) == 0 {
		return
	}
	r.items[r.next] = v
	r.next++
	if r.next == len(r.items) {
		r.next = 0
		r.full = true
	}
}

// Values returns the kept values, oldest first.
func (r *Ring[T]) Values() []T {
	if !r.full {
		return slices.Clone(r.items[:r.next])
	}
	return append(slices.Clone(r.items[r.next:]), r.items[:r.next]...)
}

// Log is the time line of one process. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	vm   string
	last stamp.Time
	ring *Ring[Event]
}

// NewLog returns a time line of at most size events of the process on vm.
func NewLog(vm string, size int) *Log {
	return &Log{vm: vm, ring: NewRing[Event](size)}
}

// Add appends e with the next time at now.
func (l *Log) Add(now time.Time, e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = l.last.Next(now)
	e.At = l.last
	e.VM = l.vm
	l.ring.Append(e)
}

// Observe moves the clock past a time received from a peer.
func (l *Log) Observe(t stamp.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = l.last.Observe(t)
}

// Events returns the kept events, oldest first.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.Values()
}

// Merge returns the events of several time lines in the order of their clocks.
// A request other than "" keeps only that request's events.
func Merge(request string, logs ...[]Event) []Event {
	var all []Event
	for _, l := range logs {
		for _, e := range l {
			if request == "" || e.Request == request {
				all = append(all, e)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.VM, b.VM)
	})
	return all
}
