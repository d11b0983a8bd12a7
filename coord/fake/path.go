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
	heartbeatPeriod = time.Second
	// silenceTimeout is the time without messages after which an entry drops a stream.
	silenceTimeout = 3 * time.Second
	// sweepPeriod is the period at which agents look for engine memory that no run owns.
	sweepPeriod = time.Second
	// simulationTick is the period of the Ticked events of entries and agents.
	simulationTick = 50 * time.Millisecond
)

// Caller is a client's request and its outcome.
type Caller struct {
	Entry string
	Call  router.Call
	// Name is the name of Call, then the one that the router gives on acceptance.
	Name string
	At   time.Time
	Head *wire.Head
	Body []byte
	// Finishes counts how often the answer was finished; more than once is a fault.
	Finishes int
	Err      *fault.Error
	// Disconnected is true if the caller left before its answer was finished.
	Disconnected bool
	// Lost is true if the entry restarted before the answer was finished.
	Lost bool
}

// entryStream is a stream with its ID at the agent and the time of its last message to the
// entry.
type entryStream struct {
	*stream
	id           worker.StreamID
	lastReceived time.Time
}

// entryNode is a simulated entry process: a router reducer, its streams and its callers.
type entryNode struct {
	name          string
	restarts      uint64
	router        *router.Router
	streams       map[router.RunRef]*entryStream
	callers       map[router.RequestID]*Caller
	lastRequestID router.RequestID
}

// Simulation simulates the path of requests from callers through entries and agents to
// upstreams. It runs the real reducers of entries and agents, with simulated upstreams,
// callers and holders of limits.
type Simulation struct {
	*Net
	Tree *tree.Tree
	List *fleet.List
	// Upstreams holds the upstream of each agent, by the VM's name.
	Upstreams map[string]*Upstream
	Callers   []*Caller
	// Log is the trace of all nodes, in order.
	Log []trace.Event
	// Reserved and Settled are the granted and the settled tokens by reservation name.
	Reserved map[string]int64
	Settled  map[string]int64

	entries map[string]*entryNode
	agents  map[string]*agentNode
	exports exports
	lastLog trace.Event
}

// NewSimulation returns a simulation with a settings tree and no nodes.
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

// StartEntry starts an entry, or restarts it without its earlier state. Its unfinished
// callers are lost.
func (p *Simulation) StartEntry(name string) {
	// A stopped entry's unsettled reservations expire and count as used, so no
	// settlement is expected for them.
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
	// All entries are in data centre "a".
	e := &entryNode{
		name:     name,
		restarts: p.Restarts(name),
		router:   router.New(p.Rand.Uint64(), router.WithVM(name, "a")),
		streams:  map[router.RunRef]*entryStream{},
		callers:  map[router.RequestID]*Caller{},
	}
	p.entries[name] = e
	p.stepEntry(e, router.Configured{Tree: p.Tree, List: p.List})
	p.every(simulationTick, name, func() { p.stepEntry(e, router.Ticked{}) })
	p.every(simulationTick, name, func() { p.dropSilentStreams(e) })
	p.every(heartbeatPeriod, name, func() { p.sendHeartbeats(e) })
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

// every calls f every d until the node restarts. It skips f while the node is frozen.
func (p *Simulation) every(d time.Duration, name string, f func()) {
	restarts := p.Restarts(name)
	var next func()
	next = func() {
		if p.Restarts(name) != restarts {
			return
		}
		if !p.Frozen(name) {
			f()
		}
		p.After(d, next)
	}
	p.After(d, next)
}

// breakStream closes a stream as a process exit does. Each end is notified after a delay,
// unless the process at that end restarts before. If the stream is stalled, neither end is
// notified. If it is already closed, breakStream does nothing.
func (p *Simulation) breakStream(s *entryStream) {
	if s.closed {
		return
	}
	s.closed = true
	if s.stalled {
		return
	}
	if e := p.entries[s.entry]; e != nil {
		for _, f := range sortedRefs(e.streams) {
			if e.streams[f] == s {
				restarts := e.restarts
				p.After(p.delay(), func() {
					p.Do(e.name, restarts, func() { p.dropStream(e, f, s) })
				})
			}
		}
	}
	if a := p.agents[s.agent]; a != nil {
		restarts := a.restarts
		p.After(p.delay(), func() {
			p.Do(a.vm.Name, restarts, func() { p.stepAgent(a, worker.Closed{Stream: s.id}) })
		})
	}
}

func (p *Simulation) dropStream(e *entryNode, f router.RunRef, s *entryStream) {
	if e.streams[f] == s {
		delete(e.streams, f)
		p.stepEntry(e, router.RunLost{Ref: f, Sent: true})
	}
}

// dropSilentStreams drops the streams from which the entry received nothing for
// silenceTimeout, whether they are stalled or their agent sent nothing.
func (p *Simulation) dropSilentStreams(e *entryNode) {
	for _, f := range sortedRefs(e.streams) {
		if s := e.streams[f]; p.Now().Sub(s.lastReceived) >= silenceTimeout {
			s.stalled = true
			p.dropStream(e, f, s)
		}
	}
}

func (p *Simulation) sendHeartbeats(e *entryNode) {
	for _, f := range sortedRefs(e.streams) {
		s := e.streams[f]
		a := p.agents[s.agent]
		s.send(toAgent, a.restarts, func() { p.stepAgent(a, worker.Heartbeat{Stream: s.id}) })
	}
}

// Ask sends a request to an entry.
func (p *Simulation) Ask(entry string, call router.Call) *Caller {
	c := &Caller{Entry: entry, Call: call, Name: call.Name, At: p.Now()}
	p.Callers = append(p.Callers, c)
	e := p.entries[entry]
	p.Do(entry, e.restarts, func() {
		e.lastRequestID++
		e.callers[e.lastRequestID] = c
		p.stepEntry(e, router.Arrived{ID: e.lastRequestID, Call: call})
	})
	return c
}

// Disconnect disconnects a caller, unless its answer is finished.
func (p *Simulation) Disconnect(c *Caller) {
	e := p.entries[c.Entry]
	for id, x := range e.callers {
		if x == c && c.Finishes == 0 {
			c.Disconnected = true
			p.Do(c.Entry, e.restarts, func() { p.stepEntry(e, router.CallerDisconnected{ID: id}) })
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

// Held returns the names of the runs that hold memory of an engine.
func (p *Simulation) Held() []string {
	var r []string
	for _, u := range p.Upstreams {
		r = append(r, slices.Sorted(maps.Keys(u.Held))...)
	}
	return r
}

// Executions returns how often the upstreams executed a plain request.
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
		p.applyEntryEffect(e, x)
	}
}

// stepEntryLater applies an event to an entry after 1 ms, unless it restarts before.
func (p *Simulation) stepEntryLater(e *entryNode, v router.Event) {
	p.After(time.Millisecond, func() { p.Do(e.name, e.restarts, func() { p.stepEntry(e, v) }) })
}

func (p *Simulation) applyEntryEffect(e *entryNode, x router.Effect) {
	switch x := x.(type) {
	case router.Reserve:
		p.Reserved[x.Name] = x.Tokens
		p.stepEntryLater(e, router.ReserveAnswered{ID: x.ID, VM: x.VM, Reply: &wire.ReserveReply{Granted: x.Tokens, Holder: true}})
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
		p.sendToAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.FeedReceived{Stream: s.id, Feed: x.Feed} })
	case router.AckRun:
		p.sendToAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.Acked{Stream: s.id, Offset: x.Offset} })
	case router.StopRun:
		p.sendToAgent(e, x.Ref, func(s *entryStream) worker.Event { return worker.StopReceived{Stream: s.id} })
		delete(e.streams, x.Ref)
	case router.Cancel:
		p.sendCancel(e, x)
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
		panic(fmt.Sprintf("caller of %s has %d bytes but received a write at offset %d", c.Name, len(c.Body), x.Offset))
	}
	c.Body = append(c.Body, x.Data...)
	p.stepEntryLater(e, router.Written{ID: x.ID, Offset: int64(len(c.Body))})
}

func (p *Simulation) open(e *entryNode, f router.RunRef, vm string, first func(*agentNode, *entryStream) worker.Event) {
	a := p.agents[vm]
	if old := e.streams[f]; old != nil {
		delete(e.streams, f)
		p.breakStream(old)
	}
	if p.Partitioned(e.name, vm) {
		p.After(CallTimeout, func() {
			p.Do(e.name, e.restarts, func() { p.stepEntry(e, router.RunLost{Ref: f}) })
		})
		return
	}
	a.lastStreamID++
	s := &entryStream{
		stream:       &stream{net: p.Net, entry: e.name, agent: vm},
		id:           a.lastStreamID,
		lastReceived: p.Now(),
	}
	e.streams[f] = s
	s.send(toAgent, a.restarts, func() {
		a.streams[s.id] = s
		p.stepAgent(a, first(a, s))
	})
}

func (p *Simulation) sendToAgent(e *entryNode, f router.RunRef, v func(*entryStream) worker.Event) {
	s := e.streams[f]
	if s == nil {
		return
	}
	a := p.agents[s.agent]
	s.send(toAgent, a.restarts, func() { p.stepAgent(a, v(s)) })
}

func (p *Simulation) sendCancel(e *entryNode, x router.Cancel) {
	a := p.agents[x.VM]
	restarts := e.restarts
	answered := false
	done := func(ran wire.Ran, err error) {
		p.Do(e.name, restarts, func() {
			if !answered {
				answered = true
				p.stepEntry(e, router.CancelAnswered{ID: x.ID, VM: x.VM, Ran: ran, Err: err})
			}
		})
	}
	p.Send(e.name, x.VM, func() {
		a.lastCancelID++
		a.cancelReplies[a.lastCancelID] = func(ran wire.Ran) {
			p.Send(x.VM, e.name, func() { done(ran, nil) })
		}
		p.stepAgent(a, worker.CancelRequested{CancelID: a.lastCancelID, Request: x.Name, Attempt: x.Attempt, FirstSent: x.Opened})
	})
	p.After(CallTimeout, func() { done(wire.Ran_RAN_UNKNOWN, errTimeout) })
}
