// Package fake provides a clock and a faulty network for randomised runs of reducers.
//
// Everything runs in one goroutine in the order of a virtual clock, so a run depends on
// its seed alone.
package fake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the time at which every run begins.
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

// Faults are the odds of what happens to one message, and its delay.
type Faults struct {
	Loss      float64
	Duplicate float64
	MinDelay  time.Duration
	MaxDelay  time.Duration
	// Late is the odds of a message that takes up to LateBy longer.
	Late   float64
	LateBy time.Duration
}

type node struct {
	life   uint64
	frozen bool
	held   []func()
}

// Net is a clock and a network. Use New.
type Net struct {
	Rand   *rand.Rand
	Faults Faults
	// Partitioned reports whether messages from one node to another are dropped.
	Partitioned func(from, to string) bool
	// Sent counts messages.
	Sent int

	now    time.Time
	seq    uint64
	events events
	nodes  map[string]*node
}

// New returns a network whose behaviour depends on the seed alone.
func New(seed uint64, f Faults) *Net {
	return &Net{
		Rand:   rand.New(rand.NewPCG(seed, seed)),
		Faults: f,
		Partitioned:    func(string, string) bool { return false },
		now:    Epoch,
		nodes:  map[string]*node{},
	}
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// After calls f when d has passed.
func (n *Net) After(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{n.now.Add(d), n.seq, f})
}

// Run runs until d has passed.
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

// Do calls f as the node would at this time: not if it restarted since life, and later
// if it is frozen.
func (n *Net) Do(name string, life uint64, f func()) {
	x := n.node(name)
	if x.life != life {
		return
	}
	if x.frozen {
		x.held = append(x.held, f)
		return
	}
	f()
}

// Restarts returns the number of restarts of a node.
func (n *Net) Restarts(name string) uint64 { return n.node(name).life }

// Restart ends a node's life: what was held for it is dropped.
func (n *Net) Restart(name string) {
	x := n.node(name)
	x.life++
	x.frozen = false
	x.held = nil
}

// Freeze stops a node until Thaw.
func (n *Net) Freeze(name string) { n.node(name).frozen = true }

// Frozen reports whether a node is stopped.
func (n *Net) Frozen(name string) bool { return n.node(name).frozen }

// Thaw lets a node go on with all that was held for it.
func (n *Net) Thaw(name string) {
	x := n.node(name)
	x.frozen = false
	held := x.held
	x.held = nil
	for _, f := range held {
		f()
	}
}

// Send delivers a message to a node's current life, with the network's faults.
func (n *Net) Send(from, to string, deliver func()) {
	n.Sent++
	copies := 1
	if n.Rand.Float64() < n.Faults.Duplicate {
		copies = 2
	}
	life := n.Restarts(to)
	for range copies {
		if n.Rand.Float64() < n.Faults.Loss {
			continue
		}
		n.After(n.delay(), func() {
			if !n.Partitioned(from, to) {
				n.Do(to, life, deliver)
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
