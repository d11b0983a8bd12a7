// Package host is the agent: the shell of sockets and timers around the worker
// reducer, beside one upstream.
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
	tickPeriod = 20 * time.Millisecond
	// sweepPeriod is the time between two comparisons with what the engine holds.
	sweepPeriod  = time.Second
	sweepTimeout = 2 * time.Second
	// orderPeriod is the time between two looks for orders to be given.
	orderPeriod = time.Second
	// orderTimeout bounds the time in which an engine loads a model.
	orderTimeout = 5 * time.Minute
)

// Host is a running agent.
type Host struct {
	wire.DRPCAgentUnimplementedServer

	settings Settings
	log      logrus.FieldLogger
	trace    *trace.Log
	metrics  *metrics
	engine   *engine.Client
	service  *plain.Client
	feed     *feed.Feed
	address  string
	ops      string
	born     time.Time
	ctx      context.Context
	tasks    tasks.Group

	mu       sync.Mutex
	worker   *worker.Worker
	holder   *quota.Holder
	orders   *orders.Reconciler
	streams  map[worker.StreamID]*outbox
	calls    map[worker.RunID]*call
	answers  map[uint64]chan wire.Ran
	lastID   uint64
	draining bool
}

// Settings are those of an agent.
type Settings struct {
	conf.Common
	// Upstream is the base URL of the upstream.
	Upstream string
	// Kind is engine or plain.
	Kind string
	// Slots is how many runs the upstream takes at once.
	Slots int
}

// Kinds of upstreams.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Start runs an agent and returns it with a function that stops it at once.
func Start(s Settings, l logrus.FieldLogger) (h *Host, stop func(), err error) {
	defer fault.Annotate(&err, "start agent %s", s.VM)
	k, err := s.Open(l)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	h = &Host{
		settings: s,
		log:      l,
		trace:    trace.NewLog(s.VM, s.TraceSize),
		metrics:  newMetrics(),
		engine:   engine.New(s.Upstream),
		service:  plain.New(s.Upstream),
		address:  k.Peers.Addr().String(),
		ops:      k.Ops.Addr().String(),
		born:     now,
		ctx:      ctx,
		worker:   worker.New(now, incarnation, worker.WithSlots(s.Slots)),
		holder:   quota.NewHolder(),
		orders:   orders.New(incarnation),
		streams:  map[worker.StreamID]*outbox{},
		calls:    map[worker.RunID]*call{},
		answers:  map[uint64]chan wire.Ran{},
	}
	h.trace.Add(now, trace.Event{Kind: trace.Incarnated})
	stopServing := h.serve(k, incarnation)
	return h, func() {
		cancel()
		stopServing()
		h.tasks.Close()
	}, nil
}

// serve starts what an agent does, and returns a function that stops its connections.
func (h *Host) serve(k *conf.Sockets, incarnation uint64) (stop func()) {
	s := &h.settings
	pool, closePool := link.NewPool(k.TLS)
	id := feed.Identity{VM: s.VM, DataCentre: s.DataCentre, Incarnation: incarnation}
	var stopFeed func()
	h.feed, stopFeed = feed.New(id, s.Platform, s.PeerList(), pool, h.log, h.adopt, h.allow)
	h.metrics.registry.MustRegister(h.feed.Counts.Collectors(opsrv.Namespace)...)
	stopOps := opsrv.Serve(k.Ops, h.metrics.registry, h.trace, h.Status)
	h.tasks.Go(func() { _ = link.Serve(h.ctx, k.Peers, k.TLS, h.feed, h) })
	h.tasks.Go(h.tick)
	if s.Kind == KindEngine {
		h.tasks.Go(h.sweep)
		h.tasks.Go(h.order)
	}
	return func() {
		stopOps()
		stopFeed()
		closePool()
	}
}

// Address returns the address of the drpc server.
func (h *Host) Address() string { return h.address }

// OpsAddress returns the address of the operators' server.
func (h *Host) OpsAddress() string { return h.ops }

// Status tells what the agent is doing.
func (h *Host) Status() opsrv.Status {
	revision := h.feed.Revision()
	ready := h.feed.HasSynced()
	h.mu.Lock()
	defer h.mu.Unlock()
	return opsrv.Status{
		VM:          h.settings.VM,
		Program:     string(fleet.Agent),
		DataCentre:  h.settings.DataCentre,
		Incarnation: uint64(h.born.UnixNano()),
		Revision:    revision,
		Ready:       ready && !h.draining,
		Draining:    h.draining,
		Active:      h.worker.Active(),
	}
}

// Drain refuses new work and returns when what runs has ended, or when the context
// ends.
func (h *Host) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.trace.Add(time.Now(), trace.Event{Kind: trace.Draining})
	h.log.Info("draining")
	h.step(worker.DrainStarted{})
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for h.Status().Active > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			h.log.Warn("the time to drain is over")
			return
		}
	}
}

func (h *Host) adopt(t *tree.Tree, l *fleet.List) {
	v, _ := l.VM(h.settings.VM)
	now := time.Now()
	h.mu.Lock()
	h.holder.UpdateShares(now, t, l, h.settings.VM, h.settings.DataCentre)
	h.orders.SetDesired(orders.DesiredModels(t, v.Service))
	h.mu.Unlock()
	h.trace.Add(now, trace.Event{Kind: trace.Adopted, Detail: feed.FormatRevisions(t, l)})
	h.step(worker.Configured{Tree: t, Leaving: v.State == fleet.Leaving})
}

// allow renews the authority to hold shares.
func (h *Host) allow(a spread.Authorization) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holder.Authorized(now) {
		h.trace.Add(now, trace.Event{Kind: trace.Authority, Detail: fmt.Sprintf("until %s, sealed %d", a.Until.UTC().Format(time.RFC3339), a.SealedEpoch)})
	}
	h.holder.Authorize(now, a.Until)
	h.holder.Seal(now, a.SealedEpoch)
}

func (h *Host) tick() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.step(worker.Ticked{})
			h.mu.Lock()
			h.holder.Expire(time.Now())
			h.mu.Unlock()
		case <-h.ctx.Done():
			return
		}
	}
}

// sweep frees what the engine holds for nobody.
func (h *Host) sweep() {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(h.ctx, sweepTimeout)
		held, err := h.engine.ListAllocations(ctx)
		cancel()
		if err == nil {
			h.step(worker.AllocationsListed{Names: held.Requests})
		}
		select {
		case <-t.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// order keeps the engine's models as the settings want them.
func (h *Host) order() {
	t := time.NewTicker(orderPeriod)
	defer t.Stop()
	for {
		h.giveOrders()
		select {
		case <-t.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// giveOrders tells the engine which models to load.
func (h *Host) giveOrders() {
	for {
		h.mu.Lock()
		o, ok := h.orders.Next(time.Now())
		h.mu.Unlock()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
		newest, err := h.engine.Order(ctx, engine.Order{FencingToken: o.Fence, Model: o.Model, Load: o.Load})
		cancel()
		h.mu.Lock()
		h.orders.HandleResult(time.Now(), orders.Result{Order: o, Done: err == nil, NewestFence: newest})
		h.mu.Unlock()
	}
}

func (h *Host) step(e worker.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.worker.Step(time.Now(), e) {
		h.run(x)
	}
}

// run carries out an effect. The lock is held.
func (h *Host) run(x worker.Effect) {
	switch x := x.(type) {
	case worker.Send:
		h.send(x)
	case worker.Close:
		if o := h.streams[x.Stream]; o != nil {
			o.close()
		}
	case worker.StartCall:
		h.metrics.started.WithLabelValues(fleet.StageName(x.Run.Stage)).Inc()
		h.startCall(x)
	case worker.AbortCall:
		h.abortCall(x.Run)
	case worker.FreeAllocation:
		h.metrics.freed.Inc()
		h.tasks.Go(func() { h.cancelAtEngine(x.Name) })
	case worker.SetCallPaused:
		if c := h.calls[x.Run]; c != nil {
			c.throttle(x.Paused)
		}
	case worker.AnswerCancel:
		h.answers[x.CancelID] <- x.Ran
		delete(h.answers, x.CancelID)
	case worker.Trace:
		h.metrics.events.WithLabelValues(string(x.Event.Kind)).Inc()
		h.trace.Add(time.Now(), x.Event)
	}
}

func (h *Host) send(x worker.Send) {
	o := h.streams[x.Stream]
	if o == nil {
		return
	}
	o.put(x.Reply)
}

func (h *Host) abortCall(id worker.RunID) {
	if c := h.calls[id]; c != nil {
		c.abort()
	}
	if h.settings.Kind == KindEngine {
		h.tasks.Go(func() { h.cancelAtEngine(id.String()) })
	}
}

func (h *Host) cancelAtEngine(name string) {
	ctx, cancel := context.WithTimeout(h.ctx, sweepTimeout)
	defer cancel()
	if err := h.engine.Cancel(ctx, name); err != nil {
		h.log.WithError(err).Debug("cancel at the engine")
	}
}
