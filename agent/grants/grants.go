// Package grants runs the agent beside a model engine that receives its requests from the
// entries themselves. The agent manages the engine as described in package admit, and
// announces it to the entries as a member of the mesh.
package grants

import (
	"context"
	"net"
	"time"

	"cranberrypoint.example/coord/admit"
	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/rumor"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

// maxTraceEvents is the capacity of the trace log that the ops server shows.
const maxTraceEvents = 500

// Settings configures an agent.
type Settings struct {
	VM         string
	DataCentre string
	// Listen is the address of the drpc server.
	Listen string
	// OpsListen is the address of the HTTP server of metrics and status; empty for none.
	OpsListen string
	// Upstream is the address of the engine.
	Upstream string
	Service  string
	// Seeds are the addresses of members to contact first.
	Seeds []string
	Codec calls.EngineCodec
	Log   logrus.FieldLogger
}

// EngineAgent is a running agent.
type EngineAgent struct {
	wire.DRPCMeshUnimplementedServer

	settings Settings
	mesh     *mesh.Mesh
	engine   *admit.Manager
	// origins holds where streams began, for entries, which may be killed together.
	origins *origin.Table
	// versions are those of all upstreams, as entries say.
	versions *origin.History
	tasks    tasks.Group
	// startedAt is the agent's incarnation: in milliseconds in its membership record, in
	// nanoseconds in its status.
	startedAt time.Time
	// evac holds the evacuated data centres, as other members say.
	evac *evac.Table
}

// Start runs an agent and returns a function that stops it.
func Start(s Settings) (e *EngineAgent, stop func(), err error) {
	defer fault.Annotate(&err, "start agent %s", s.VM)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, nil, err
	}
	ops, err := listenOps(s.OpsListen)
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	links, closeLinks := link.NewPool(nil, link.WithPing(mesh.Ping))
	conns, closeConns := upconn.NewPool(nil)
	registry := opsrv.NewRegistry()
	rumors := rumor.New()
	e = &EngineAgent{settings: s, startedAt: now, origins: origin.NewTable(), versions: rumors.Versions, evac: rumors.Evac}
	self := &wire.Member{
		Name:        s.VM,
		Role:        mesh.RoleAgent,
		DataCentre:  s.DataCentre,
		Address:     l.Addr().String(),
		Upstream:    s.Upstream,
		Service:     s.Service,
		Incarnation: now.UnixMilli(),
	}
	// What entries have learned of upstreams outlives entries that are killed together.
	e.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(e.updateMember), mesh.WithRumors(rumors))
	var stopEngine func()
	e.engine, stopEngine = admit.Start(admit.Settings{
		VM:        s.VM,
		Name:      s.VM,
		Upstream:  s.Upstream,
		StartedAt: now,
		Codec:     s.Codec,
		Conns:     conns,
		Metrics:   admit.NewMetrics(registry),
		Log:       s.Log,
		Peers:     e.peers,
		MayOrder:  func() bool { return !e.evac.Contains(s.DataCentre) },
		Fence:     e.mesh.NextFence,
	})
	stopMesh := e.mesh.Start()
	stopOps := func() {}
	if ops != nil {
		stopOps = opsrv.Serve(ops, registry, trace.NewLog(s.VM, maxTraceEvents), e.Status)
	}
	e.tasks.Go(func() { _ = link.ServeMesh(ctx, l, nil, e) })
	return e, func() {
		cancel()
		stopOps()
		stopMesh()
		stopEngine()
		closeLinks()
		closeConns()
		e.tasks.Close()
	}, nil
}

// listenOps listens on the address of the metrics and status server. It returns nil if the
// address is empty.
func listenOps(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// Status returns the agent's status for operators. The agent is ready while its engine is
// healthy.
func (e *EngineAgent) Status() opsrv.Status {
	healthy, running := e.engine.Status()
	return opsrv.Status{
		VM:          e.settings.VM,
		Program:     mesh.RoleAgent,
		DataCentre:  e.settings.DataCentre,
		Incarnation: uint64(e.startedAt.UnixNano()),
		Ready:       healthy,
		Active:      running,
	}
}

// peers returns the engines of the other live agents of the service, without those in evacuated
// data centres.
func (e *EngineAgent) peers() (l []stages.Peer) {
	for _, m := range e.mesh.Live(mesh.RoleAgent) {
		if m.Service == e.settings.Service && !e.evac.Contains(m.DataCentre) {
			l = append(l, stages.Peer{Name: m.Name, Stage: m.Stage})
		}
	}
	return l
}

// updateMember sets the stage in the agent's membership record.
func (e *EngineAgent) updateMember(self *wire.Member) { self.Stage = e.engine.AnnouncedStage() }

// SetSeeds replaces the addresses of members to contact first.
func (e *EngineAgent) SetSeeds(s []string) { e.mesh.SetSeeds(s) }

// Gossip exchanges membership records with another member.
func (e *EngineAgent) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return e.mesh.Gossip(ctx, q)
}

// NoteOrigin remembers where a stream began.
func (e *EngineAgent) NoteOrigin(_ context.Context, m *wire.StreamOrigin) (*wire.OriginNoted, error) {
	e.origins.HandleNote(time.Now(), m)
	return &wire.OriginNoted{}, nil
}

// FindOrigin tells where a stream began.
func (e *EngineAgent) FindOrigin(_ context.Context, q *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	return e.origins.HandleFind(time.Now(), q, e.versions), nil
}

// Hold reserves a place at the engine; see admit.Manager.
func (e *EngineAgent) Hold(s wire.DRPCMesh_HoldStream) error {
	q, err := s.Recv()
	if err != nil {
		return err
	}
	return e.engine.Hold(q, s)
}

// Follow sends the state of the engine; see admit.Manager.
func (e *EngineAgent) Follow(_ *wire.FollowRequest, s wire.DRPCMesh_FollowStream) error {
	return e.engine.Follow(s)
}
