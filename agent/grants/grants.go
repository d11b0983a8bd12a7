// Package grants runs the agent beside a model engine that receives its requests from the
// entries themselves. Entries are the processes that admit callers' requests.
//
// A run is the engine's execution of one request. An entry reserves a place for it at the
// agent, and sends the request to the engine once the place is granted. A place is a slot in
// the engine's batch together with the KV cache memory that the run needs.
//
// The agent polls its engine for a report of its stage and memory, streams the engine's free
// capacity to the entries, and decides with the other agents of the service whether the
// engine serves prefill or decode.
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
	// pollInterval is the time between two polls of the engine's report.
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds a poll of the report and the delivery of an order.
	callTimeout = 500 * time.Millisecond
	// reportTTL is the age of the last report from which on the engine is unhealthy.
	reportTTL = time.Second
	// admitInterval is the time between two passes over the requests that wait for a place.
	admitInterval = 20 * time.Millisecond
	// maxStateInterval is the interval at which the state is sent to a follower, an entry with
	// an open Follow stream, also without a change.
	maxStateInterval = 400 * time.Millisecond
	// minStateInterval is the pause between a change and the sending of the state, so that
	// changes in quick succession are sent together.
	minStateInterval = 10 * time.Millisecond
	// stageInterval is the time between two decisions on the engine's stage.
	stageInterval = 500 * time.Millisecond
	// maxResponseBytes bounds what is read of the body of an engine's response.
	maxResponseBytes = 1 << 20
	// maxTraceEvents is the capacity of the trace log that the ops server shows.
	maxTraceEvents = 500
)

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
	log      logrus.FieldLogger
	mesh     *mesh.Mesh
	conns    *upconn.Pool
	metrics  *metrics
	ctx      context.Context
	tasks    tasks.Group
	// startedAt is the agent's incarnation: in milliseconds in its membership record, in
	// nanoseconds in its status.
	startedAt time.Time

	mu     sync.Mutex
	ledger *place.Scheduler
	stages *stages.Balancer
	// waiters receive the outcome of their place request, by request id.
	waiters map[string]chan place.Outcome
	// backlog is the length, in tokens, of the prompts that are being prefilled or queued
	// for it.
	backlog int64
	// localPrefill limits the prompts that the engine prefills while it serves decode.
	localPrefill place.PrefillLimiter
	// report is the last one received, and reportedAt when it arrived. reportedAt is zero if
	// there is none or the engine has refused connections since.
	report     calls.EngineReport
	reportedAt time.Time
	// orderCount is the number of orders sent.
	orderCount int64
	// orderedStage is the stage of the last order that the engine accepted.
	orderedStage wire.Stage
	// stateChanged is closed and replaced at each change that followers are sent at once. Other
	// changes, such as of the engine's memory or a return to health, reach them with the next
	// state.
	stateChanged chan struct{}
	// cachedState is the state since the last change; nil if it has to be computed again.
	cachedState *wire.PlaceState
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
	e = &EngineAgent{
		settings:     s,
		log:          s.Log,
		conns:        conns,
		metrics:      newMetrics(),
		ctx:          ctx,
		startedAt:    now,
		ledger:       place.New(),
		stages:       stages.New(now, s.VM),
		waiters:      map[string]chan place.Outcome{},
		stateChanged: make(chan struct{}),
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
	e.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(e.updateMember))
	stopMesh := e.mesh.Start()
	stopOps := func() {}
	if ops != nil {
		stopOps = opsrv.Serve(ops, e.metrics.registry, trace.NewLog(s.VM, maxTraceEvents), e.Status)
	}
	e.tasks.Go(func() { _ = link.ServeMesh(ctx, l, nil, e) })
	e.tasks.Go(func() { e.runEvery(pollInterval, e.pollEngine) })
	e.tasks.Go(func() { e.runEvery(admitInterval, e.admitWaiting) })
	e.tasks.Go(func() { e.runEvery(stageInterval, e.decideStage) })
	return e, func() {
		cancel()
		stopOps()
		stopMesh()
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
	e.mu.Lock()
	defer e.mu.Unlock()
	return opsrv.Status{
		VM:          e.settings.VM,
		Program:     mesh.RoleAgent,
		DataCentre:  e.settings.DataCentre,
		Incarnation: uint64(e.startedAt.UnixNano()),
		Ready:       e.healthy(time.Now()),
		Active:      e.ledger.Running(),
	}
}

// runEvery calls f periodically until the agent stops.
func (e *EngineAgent) runEvery(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-e.ctx.Done():
			return
		}
	}
}

// updateMember sets the stage in the agent's membership record. While the engine changes
// its stage, the record shows the new one: other agents that saw the old stage would order
// their engines to change too.
func (e *EngineAgent) updateMember(self *wire.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self.Stage = wire.Stage_STAGE_UNKNOWN
	switch {
	case !e.healthy(time.Now()):
	case e.report.Busy && e.orderedStage != wire.Stage_STAGE_UNKNOWN:
		self.Stage = e.orderedStage
	default:
		self.Stage = e.report.Stage
	}
}

// SetSeeds replaces the addresses of members to contact first.
func (e *EngineAgent) SetSeeds(s []string) { e.mesh.SetSeeds(s) }

// Gossip exchanges membership records with another member.
func (e *EngineAgent) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return e.mesh.Gossip(ctx, q)
}

// healthy reports whether the last report is younger than reportTTL. The caller holds the
// lock.
func (e *EngineAgent) healthy(now time.Time) bool { return now.Sub(e.reportedAt) < reportTTL }

// admitWaiting admits the waiting requests that fit by now and refuses the expired ones.
func (e *EngineAgent) admitWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.ledger.Tick(time.Now()))
}

// deliver sends outcomes to the waiters of their requests. The caller holds the lock.
func (e *EngineAgent) deliver(out []place.Outcome) {
	for _, o := range out {
		if c := e.waiters[o.RequestID]; c != nil {
			c <- o
			delete(e.waiters, o.RequestID)
		}
	}
	if len(out) > 0 {
		e.notifyFollowers()
	}
}

// notifyFollowers drops the cached state and wakes the followers. The caller holds the lock.
func (e *EngineAgent) notifyFollowers() {
	e.cachedState = nil
	close(e.stateChanged)
	e.stateChanged = make(chan struct{})
}

// state returns the state that followers receive. It is computed once per change and shared
// by all followers. The caller holds the lock.
func (e *EngineAgent) state() *wire.PlaceState {
	available := e.healthy(time.Now()) && !e.report.Busy
	if e.cachedState != nil && e.cachedState.Sound == available {
		return e.cachedState
	}
	s := e.ledger.State()
	e.cachedState = &wire.PlaceState{
		Stage:       e.report.Stage,
		Sound:       available,
		Running:     int32(s.Running),
		Waiting:     int32(s.Waiting),
		Room:        s.MaxPromptTokens,
		AgainMicros: s.ExpectedWait.Microseconds(),
		Backlog:     e.backlog,
		Memory:      s.MemoryTokens,
		Slots:       int32(s.Slots),
	}
	return e.cachedState
}
