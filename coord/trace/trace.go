// Package trace records the timeline of a process: the newest events, in a ring buffer.
//
// An entry is a process that accepts callers' requests. It opens a run for each attempt
// at a request or at a stage of it. The run takes place at an agent, which calls the
// upstream on its VM, either a model engine or a plain service. Events of several
// processes are merged in the order of a hybrid logical clock (package stamp).
//
// Events carry identifiers and short details such as error codes, never keys, prompts or
// responses.
package trace

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/stamp"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// Arrived: an entry admitted a request.
	Arrived Kind = "arrived"
	// Refused: a request or run was refused and did not run.
	Refused Kind = "refused"
	// Reserved: the tokens of a request were reserved from its workspace's limit.
	Reserved Kind = "reserved"
	// Settled: the reservation of a request was settled.
	Settled Kind = "settled"
	// Opened: an entry opened a run, or an agent accepted one.
	Opened Kind = "opened"
	// Granted: a run received a slot at its upstream.
	Granted Kind = "granted"
	// Started: an agent started the call to its upstream.
	Started Kind = "started"
	// Fed: an entry sent a run the location of its KV cache.
	Fed Kind = "fed"
	// Resumed: a new stream was attached to a run.
	Resumed Kind = "resumed"
	// Lost: the stream between an entry and a run broke.
	Lost Kind = "lost"
	// Finished: a request or run succeeded.
	Finished Kind = "finished"
	// Failed: a request or run failed and ran or may have run.
	Failed Kind = "failed"
	// Cancelled: the caller has gone, or the entry cancelled a run.
	Cancelled Kind = "cancelled"
	// Expired: the lease of a run expired because its entry was silent.
	Expired Kind = "expired"
	// Dropped: an agent dropped the answer of an ended run, which it kept for duplicates, to make room.
	Dropped Kind = "dropped"
	// Adopted: a process put a new configuration in force.
	Adopted Kind = "adopted"
	// Rejected: a process rejected a new configuration.
	Rejected Kind = "rejected"
	// Authority: an agent became authorized to grant tokens from the shares of workspaces'
	// limits that are assigned to it.
	Authority Kind = "authority"
	// Draining: a process began to shut down.
	Draining Kind = "draining"
	// Violation: an invariant of the program did not hold.
	Violation Kind = "violation"
	// Incarnated: a process started. Its incarnation number tells this start apart from
	// earlier ones on the same VM.
	Incarnated Kind = "incarnated"
)

// Event is one event of a timeline.
type Event struct {
	// At and VM are set by Log.Add.
	At   stamp.Time `json:"at"`
	VM   string     `json:"vm"`
	Kind Kind       `json:"kind"`
	// Request is the id of the request.
	Request string `json:"request,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// Stage is the stage of the run as the enum value's name, such as STAGE_DECODE.
	Stage     string `json:"stage,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Peer is the VM of the run, in events of an entry.
	Peer string `json:"peer,omitempty"`
	// Detail depends on the kind: an error code, a number of tokens or a text.
	Detail string `json:"detail,omitempty"`
}

// Ring is a ring buffer that keeps the newest values appended to it. The zero value has
// size 0 and keeps nothing. It is not safe for concurrent use.
type Ring[T any] struct {
	items []T
	next  int
	full  bool
}

// NewRing returns a ring that keeps the newest size values.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, size)}
}

// Append adds v and, if the ring is full, drops the oldest value.
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

// Log is the timeline of one process. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	vm   string
	last stamp.Time
	ring *Ring[Event]
}

// NewLog returns a timeline that keeps the newest size events of the process on vm.
func NewLog(vm string, size int) *Log {
	return &Log{vm: vm, ring: NewRing[Event](size)}
}

// Add sets the VM of e to that of the log, and its time to the next time of the log's hybrid
// logical clock, and appends e. now is the wall clock time.
func (l *Log) Add(now time.Time, e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = l.last.Next(now)
	e.At = l.last
	e.VM = l.vm
	l.ring.Append(e)
}

// Observe advances the clock to a time received from a peer, so that later events have
// later times.
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

// Merge returns the events of several timelines by time, and events of the same time by
// VM. It returns only the events of request unless request is "".
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
