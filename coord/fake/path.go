package fake

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

const (
	beatPeriod  = time.Second
	silence     = 3 * time.Second
	sweepPeriod = time.Second
	pathTick    = 50 * time.Millisecond
)

// Caller is one request and what came of it.
type Caller struct {
	Entry string
	Call  router.Call
	Name  string
	At    time.Time
	Head  *wire.Head
	Body  []byte
	// Finishes counts the ends of the answer.
	Finishes int
	Err      *fault.Error
	// Disconnected callers hung up.
	Disconnected bool
	// Lost is true when the entry died with the request.
	Lost bool
}

type entryStream struct {
	*stream
	id    worker.StreamID
	heard time.Time
}

type entryNode struct {
	name    string
	life    uint64
	router  *router.Router
	streams map[router.RunRef]*entryStream
	callers map[router.RequestID]*Caller
	serial  router.RequestID
}

// Simulation is the whole path of requests inside a Net: entries and agents as reducers,
// with upstreams, callers and holders of limits as fakes.
type Simulation struct {
	*Net
	Tree      *tree.Tree
	List      *fleet.List
	Upstreams map[string]*Upstream
	Callers   []*Caller
	// Log is the merged time line.
	Log []trace.Event
	// Reserved and Settled hold what was granted and settled by reservation.
	Reserved map[string]int64
	Settled  map[string]int64

	entries map[string]*entryNode
	agents  map[string]*agentNode
	exports exports
	lastLog trace.Event
}

// NewSimulation returns a path with a settings tree and no nodes.
func NewSimulation(seed uint64, f Faults, t *tree.Tree) *Simulation {
	return &Simulation{
		Net:       New(seed, f),
		Tree:      t,
		Upstreams: map[string]*Upstream{},
		Reserved:  map[string]int64{},
		Settled:   map[string]int64{},
		entries:   map[string]*entryNode{},
		agents:    map[string]*agentNode{},
		exports:   exports{},
	}
}

// StartEntry starts an entry, or starts it again. Its callers of before are lost.
func (p *Simulation) StartEntry(name string) {
	// What a dead entry has reserved counts as used when its time is over.
	for n := range p.Reserved {
		if _, ok := p.Settled[n]; !ok && strings.HasPrefix(n, name+"/") {
			delete(p.Reserved, n)
		}
	}
	if old := p.entries[name]; old != nil {
		for _, c := range p.Callers {
			if c.Entry == name && c.Finishes == 0 {
				c.Lost = true
			}
		}
		for _, f := range sortedRefs(old.streams) {
			p.breakStream(old.streams[f])
		}
	}
	p.Restart(name)
	e := &entryNode{
		name:    name,
		life:    p.Restarts(name),
		router:  router.New(p.Rand.Uint64(), router.WithVM(name, "a")),
		streams: map[router.RunRef]*entryStream{},
		callers: map[router.RequestID]*Caller{},
	}
	p.entries[name] = e
	p.stepEntry(e, router.Configured{Tree: p.Tree, List: p.List})
	p.every(pathTick, name, func() { p.stepEntry(e, router.Ticked{}) })
	p.every(pathTick, name, func() { p.watch(e) })
	p.every(beatPeriod, name, func() { p.beat(e) })
}

func sortedRefs(m map[router.RunRef]*entryStream) []router.RunRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b router.RunRef) int {
		if a.ID != b.ID {
			return int(a.ID) - int(b.ID)
		}
		if a.Stage != b.Stage {
			return int(a.Stage) - int(b.Stage)
		}
		return int(a.Attempt) - int(b.Attempt)
	})
}

// every calls f periodically in a node's present life, also late when it is frozen.
func (p *Simulation) every(d time.Duration, name string, f func()) {
	life := p.Restarts(name)
	var next func()
	next = func() {
		if p.Restarts(name) != life {
			return
		}
		if !p.Frozen(name) {
			f()
		}
		p.After(d, next)
	}
	p.After(d, next)
}

// breakStream ends a stream as the death of a process does: the other end is told.
func (p *Simulation) breakStream(s *entryStream) {
	if s.closed {
		return
	}
	s.closed = true
	if s.silent {
		return
	}
	if e := p.entries[s.entry]; e != nil {
		for _, f := range sortedRefs(e.streams) {
			if e.streams[f] == s {
				life := e.life
				p.After(p.delay(), func() {
					p.Do(e.name, life, func() { p.lose(e, f, s) })
				})
			}
		}
	}
	if a := p.agents[s.agent]; a != nil {
		life := a.life
		p.After(p.delay(), func() {
			p.Do(a.vm.Name, life, func() { p.stepAgent(a, worker.Closed{Stream: s.id}) })
		})
	}
}

func (p *Simulation) lose(e *entryNode, f router.RunRef, s *entryStream) {
	if e.streams[f] == s {
		delete(e.streams, f)
		p.stepEntry(e, router.RunLost{Ref: f, Sent: true})
	}
}

// watch gives up streams that brought nothing for too long.
func (p *Simulation) watch(e *entryNode) {
	for _, f := range sortedRefs(e.streams) {
		if s := e.streams[f]; p.Now().Sub(s.heard) >= silence {
			s.silent = true
			p.lose(e, f, s)
		}
	}
}

func (p *Simulation) beat(e *entryNode) {
	for _, f := range sortedRefs(e.streams) {
		s := e.streams[f]
		a := p.agents[s.agent]
		s.send(toAgent, a.life, func() { p.stepAgent(a, worker.Heartbeat{Stream: s.id}) })
	}
}

// Ask makes a request at an entry.
func (p *Simulation) Ask(entry string, call router.Call) *Caller {
	c := &Caller{Entry: entry, Call: call, Name: call.Name, At: p.Now()}
	p.Callers = append(p.Callers, c)
	e := p.entries[entry]
	p.Do(entry, e.life, func() {
		e.serial++
		e.callers[e.serial] = c
		p.stepEntry(e, router.Arrived{ID: e.serial, Call: call})
	})
	return c
}

// Disconnect ends a caller's interest in its answer.
func (p *Simulation) Disconnect(c *Caller) {
	e := p.entries[c.Entry]
	for id, x := range e.callers {
		if x == c && c.Finishes == 0 {
			c.Disconnected = true
			p.Do(c.Entry, e.life, func() { p.stepEntry(e, router.CallerDisconnected{ID: id}) })
			return
		}
	}
}

// Active returns the number of requests and runs in progress.
func (p *Simulation) Active() int {
	n := 0
	for _, e := range p.entries {
		n += e.router.Active()
	}
	for _, a := range p.agents {
		n += a.worker.Active()
	}
	return n
}

// Held returns the runs that hold engine memory.
func (p *Simulation) Held() []string {
	var r []string
	for _, u := range p.Upstreams {
		r = append(r, slices.Sorted(maps.Keys(u.Held))...)
	}
	return r
}

// Executions returns how often a request had its effect, over all upstreams.
func (p *Simulation) Executions(name string) int {
	n := 0
	for _, u := range p.Upstreams {
		n += u.Executions[name]
	}
	return n
}

func (p *Simulation) log(node string, e trace.Event) {
	e.VM = node
	e.At = p.lastLog.At.Next(p.Now())
	p.lastLog = e
	p.Log = append(p.Log, e)
}

func (p *Simulation) stepEntry(e *entryNode, v router.Event) {
	for _, x := range e.router.Step(p.Now(), v) {
		p.entryEffect(e, x)
	}
}

// later applies an event to an entry's present life soon.
func (p *Simulation) later(e *entryNode, v router.Event) {
	p.After(time.Millisecond, func() { p.Do(e.name, e.life, func() { p.stepEntry(e, v) }) })
}

func (p *Simulation) entryEffect(e *entryNode, x router.Effect) {
	switch x := x.(type) {
	case router.Reserve:
		p.Reserved[x.Name] = x.Tokens
		p.later(e, router.ReserveAnswered{ID: x.ID, VM: x.VM, Reply: &wire.ReserveReply{Granted: x.Tokens, Holder: true}})
	case router.Settle:
		p.Settled[x.Name] = x.Used
	case router.OpenRun:
		p.open(e, x.Ref, x.VM, func(a *agentNode, s *entryStream) worker.Event {
			return worker.Opened{Stream: s.id, Open: x.Open}
		})
	case router.ResumeRun:
		p.open(e, x.Ref, x.VM, func(a *agentNode, s *entryStream) worker.Event {
			return worker.Resumed{Stream: s.id, Resume: x.Resume}
		})
	case router.FeedRun:
		p.toAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.FeedReceived{Stream: s.id, Feed: x.Feed} })
	case router.AckRun:
		p.toAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.Acked{Stream: s.id, Offset: x.Offset} })
	case router.StopRun:
		p.toAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.StopReceived{Stream: s.id} })
		delete(e.streams, x.Ref)
	case router.Cancel:
		p.askCancel(e, x)
	case router.Accepted:
		e.callers[x.ID].Name = x.Name
	case router.Head:
		e.callers[x.ID].Head = x.Head
	case router.Write:
		p.write(e, x)
	case router.Finish:
		c := e.callers[x.ID]
		c.Finishes++
		c.Err = x.Err
	case router.Trace:
		p.log(e.name, x.Event)
	}
}

func (p *Simulation) write(e *entryNode, x router.Write) {
	c := e.callers[x.ID]
	if int64(len(c.Body)) != x.Offset {
		panic(fmt.Sprintf("caller of %s has %d bytes and is given those from %d", c.Name, len(c.Body), x.Offset))
	}
	c.Body = append(c.Body, x.Data...)
	p.later(e, router.Written{ID: x.ID, Offset: int64(len(c.Body))})
}

func (p *Simulation) open(e *entryNode, f router.RunRef, vm string, first func(*agentNode, *entryStream) worker.Event) {
	a := p.agents[vm]
	if old := e.streams[f]; old != nil {
		delete(e.streams, f)
		p.breakStream(old)
	}
	if p.Partitioned(e.name, vm) {
		p.After(CallTimeout, func() {
			p.Do(e.name, e.life, func() { p.stepEntry(e, router.RunLost{Ref: f}) })
		})
		return
	}
	a.serial++
	s := &entryStream{
		stream: &stream{net: p.Net, entry: e.name, agent: vm},
		id:     a.serial,
		heard:  p.Now(),
	}
	e.streams[f] = s
	s.send(toAgent, a.life, func() {
		a.streams[s.id] = s
		p.stepAgent(a, first(a, s))
	})
}

func (p *Simulation) toAgent(e *entryNode, f router.RunRef, v func(*entryStream) worker.Event) {
	s := e.streams[f]
	if s == nil {
		return
	}
	a := p.agents[s.agent]
	s.send(toAgent, a.life, func() { p.stepAgent(a, v(s)) })
}

func (p *Simulation) askCancel(e *entryNode, x router.Cancel) {
	a := p.agents[x.VM]
	life := e.life
	answered := false
	done := func(ran wire.Ran, err error) {
		p.Do(e.name, life, func() {
			if !answered {
				answered = true
				p.stepEntry(e, router.CancelAnswered{ID: x.ID, VM: x.VM, Ran: ran, Err: err})
			}
		})
	}
	p.Send(e.name, x.VM, func() {
		a.asks++
		a.answers[a.asks] = func(ran wire.Ran) {
			p.Send(x.VM, e.name, func() { done(ran, nil) })
		}
		p.stepAgent(a, worker.CancelRequested{CancelID: a.asks, Request: x.Name, Attempt: x.Attempt, FirstSent: x.Opened})
	})
	p.After(CallTimeout, func() { done(wire.Ran_RAN_UNKNOWN, errTimeout) })
}
