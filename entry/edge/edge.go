// Package edge implements the entry: the process that accepts callers' HTTP requests and
// forwards them to agents. An agent is the process in front of an upstream, which is a
// model engine or a plain HTTP service. Each process has a VM of its own.
//
// Decisions are made by the state machine of package router. This package turns HTTP
// requests, replies from agents and timer ticks into events for router.Router.Step, and
// carries out the effects that it returns.
package edge

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/rumor"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// tickPeriod is the time between two router.Ticked events.
	tickPeriod        = 20 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is the largest head of a request.
	maxHeaderBytes = 64 << 10
	// settleRetryPeriod is the time between two attempts to settle a reservation.
	settleRetryPeriod = 200 * time.Millisecond
	// settleTimeout bounds the attempts to settle a reservation. The holder, the VM that
	// granted the tokens, keeps the reservation for longer.
	settleTimeout = time.Minute
)

// Settings configures an entry.
type Settings struct {
	conf.Common
	// CallersListen is the IP address and port of the HTTP server for callers.
	CallersListen string
	// Policy replaces the router's default policy if it is not nil.
	Policy *router.Policy
}

// Edge is a running entry.
type Edge struct {
	settings Settings
	log      logrus.FieldLogger
	trace    *trace.Log
	metrics  *metrics
	feed     *feed.Feed
	// rumors are what entries learn from each other besides the configuration. The router uses
	// the same tables.
	rumors         rumor.Rumors
	pool           *link.Pool
	httpServer     *http.Server
	callersAddress string
	peerAddress    string
	opsAddress     string
	// intake bounds what callers make this entry hold.
	intake    *intake.Guard
	startedAt time.Time
	// closeConnections is true once a drain has started: answers then ask callers to close
	// their connections.
	closeConnections atomic.Bool
	// cutOff ends when a drain ends the requests that are unfinished.
	cutOff context.Context
	cut    context.CancelFunc
	ctx    context.Context
	tasks  tasks.Group

	mu       sync.Mutex
	router   *router.Router
	vms      *fleet.List
	queues   map[router.RequestID]*effectQueue
	streams  map[router.RunRef]*runStream
	lastID   router.RequestID
	draining bool
}

// Start starts an entry. The returned function stops it without draining.
func Start(s Settings, l logrus.FieldLogger) (e *Edge, stop func(), err error) {
	defer fault.Annotate(&err, "start entry %s", s.VM)
	k, err := s.Open(l, s.CallersListen)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	pool, closePool := link.NewPool(k.TLS)
	rumors := rumor.New()
	opts := []router.Option{router.WithVM(s.VM, s.DataCentre), router.WithPoison(rumors.Poison)}
	if s.Policy != nil {
		opts = append(opts, router.WithPolicy(*s.Policy))
	}
	e = &Edge{
		settings:       s,
		log:            l,
		trace:          trace.NewLog(s.VM, s.TraceSize),
		metrics:        newMetrics(),
		pool:           pool,
		peerAddress:    k.Peers.Addr().String(),
		opsAddress:     k.Ops.Addr().String(),
		callersAddress: k.More[0].Addr().String(),
		startedAt:      now,
		ctx:            ctx,
		router:         router.New(uint64(now.UnixNano()), opts...),
		rumors:         rumors,
		vms:            fleet.NewList(0, nil),
		queues:         map[router.RequestID]*effectQueue{},
		streams:        map[router.RunRef]*runStream{},
	}
	e.cutOff, e.cut = context.WithCancel(context.Background())
	e.intake = intake.NewGuard(s.Intake(), l, intake.WithMaxHead(func() int { return maxHeaderBytes }))
	e.metrics.registry.MustRegister(e.intake.Collectors()...)
	e.trace.Add(now, trace.Event{Kind: trace.Incarnated})
	stopServing := e.startServers(k)
	return e, func() {
		_ = e.httpServer.Close()
		cancel()
		stopServing()
		closePool()
		e.tasks.Close()
	}, nil
}

// startServers starts the servers, the configuration feed and the ticker. The returned
// function stops the feed and the operators' server.
func (e *Edge) startServers(k *conf.Sockets) (stop func()) {
	s := &e.settings
	id := feed.Identity{VM: s.VM, DataCentre: s.DataCentre, Incarnation: uint64(e.startedAt.UnixNano())}
	var stopFeed func()
	e.feed, stopFeed = feed.New(id, s.Platform, s.PeerList(), e.pool, e.log, e.applyConfig, nil, feed.WithRumors(e.rumors))
	e.metrics.registry.MustRegister(e.feed.Counts.Collectors(opsrv.Namespace)...)
	stopOps := opsrv.Serve(k.Ops, e.metrics.registry, e.trace, e.Status)
	e.httpServer = &http.Server{
		Handler:           frame.Handler(e.withConnectionClose(e.withRoom(e.handler()))),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.intake.TrackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return intake.WithConn(frame.WithConn(ctx, c), c)
		},
	}
	e.tasks.Go(func() { _ = link.Serve(e.ctx, k.Peers, k.TLS, e.feed, nil) })
	e.tasks.Go(func() { _ = e.httpServer.Serve(e.intake.Listen(k.More[0])) })
	e.tasks.Go(func() { e.intake.Run(e.ctx) })
	e.tasks.Go(e.tickLoop)
	return func() {
		stopOps()
		stopFeed()
	}
}

// withConnectionClose adds "Connection: close" to the answers that are sent during a drain.
func (e *Edge) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if e.closeConnections.Load() {
			w.Header().Set("Connection", "close")
		}
		// The request before on the connection may have left one that has passed.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, q)
	})
}

// CallersAddress returns the IP address and port of the HTTP server for callers.
func (e *Edge) CallersAddress() string { return e.callersAddress }

// PeerAddress returns the IP address and port of the dRPC server for other VMs.
func (e *Edge) PeerAddress() string { return e.peerAddress }

// OpsAddress returns the IP address and port of the HTTP server for operators.
func (e *Edge) OpsAddress() string { return e.opsAddress }

// Status returns the state of the entry for the operators' server.
func (e *Edge) Status() opsrv.Status {
	revision := e.feed.Revision()
	synced := e.feed.HasSynced()
	e.mu.Lock()
	defer e.mu.Unlock()
	return opsrv.Status{
		VM:          e.settings.VM,
		Program:     string(fleet.Entry),
		DataCentre:  e.settings.DataCentre,
		Incarnation: uint64(e.startedAt.UnixNano()),
		Revision:    revision,
		Ready:       synced && e.router.Ready() && !e.draining,
		Draining:    e.draining,
		Active:      e.router.Active(),
	}
}

// applyConfig locks e.mu and hands a new settings tree and list of VMs to the router.
func (e *Edge) applyConfig(t *tree.Tree, l *fleet.List) {
	now := time.Now()
	e.trace.Add(now, trace.Event{Kind: trace.Adopted, Detail: feed.FormatRevisions(t, l)})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteEvacuations(e.vms, l)
	e.vms = l
	e.apply(router.Configured{Tree: t, List: l})
}

// tickLoop sends router.Ticked events until the entry stops.
func (e *Edge) tickLoop() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.step(router.Ticked{})
		case <-e.ctx.Done():
			return
		}
	}
}

// step locks e.mu and calls apply. Code that holds e.mu calls apply itself.
func (e *Edge) step(v router.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(v)
}

// stepAsync calls step in another goroutine, for code that holds e.mu.
func (e *Edge) stepAsync(v router.Event) {
	e.tasks.Go(func() { e.step(v) })
}

// apply hands an event to the router and executes the effects. e.mu must be held.
func (e *Edge) apply(v router.Event) {
	for _, x := range e.router.Step(time.Now(), v) {
		e.execute(x)
	}
}

// execute carries out an effect, in another goroutine if it blocks. e.mu must be held.
func (e *Edge) execute(x router.Effect) {
	switch x := x.(type) {
	case router.Accepted:
		e.deliver(x.ID, x)
	case router.Head:
		e.deliver(x.ID, x)
	case router.Write:
		e.deliver(x.ID, x)
	case router.Finish:
		e.deliver(x.ID, x)
		delete(e.queues, x.ID)
	case router.Reserve:
		e.tasks.Go(func() { e.reserve(x, e.vmAddress(x.VM)) })
	case router.Settle:
		e.metrics.pendingSettlements.Add(1)
		l := e.vms
		e.tasks.Go(func() { e.settle(x, l) })
	case router.OpenRun:
		e.metrics.runsOpened.WithLabelValues(fleet.StageName(x.Ref.Stage)).Inc()
		e.openStream(x.Ref, x.VM, &wire.RunRequest{Kind: &wire.RunRequest_Open{Open: x.Open}})
	case router.ResumeRun:
		e.metrics.runsResumed.Inc()
		e.openStream(x.Ref, x.VM, &wire.RunRequest{Kind: &wire.RunRequest_Resume{Resume: x.Resume}})
	case router.FeedRun:
		e.sendToRun(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Feed{Feed: x.Feed}})
	case router.AckRun:
		e.sendToRun(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Ack{Ack: &wire.Ack{Offset: x.Offset}}})
	case router.StopRun:
		e.sendToRun(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Stop{Stop: &wire.Stop{}}})
		if r := e.streams[x.Ref]; r != nil {
			r.stopAfterQueue()
		}
	case router.Cancel:
		e.tasks.Go(func() { e.cancelRequest(x, e.vmAddress(x.VM)) })
	case router.Trace:
		e.metrics.traceEvents.WithLabelValues(string(x.Event.Kind)).Inc()
		e.trace.Add(time.Now(), x.Event)
	}
}

// deliver queues an effect for the handler of a request. e.mu must be held.
func (e *Edge) deliver(id router.RequestID, x router.Effect) {
	if s := e.queues[id]; s != nil {
		s.enqueue(x)
	}
}

// sendToRun queues a message on the stream of a run. e.mu must be held.
func (e *Edge) sendToRun(f router.RunRef, m *wire.RunRequest) {
	if r := e.streams[f]; r != nil {
		r.enqueue(m)
	}
}

// vmAddress returns the dRPC address of a VM, or "", which can't be dialled, if the VM is
// unknown.
func (e *Edge) vmAddress(vm string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, _ := e.vms.VM(vm)
	return v.Address
}

// reserve asks a holder for tokens and reports its reply to the router.
func (e *Edge) reserve(x router.Reserve, address string) {
	a, err := link.Call(e.ctx, e.pool, address, link.Reserve, &wire.ReserveRequest{
		Request:   x.Name,
		Workspace: x.Workspace,
		Tokens:    x.Tokens,
		Partial:   true,
	})
	e.step(router.ReserveAnswered{ID: x.ID, VM: x.VM, Reply: a, Err: err})
}

// settle ends a reservation, so that the holder takes back the unused tokens. It retries
// until the holder confirms or settleTimeout has passed.
func (e *Edge) settle(x router.Settle, l *fleet.List) {
	defer e.metrics.pendingSettlements.Add(-1)
	v, _ := l.VM(x.VM)
	until := time.Now().Add(settleTimeout)
	for time.Now().Before(until) {
		_, err := link.Call(e.ctx, e.pool, v.Address, link.Settle, &wire.SettleRequest{
			Request:   x.Name,
			Workspace: x.Workspace,
			Used:      x.Used,
		})
		if err == nil || e.ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(settleRetryPeriod):
		case <-e.ctx.Done():
			return
		}
	}
	e.metrics.unsettled.Inc()
}

// cancelRequest asks an agent to cancel a request and reports its reply to the router.
func (e *Edge) cancelRequest(x router.Cancel, address string) {
	a, err := link.Call(e.ctx, e.pool, address, link.Cancel, &wire.CancelRequest{
		Request:   x.Name,
		Attempt:   x.Attempt,
		AgeMicros: time.Since(x.Opened).Microseconds(),
	})
	e.step(router.CancelAnswered{ID: x.ID, VM: x.VM, Ran: a.GetRan(), Err: err})
}

// newRequestName returns a unique random name for a request.
func newRequestName() string { return "r-" + rand.Text() }
