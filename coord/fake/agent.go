package fake

import (
	"maps"
	"slices"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// agentNode is a simulated agent process: a worker reducer and its streams from entries.
type agentNode struct {
	vm           fleet.VM
	restarts     uint64
	worker       *worker.Worker
	streams      map[worker.StreamID]*entryStream
	lastStreamID worker.StreamID
	// cancelReplies holds the callbacks of pending Cancel calls by cancel ID.
	cancelReplies map[uint64]func(wire.Ran)
	lastCancelID  uint64
	slots         int
}

// AddAgents creates an agent and an upstream for each VM, sets List to the VMs and starts
// the agents. A prefill agent has one slot, whatever slots says. Call it once, with all VMs:
// a second call replaces List and restarts the earlier agents.
func (p *Simulation) AddAgents(vms []fleet.VM, slots int) {
	for _, v := range vms {
		p.Upstreams[v.Name] = newUpstream(p.Net)
		p.agents[v.Name] = &agentNode{vm: v, slots: slots}
		if v.Stage == fleet.Prefill {
			p.agents[v.Name].slots = 1
		}
	}
	p.List = fleet.NewList(1, vms)
	for _, n := range slices.Sorted(maps.Keys(p.agents)) {
		p.StartAgent(n)
	}
}

// StartAgent starts an agent, or restarts it without its earlier state. Its upstream keeps
// running.
func (p *Simulation) StartAgent(name string) {
	a := p.agents[name]
	for _, s := range a.streams {
		p.breakStream(s)
	}
	p.Restart(name)
	a.restarts = p.Restarts(name)
	a.worker = worker.New(p.Now(), a.restarts+1, worker.WithSlots(a.slots))
	a.streams = map[worker.StreamID]*entryStream{}
	a.cancelReplies = map[uint64]func(wire.Ran){}
	p.stepAgent(a, worker.Configured{Tree: p.Tree})
	p.every(simulationTick, name, func() { p.stepAgent(a, worker.Ticked{}) })
	p.every(sweepPeriod, name, func() {
		held := slices.Sorted(maps.Keys(p.Upstreams[name].Held))
		p.stepAgent(a, worker.AllocationsListed{Names: held})
	})
}

func (p *Simulation) stepAgent(a *agentNode, v worker.Event) {
	for _, x := range a.worker.Step(p.Now(), v) {
		p.applyAgentEffect(a, x)
	}
}

func (p *Simulation) applyAgentEffect(a *agentNode, x worker.Effect) {
	name, restarts := a.vm.Name, a.restarts
	u := p.Upstreams[name]
	switch x := x.(type) {
	case worker.Send:
		if s := a.streams[x.Stream]; s != nil {
			p.sendToEntry(s, x.Reply)
		}
	case worker.Close:
		if s := a.streams[x.Stream]; s != nil {
			delete(a.streams, x.Stream)
			p.closeStream(s)
		}
	case worker.StartCall:
		u.call(x, p.exports, func(v worker.Event) {
			p.Do(name, restarts, func() { p.stepAgent(a, v) })
		})
	case worker.AbortCall:
		u.cancel(x.Run.String())
	case worker.FreeAllocation:
		u.cancel(x.Name)
	case worker.AnswerCancel:
		a.cancelReplies[x.CancelID](x.Ran)
		delete(a.cancelReplies, x.CancelID)
	case worker.Trace:
		p.log(name, x.Event)
	}
}

// closeStream closes a stream gracefully: messages sent before the close are still delivered.
func (p *Simulation) closeStream(s *entryStream) {
	e := p.entries[s.entry]
	restarts := p.Restarts(s.entry)
	s.send(toEntry, restarts, func() {
		s.closed = true
		for _, f := range sortedRefs(e.streams) {
			if e.streams[f] == s {
				p.dropStream(e, f, s)
			}
		}
	})
}

func (p *Simulation) sendToEntry(s *entryStream, m *wire.RunReply) {
	e := p.entries[s.entry]
	s.send(toEntry, p.Restarts(s.entry), func() {
		for _, f := range sortedRefs(e.streams) {
			if e.streams[f] == s {
				s.lastReceived = p.Now()
				p.reply(e, f, s, m)
				return
			}
		}
	})
}

func (p *Simulation) reply(e *entryNode, f router.RunRef, s *entryStream, m *wire.RunReply) {
	switch k := m.Kind.(type) {
	case *wire.RunReply_Granted:
		p.stepEntry(e, router.RunGranted{Ref: f, Incarnation: k.Granted.Incarnation})
	case *wire.RunReply_Head:
		p.stepEntry(e, router.RunHead{Ref: f, Head: k.Head})
	case *wire.RunReply_Data:
		p.stepEntry(e, router.RunData{Ref: f, Data: k.Data})
	case *wire.RunReply_Done:
		p.stepEntry(e, router.RunDone{Ref: f, Done: k.Done})
		if e.streams[f] == s {
			delete(e.streams, f)
		}
	case *wire.RunReply_Fail:
		delete(e.streams, f)
		p.stepEntry(e, router.RunFailed{Ref: f, Err: &fault.Error{Code: fault.Code(k.Fail.Code), Text: k.Fail.Text, Ran: k.Fail.Ran}})
	}
}
