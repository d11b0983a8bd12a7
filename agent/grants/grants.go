// Package grants is the agent beside a model engine that entries speak to themselves: it
// watches its engine, hands out the engine's places, tells entries what is free, and
// decides with the other agents which stage the engine serves.
package grants

import (
	"context"
	"net"
	"sync"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// reportPeriod is the time between two questions to the engine.
	reportPeriod = 50 * time.Millisecond
	// reportTimeout bounds the answer to one.
	reportTimeout = 500 * time.Millisecond
	// soundFor is how long a report is trusted.
	soundFor = time.Second
	// tickPeriod is the time between two looks at waiting requests.
	tickPeriod = 20 * time.Millisecond
	// followPeriod is the longest time between two states that an entry is told.
	followPeriod = 400 * time.Millisecond
	// followGap is the shortest one.
	followGap = 10 * time.Millisecond
	// orderPeriod is the time between two looks for an order to be given.
	orderPeriod = 500 * time.Millisecond
	// maxReport bounds a report in bytes.
	maxReport = 1 << 20
	// traceSize is the number of events in the time line.
	traceSize = 500
)

// Settings are those of an agent.
type Settings struct {
	VM         string
	DataCentre string
	// Listen is the address of the drpc server.
	Listen string
	// OpsListen is the address of metrics and status; empty for none.
	OpsListen string
	// Upstream is the address of the engine.
	Upstream string
	Service  string
	// Seeds are addresses of members to begin from.
	Seeds []string
	Codec calls.EngineCodec
	Log   logrus.FieldLogger
}

// EngineAgent is a running agent.
type EngineAgent struct {
	wire.DRPCMeshUnimplementedServer

	settings Settings
	log      logrus.FieldLogger
	mesh     *mesh.Mesh
	engine   *upconn.Pool
	metrics  *metrics
	ctx      context.Context
	tasks    tasks.Group
	born     time.Time

	mu      sync.Mutex
	ledger  *place.Ledger
	stages  *stages.Stages
	waiting map[string]chan place.Outcome
	backlog int64
	reads   place.Reads
	report  calls.EngineReport
	// reported is when the engine last answered.
	reported time.Time
	orders   int64
	// ordered is the stage of the last order that the engine took.
	ordered wire.Stage
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
	// told is the state as computed after the last change; nil if that is still to do.
	told *wire.PlaceState
}

// Start runs an agent and returns a function that stops it.
func Start(s Settings) (g *EngineAgent, stop func(), err error) {
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
	engine, closeEngine := upconn.NewPool(nil)
	g = &EngineAgent{
		settings: s,
		log:      s.Log,
		engine:   engine,
		metrics:  newMetrics(),
		ctx:      ctx,
		born:     now,
		ledger:   place.New(),
		stages:   stages.New(now, s.VM),
		waiting:  map[string]chan place.Outcome{},
		changed:  make(chan struct{}),
	}
	self := &wire.Member{
		Name:        s.VM,
		Role:        mesh.RoleAgent,
		DataCentre:  s.DataCentre,
		Address:     l.Addr().String(),
		Upstream:    s.Upstream,
		Service:     s.Service,
		Incarnation: now.UnixMilli(),
	}
	g.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(g.refresh))
	stopMesh := g.mesh.Start()
	stopOps := func() {}
	if ops != nil {
		stopOps = opsrv.Serve(ops, g.metrics.registry, trace.NewLog(s.VM, traceSize), g.Status)
	}
	g.tasks.Go(func() { _ = link.ServeMesh(ctx, l, nil, g) })
	g.tasks.Go(func() { g.every(reportPeriod, g.ask) })
	g.tasks.Go(func() { g.every(tickPeriod, g.tick) })
	g.tasks.Go(func() { g.every(orderPeriod, g.direct) })
	return g, func() {
		cancel()
		stopOps()
		stopMesh()
		closeLinks()
		closeEngine()
		g.tasks.Close()
	}, nil
}

// listenOps listens on the operators' address, if there is one.
func listenOps(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// Status tells what the agent is doing.
func (g *EngineAgent) Status() opsrv.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return opsrv.Status{
		VM:          g.settings.VM,
		Program:     mesh.RoleAgent,
		DataCentre:  g.settings.DataCentre,
		Incarnation: uint64(g.born.UnixNano()),
		Ready:       g.sound(time.Now()),
		Active:      g.ledger.Running(),
	}
}

func (g *EngineAgent) every(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-g.ctx.Done():
			return
		}
	}
}

// refresh brings the agent's record up to date.
func (g *EngineAgent) refresh(self *wire.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	self.Stage = wire.Stage_STAGE_UNKNOWN
	switch {
	case !g.sound(time.Now()):
	case g.report.Busy && g.ordered != wire.Stage_STAGE_UNKNOWN:
		self.Stage = g.ordered
	default:
		self.Stage = g.report.Stage
	}
}

// SetSeeds replaces the members to begin from.
func (g *EngineAgent) SetSeeds(s []string) { g.mesh.SetSeeds(s) }

// Gossip answers a member.
func (g *EngineAgent) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return g.mesh.Gossip(ctx, q)
}

// sound reports whether the engine answered lately. The lock is held.
func (g *EngineAgent) sound(now time.Time) bool { return now.Sub(g.reported) < soundFor }

// tick looks at the waiting requests.
func (g *EngineAgent) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.ledger.Tick(time.Now()))
}

// tell passes outcomes on to those who wait. The lock is held.
func (g *EngineAgent) tell(out []place.Outcome) {
	for _, o := range out {
		if c := g.waiting[o.Request]; c != nil {
			c <- o
			delete(g.waiting, o.Request)
		}
	}
	if len(out) > 0 {
		g.notify()
	}
}

// notify wakes the followers. The lock is held.
func (g *EngineAgent) notify() {
	g.told = nil
	close(g.changed)
	g.changed = make(chan struct{})
}

// state returns what entries are told: many followers share what is computed once. The
// lock is held.
func (g *EngineAgent) state() *wire.PlaceState {
	sound := g.sound(time.Now()) && !g.report.Busy
	if g.told != nil && g.told.Sound == sound {
		return g.told
	}
	s := g.ledger.State()
	g.told = &wire.PlaceState{
		Stage:       g.report.Stage,
		Sound:       sound,
		Running:     int32(s.Running),
		Waiting:     int32(s.Waiting),
		Room:        s.Room,
		AgainMicros: s.Wait.Microseconds(),
		Backlog:     g.backlog,
		Memory:      s.Memory,
		Slots:       int32(s.Slots),
	}
	return g.told
}
