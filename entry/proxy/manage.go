package proxy

import (
	"time"

	"cranberrypoint.example/coord/admit"
	"cranberrypoint.example/coord/assign"
	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// errNotManaged means that this entry doesn't manage the engine that a call is about.
var errNotManaged = eris.New("this entry does not manage the engine")

// managedEngine is an engine that this entry manages, since it has no agent.
type managedEngine struct {
	manager *admit.Manager
	stop    func()
}

// engineView returns what the choice of managers depends on. p.mu must be held.
func (p *Proxy) engineView(entries, agents []*wire.Member) assign.View {
	v := assign.View{
		Self:     assign.Entry{Name: p.settings.VM, Capacity: p.settings.Capacity},
		HasAgent: map[string]bool{},
	}
	for _, m := range entries {
		v.Others = append(v.Others, assign.Entry{Name: m.Name, Capacity: m.Capacity})
	}
	for _, m := range agents {
		v.HasAgent[m.Upstream] = true
	}
	if p.snapshot.Load() == nil {
		return v
	}
	// Engines in evacuated data centres keep their managers, which count the runs that go on there.
	for _, u := range p.roster.Usable() {
		if u.Stage == wire.Stage_STAGE_PREFILL || u.Stage == wire.Stage_STAGE_DECODE {
			v.Engines = append(v.Engines, u)
		}
	}
	return v
}

// updateManagers begins and ends the management of engines without agents. It returns the
// managers of all such engines, this entry included, for subscriptions. p.mu must be held.
func (p *Proxy) updateManagers(entries, agents []*wire.Member) (l []engineManager) {
	v := p.engineView(entries, agents)
	v.MayManage = p.hasQuorum && !p.draining.Load()
	self := &wire.Member{Name: p.settings.VM, Address: p.settings.PeerAddress, Incarnation: p.startedAt.UnixMilli()}
	byName := map[string]*wire.Member{self.Name: self}
	for _, m := range entries {
		byName[m.Name] = m
	}
	p.agentlessEngines = p.agentlessEngines[:0]
	active := map[string]bool{}
	for _, a := range p.assigner.Update(time.Now(), v) {
		p.agentlessEngines = append(p.agentlessEngines, a.Engine)
		if a.Active {
			active[a.Engine.Instance] = true
			p.manage(a)
		}
		m := byName[a.Manager]
		l = append(l, engineManager{
			name:        a.Engine.Instance,
			process:     m.Name,
			address:     m.Address,
			incarnation: m.Incarnation,
			upstream:    a.Engine.Address,
			instance:    a.Engine.Instance,
			service:     a.Engine.Service,
		})
	}
	for n, e := range p.managed {
		if !active[n] {
			delete(p.managed, n)
			p.log.WithFields(logrus.Fields{"event": "engine-released", "instance": n}).Info("no longer managing an engine")
			p.tasks.Go(e.stop)
		}
	}
	return l
}

// manage begins to manage an engine unless this entry already does. p.mu must be held.
func (p *Proxy) manage(a assign.Assignment) {
	u := a.Engine
	if p.managed[u.Instance] != nil {
		return
	}
	p.log.WithFields(logrus.Fields{"event": "engine-managed", "instance": u.Instance, "address": u.Address}).Info("managing an engine without an agent")
	m, stop := admit.Start(admit.Settings{
		VM:        p.settings.VM,
		Name:      u.Instance,
		Upstream:  u.Address,
		Instance:  u.Instance,
		StartedAt: p.startedAt,
		Codec:     p.settings.EngineCodec,
		Conns:     p.conns,
		Metrics:   p.metrics.admit,
		Log:       p.log,
		Peers:     func() []stages.Peer { return p.agentlessPeers(u) },
		Observe:   func(i calls.ResponseInfo, sentAt time.Time) { p.observeUpstream(u, i, sentAt) },
		MayCall:   func() bool { return !p.isPaused(u.Instance) },
		MayOrder:  func() bool { return !p.evac.Contains(u.DataCentre) },
		Fence:     p.mesh.NextFence,
	}, admit.WithRemoteEngine(), admit.WithOrdersFrom(a.OrdersFrom))
	p.managed[u.Instance] = &managedEngine{m, stop}
}

// agentlessPeers returns the other engines of a service that have no agent. Engines with agents
// aren't among them: these decide on their stages without the engines that have none.
func (p *Proxy) agentlessPeers(self roster.Upstream) (l []stages.Peer) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.agentlessEngines {
		if u.Service != self.Service || u.Instance == self.Instance || p.evac.Contains(u.DataCentre) {
			continue
		}
		x := stages.Peer{Name: u.Instance, Stage: u.Stage}
		if sub := p.subscriptions[u.Address]; sub.hasFreshState(now) {
			x.Stage = sub.state.Stage
		}
		l = append(l, x)
	}
	return l
}

// stopManagers ends the management of all engines.
func (p *Proxy) stopManagers() {
	p.mu.Lock()
	l := p.managed
	p.managed = map[string]*managedEngine{}
	p.mu.Unlock()
	for _, e := range l {
		e.stop()
	}
}

// managerOf returns the manager of an engine that this entry manages.
func (p *Proxy) managerOf(instance string) (*admit.Manager, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.managed[instance]
	if e == nil {
		return nil, errNotManaged
	}
	return e.manager, nil
}

// Hold reserves a place at an engine that this entry manages; see admit.Manager.
func (p *Proxy) Hold(s wire.DRPCMesh_HoldStream) error {
	q, err := s.Recv()
	if err != nil {
		return err
	}
	m, err := p.managerOf(q.Instance)
	if err != nil {
		return err
	}
	return m.Hold(q, s)
}

// Follow sends the state of an engine that this entry manages; see admit.Manager.
func (p *Proxy) Follow(q *wire.FollowRequest, s wire.DRPCMesh_FollowStream) error {
	m, err := p.managerOf(q.Instance)
	if err != nil {
		return err
	}
	return m.Follow(s)
}

// agentManagers returns the agents as managers of their engines.
func agentManagers(agents []*wire.Member) (l []engineManager) {
	for _, m := range agents {
		l = append(l, engineManager{
			name:        m.Name,
			process:     m.Name,
			address:     m.Address,
			incarnation: m.Incarnation,
			upstream:    m.Upstream,
			service:     m.Service,
		})
	}
	return l
}

// updateEngines updates which engines this entry manages and to which managers it subscribes.
func (p *Proxy) updateEngines(entries []*wire.Member) {
	agents := p.mesh.Live(mesh.RoleAgent)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateSubscriptions(append(agentManagers(agents), p.updateManagers(entries, agents)...))
}
