// Package fake simulates a network, processes and upstreams for randomised tests.
//
// The processes are reducers: state machines whose Step method takes an event and returns
// effects. A simulation runs in one goroutine in the order of a virtual clock, so that it
// depends on its seed alone. An entry accepts the requests of callers and sends each as a
// run to an agent, which calls the upstream on its VM.
package fake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// Faults holds the probabilities (0 to 1) of faults per message, and the range of delays.
type Faults struct {
	Loss      float64
	Duplicate float64
	MinDelay  time.Duration
	MaxDelay  time.Duration
	// Late is the probability that a message is delayed by up to LateBy more.
	Late   float64
	LateBy time.Duration
}

// node is the state of a process on the network.
type node struct {
	restarts uint64
	frozen   bool
	deferred []func()
}

// Net is a virtual clock and a network with faults. Use New.
type Net struct {
	Rand   *rand.Rand
	Faults Faults
	// Partitioned reports whether messages from one node to another are dropped.
	// It must not be nil.
	Partitioned func(from, to string) bool
	// Sent counts calls of Send, whether or not the message is delivered.
	Sent int

	now    time.Time
	seq    uint64
	events events
	nodes  map[string]*node
}

// New returns a network whose behaviour depends on the seed alone.
func New(seed uint64, f Faults) *Net {
	return &Net{
		Rand:        rand.New(rand.NewPCG(seed, seed)),
		Faults:      f,
		Partitioned: func(string, string) bool { return false },
		now:         Epoch,
		nodes:       map[string]*node{},
	}
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// After calls f when d of virtual time has passed.
func (n *Net) After(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{n.now.Add(d), n.seq, f})
}

// Run runs the events of the next d of virtual time.
func (n *Net) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.f()
	}
	n.now = end
}

func (n *Net) node(name string) *node {
	x := n.nodes[name]
	if x == nil {
		x = &node{}
		n.nodes[name] = x
	}
	return x
}

// Do calls f on a node: at Thaw if the node is frozen, and never if its restart count is no
// longer restarts.
func (n *Net) Do(name string, restarts uint64, f func()) {
	x := n.node(name)
	if x.restarts != restarts {
		return
	}
	if x.frozen {
		x.deferred = append(x.deferred, f)
		return
	}
	f()
}

// Restarts returns how often Restart was called for a node. The first start of a process
// counts too.
func (n *Net) Restarts(name string) uint64 { return n.node(name).restarts }

// Restart increases a node's restart count, unfreezes it and drops its deferred calls.
func (n *Net) Restart(name string) {
	x := n.node(name)
	x.restarts++
	x.frozen = false
	x.deferred = nil
}

// Freeze pauses a node until Thaw or Restart.
func (n *Net) Freeze(name string) { n.node(name).frozen = true }

// Frozen reports whether a node is paused.
func (n *Net) Frozen(name string) bool { return n.node(name).frozen }

// Thaw resumes a node and runs its deferred calls in order.
func (n *Net) Thaw(name string) {
	x := n.node(name)
	x.frozen = false
	deferred := x.deferred
	x.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// Send delivers a message subject to the network's faults, unless the receiver restarts
// before it arrives.
func (n *Net) Send(from, to string, deliver func()) {
	n.Sent++
	copies := 1
	if n.Rand.Float64() < n.Faults.Duplicate {
		copies = 2
	}
	restarts := n.Restarts(to)
	for range copies {
		if n.Rand.Float64() < n.Faults.Loss {
			continue
		}
		n.After(n.delay(), func() {
			if !n.Partitioned(from, to) {
				n.Do(to, restarts, deliver)
			}
		})
	}
}

func (n *Net) delay() time.Duration {
	d := n.Faults.MinDelay
	if spread := n.Faults.MaxDelay - n.Faults.MinDelay; spread > 0 {
		d += time.Duration(n.Rand.Int64N(int64(spread)))
	}
	if n.Faults.Late > 0 && n.Rand.Float64() < n.Faults.Late {
		d += time.Duration(n.Rand.Int64N(int64(n.Faults.LateBy)))
	}
	return d
}
