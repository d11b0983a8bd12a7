// Package host implements the agent, the process that queues requests for one upstream and
// calls it. The upstream is a model engine or a plain HTTP service.
//
// Callers send requests to entries, which are other processes, and entries open streams to
// agents. A run is one attempt of one stage of a request: its prefill or decode at an engine,
// or the whole call to a plain service. Each stream carries the messages of one run.
//
// The decisions are made by the state machine of package worker. This package passes it events
// from streams, calls and timers, and carries out the effects that it returns. It also grants
// tokens from this agent's shares of the workspaces' rate limits, and makes an engine load and
// unload models as the settings tree requires.
//
// The settings tree is the configuration that all processes share; package feed delivers it.
// Settings are the command-line flags of this process.
package host

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/agent/plain"
	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/orders"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
	"github.com/sirupsen/logrus"
)

const (
	// tickPeriod is the period of the worker's timer ticks, of the expiry of token reservations,
	// and of the checks in Drain whether runs are still active.
	tickPeriod = 20 * time.Millisecond
	// answerTime is how long before the end of a drain runs that haven't started are refused, so that their entries can
	// take them elsewhere.
	answerTime = 2 * time.Second
	// allocationCheckPeriod is the time between two checks for memory at the engine that no
	// run owns.
	allocationCheckPeriod = time.Second
	// allocationCallTimeout limits each call to the engine that lists or frees allocations.
	allocationCallTimeout = 2 * time.Second
	// modelSyncPeriod is the time between two checks whether the engine must load or unload
	// a model.
	modelSyncPeriod = time.Second
	// modelOrderTimeout limits the time in which an engine loads or unloads a model.
	modelOrderTimeout = 5 * time.Minute
)

// Host is a running agent: the process, not its VM.
type Host struct {
	wire.DRPCAgentUnimplementedServer

	settings Settings
	log      logrus.FieldLogger
	trace    *trace.Log
	metrics  *metrics
	engine   *engine.Client
	// plainClient calls the upstream if the kind is KindPlain, engine if it is KindEngine.
	plainClient *plain.Client
	// feed receives the settings tree and the list of VMs from the platform and from peers. It
	// has nothing to do with the Feed message of a run.
	feed       *feed.Feed
	address    string
	opsAddress string
	startedAt  time.Time
	// ctx ends when the agent stops.
	ctx   context.Context
	tasks tasks.Group
	// memory bounds what runs make this agent hold.
	memory *memory

	// mu guards the fields below.
	mu     sync.Mutex
	worker *worker.Worker
	// quotaHolder grants tokens from this agent's shares of workspaces' rate limits.
	quotaHolder *quota.Holder
	// reconciler compares the desired with the loaded models and returns the next order to
	// load or unload one.
	reconciler *orders.Reconciler
	outboxes   map[worker.StreamID]*outbox
	calls      map[worker.RunID]*call
	// cancelReplies has a channel for each Cancel RPC that waits for the worker, by CancelID.
	cancelReplies map[uint64]chan wire.Ran
	// lastID is the last number used as a StreamID or CancelID.
	lastID   uint64
	draining bool
}

// Settings are the command-line flags of an agent.
type Settings struct {
	conf.Common
	// Upstream is the base URL of the upstream.
	Upstream string
	// Kind is KindEngine or KindPlain.
	Kind string
	// Slots is the number of runs that the upstream processes at once.
	Slots int
}

// Kinds of upstreams.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Start starts an agent. Stop ends it without draining and returns when its goroutines have
// ended.
func Start(s Settings, l logrus.FieldLogger) (h *Host, stop func(), err error) {
	defer fault.Annotate(&err, "start agent %s", s.VM)
	sockets, err := s.Open(l)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	// incarnation identifies this start of the process. It is larger at each start, so that
	// others can tell that the agent has restarted.
	incarnation := uint64(now.UnixNano())
	limits := s.Intake()
	h = &Host{
		settings:      s,
		log:           l,
		trace:         trace.NewLog(s.VM, s.TraceSize),
		metrics:       newMetrics(),
		engine:        engine.New(s.Upstream),
		plainClient:   plain.New(s.Upstream),
		address:       sockets.Peers.Addr().String(),
		opsAddress:    sockets.Ops.Addr().String(),
		startedAt:     now,
		ctx:           ctx,
		memory:        &memory{limit: limits.MemoryBytes, maxStreams: limits.UpstreamConns},
		worker:        worker.New(now, incarnation, worker.WithSlots(s.Slots), worker.WithReplayBytes(int64(replayRatio*float64(limits.MemoryBytes)))),
		quotaHolder:   quota.NewHolder(),
		reconciler:    orders.New(incarnation),
		outboxes:      map[worker.StreamID]*outbox{},
		calls:         map[worker.RunID]*call{},
		cancelReplies: map[uint64]chan wire.Ran{},
	}
	h.metrics.addMemory(h.memory)
	h.trace.Add(now, trace.Event{Kind: trace.Incarnated})
	stopServers := h.startTasks(sockets, incarnation)
	return h, func() {
		cancel()
		stopServers()
		h.tasks.Close()
	}, nil
}

// startTasks starts the servers and the periodic tasks. The function that it returns stops the
// operators' server, the feed and the connections to peers; the rest stops with h.ctx.
func (h *Host) startTasks(sockets *conf.Sockets, incarnation uint64) (stop func()) {
	s := &h.settings
	pool, closePool := link.NewPool(sockets.TLS)
	id := feed.Identity{VM: s.VM, DataCentre: s.DataCentre, Incarnation: incarnation}
	var stopFeed func()
	h.feed, stopFeed = feed.New(id, s.Platform, s.PeerList(), pool, h.log, h.applyConfig, h.renewAuthority)
	h.metrics.registry.MustRegister(h.feed.Counts.Collectors(opsrv.Namespace)...)
	stopOps := opsrv.Serve(sockets.Ops, h.metrics.registry, h.trace, h.Status)
	h.tasks.Go(func() { _ = link.Serve(h.ctx, sockets.Peers, sockets.TLS, h.feed, h) })
	h.tasks.Go(h.runTimer)
	if s.Kind == KindEngine {
		h.tasks.Go(h.checkAllocations)
		h.tasks.Go(h.syncModels)
	}
	return func() {
		stopOps()
		stopFeed()
		closePool()
	}
}

// Address returns the address of the DRPC server, for entries and peers.
func (h *Host) Address() string { return h.address }

// OpsAddress returns the address of the operators' HTTP server.
func (h *Host) OpsAddress() string { return h.opsAddress }

// Status returns the status that the operators' server reports.
func (h *Host) Status() opsrv.Status {
	revision := h.feed.Revision()
	ready := h.feed.HasSynced()
	h.mu.Lock()
	defer h.mu.Unlock()
	return opsrv.Status{
		VM:          h.settings.VM,
		Program:     string(fleet.Agent),
		DataCentre:  h.settings.DataCentre,
		Incarnation: uint64(h.startedAt.UnixNano()),
		Revision:    revision,
		Ready:       ready && !h.draining,
		Draining:    h.draining,
		Active:      h.worker.Active(),
	}
}

// Drain refuses new runs and returns when no run is active any more or ctx ends.
func (h *Host) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.trace.Add(time.Now(), trace.Event{Kind: trace.Draining})
	h.log.Info("draining")
	h.step(worker.DrainStarted{})
	if d, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(d)-answerTime, func() { h.step(worker.DrainEnded{}) }).Stop()
	}
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for h.Status().Active > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			h.log.Warn("drain timeout expired with runs still active")
			return
		}
	}
}

// applyConfig puts a new settings tree and list of VMs in force.
func (h *Host) applyConfig(t *tree.Tree, l *fleet.List) {
	v, _ := l.VM(h.settings.VM)
	now := time.Now()
	h.mu.Lock()
	h.quotaHolder.UpdateShares(now, t, l, h.settings.VM, h.settings.DataCentre)
	h.reconciler.SetDesired(orders.DesiredModels(t, v.Service))
	h.mu.Unlock()
	h.trace.Add(now, trace.Event{Kind: trace.Adopted, Detail: feed.FormatRevisions(t, l)})
	h.step(worker.Configured{Tree: t, Leaving: v.State == fleet.Leaving, DataCentre: h.settings.DataCentre, Evacuated: v.Evacuated})
}

// renewAuthority lets this agent grant tokens from its shares until a.Until. Shares assigned to
// it by a list of VMs of epoch a.SealedEpoch or earlier take effect: the agents that held them
// under earlier lists can no longer grant from them. See quota.Authority.
func (h *Host) renewAuthority(a spread.Authorization) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.quotaHolder.Authorized(now) {
		h.trace.Add(now, trace.Event{Kind: trace.Authority, Detail: fmt.Sprintf("until %s, sealed %d", a.Until.UTC().Format(time.RFC3339), a.SealedEpoch)})
	}
	h.quotaHolder.Authorize(now, a.Until)
	h.quotaHolder.Seal(now, a.SealedEpoch)
}

// runTimer sends the worker timer ticks and expires reservations until the agent stops.
func (h *Host) runTimer() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.step(worker.Ticked{})
			h.mu.Lock()
			h.quotaHolder.Expire(time.Now())
			h.mu.Unlock()
		case <-h.ctx.Done():
			return
		}
	}
}

// checkAllocations periodically tells the worker which allocations the engine has, so that it
// frees those that no run owns.
func (h *Host) checkAllocations() {
	t := time.NewTicker(allocationCheckPeriod)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(h.ctx, allocationCallTimeout)
		a, err := h.engine.ListAllocations(ctx)
		cancel()
		if err == nil {
			h.step(worker.AllocationsListed{Names: a.Requests})
		}
		select {
		case <-t.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// syncModels periodically makes the engine load and unload models as the settings tree
// requires.
func (h *Host) syncModels() {
	t := time.NewTicker(modelSyncPeriod)
	defer t.Stop()
	for {
		h.sendOrders()
		select {
		case <-t.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// sendOrders sends orders to load or unload models, one at a time, until none is due.
func (h *Host) sendOrders() {
	for {
		h.mu.Lock()
		o, ok := h.reconciler.Next(time.Now())
		h.mu.Unlock()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(h.ctx, modelOrderTimeout)
		newest, err := h.engine.Order(ctx, engine.Order{FencingToken: o.Fence, Model: o.Model, Load: o.Load})
		cancel()
		h.mu.Lock()
		h.reconciler.HandleResult(time.Now(), orders.Result{Order: o, Done: err == nil, LargestFence: newest})
		h.mu.Unlock()
	}
}

// step applies an event to the worker and carries out the effects.
func (h *Host) step(e worker.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.worker.Step(time.Now(), e) {
		h.apply(x)
	}
}

// apply carries out an effect. The caller holds h.mu.
func (h *Host) apply(x worker.Effect) {
	switch x := x.(type) {
	case worker.Send:
		h.send(x)
	case worker.Close:
		if o := h.outboxes[x.Stream]; o != nil {
			o.close()
		}
	case worker.StartCall:
		h.metrics.callsStarted.WithLabelValues(fleet.StageName(x.Run.Stage)).Inc()
		h.startCall(x)
	case worker.AbortCall:
		h.abortCall(x.Run)
	case worker.FreeAllocation:
		h.metrics.allocationsFreed.Inc()
		h.tasks.Go(func() { h.cancelAtEngine(x.Name) })
	case worker.SetCallPaused:
		if c := h.calls[x.Run]; c != nil {
			c.setPaused(x.Paused)
		}
	case worker.AnswerCancel:
		h.cancelReplies[x.CancelID] <- x.Ran
		delete(h.cancelReplies, x.CancelID)
	case worker.Trace:
		h.metrics.traceEvents.WithLabelValues(string(x.Event.Kind)).Inc()
		h.trace.Add(time.Now(), x.Event)
	}
}

// send queues a message unless its stream has ended. The caller holds h.mu.
func (h *Host) send(x worker.Send) {
	o := h.outboxes[x.Stream]
	if o == nil {
		return
	}
	o.put(x.Reply)
}

// abortCall aborts a run's call and frees its memory at the engine. The caller holds h.mu.
func (h *Host) abortCall(id worker.RunID) {
	if c := h.calls[id]; c != nil {
		c.abort()
	}
	if h.settings.Kind == KindEngine {
		h.tasks.Go(func() { h.cancelAtEngine(id.String()) })
	}
}

// cancelAtEngine cancels the engine's request of a name, which also frees the memory allocated
// under that name. A failure is only logged, as checkAllocations finds memory that stays
// allocated.
func (h *Host) cancelAtEngine(name string) {
	ctx, cancel := context.WithTimeout(h.ctx, allocationCallTimeout)
	defer cancel()
	if err := h.engine.Cancel(ctx, name); err != nil {
		h.log.WithError(err).Debug("failed to cancel request and free its memory at engine")
	}
}
