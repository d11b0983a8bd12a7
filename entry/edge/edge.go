// Package edge is the entry: the shell of sockets and timers around the router
// reducer.
package edge

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	tickPeriod    = 20 * time.Millisecond
	headerTimeout = 10 * time.Second
	// settleRetry spaces the attempts to give tokens back.
	settleRetry = 200 * time.Millisecond
	// settleTerm bounds them; the holder forgets a reservation later than that.
	settleTerm = time.Minute
)

// Settings are those of an entry.
type Settings struct {
	conf.Common
	// CallersListen is the address of the callers' HTTP server.
	CallersListen string
	// Policy replaces the router's default policy where it is not nil.
	Policy *router.Policy
}

// Edge is a running entry.
type Edge struct {
	settings Settings
	log      logrus.FieldLogger
	trace    *trace.Log
	metrics  *metrics
	feed     *feed.Feed
	pool     *link.Pool
	http     *http.Server
	callers  string
	address  string
	ops      string
	born     time.Time
	// lastAnswers is true from the start of a drain.
	lastAnswers atomic.Bool
	ctx         context.Context
	tasks       tasks.Group

	mu       sync.Mutex
	router   *router.Router
	list     *fleet.List
	sinks    map[router.RequestID]*sink
	runs     map[router.RunRef]*run
	lastID   router.RequestID
	draining bool
}

// Start runs an entry and returns it with a function that stops it at once.
func Start(s Settings, l logrus.FieldLogger) (e *Edge, stop func(), err error) {
	defer fault.Annotate(&err, "start entry %s", s.VM)
	k, err := s.Open(l, s.CallersListen)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	pool, closePool := link.NewPool(k.TLS)
	opts := []router.Option{router.WithVM(s.VM, s.DataCentre)}
	if s.Policy != nil {
		opts = append(opts, router.WithPolicy(*s.Policy))
	}
	e = &Edge{
		settings: s,
		log:      l,
		trace:    trace.NewLog(s.VM, s.TraceSize),
		metrics:  newMetrics(),
		pool:     pool,
		address:  k.Peers.Addr().String(),
		ops:      k.Ops.Addr().String(),
		callers:  k.More[0].Addr().String(),
		born:     now,
		ctx:      ctx,
		router:   router.New(uint64(now.UnixNano()), opts...),
		list:     fleet.NewList(0, nil),
		sinks:    map[router.RequestID]*sink{},
		runs:     map[router.RunRef]*run{},
	}
	e.trace.Add(now, trace.Event{Kind: trace.Incarnated})
	stopServing := e.serveAll(k)
	return e, func() {
		_ = e.http.Close()
		cancel()
		stopServing()
		closePool()
		e.tasks.Close()
	}, nil
}

// serveAll starts what an entry does, and returns a function that stops its connections.
func (e *Edge) serveAll(k *conf.Sockets) (stop func()) {
	s := &e.settings
	id := feed.Identity{VM: s.VM, DataCentre: s.DataCentre, Incarnation: uint64(e.born.UnixNano())}
	var stopFeed func()
	e.feed, stopFeed = feed.New(id, s.Platform, s.PeerList(), e.pool, e.log, e.adopt, nil)
	e.metrics.registry.MustRegister(e.feed.Counts.Collectors(opsrv.Namespace)...)
	stopOps := opsrv.Serve(k.Ops, e.metrics.registry, e.trace, e.Status)
	e.http = &http.Server{Handler: e.closing(e.handler()), ReadHeaderTimeout: headerTimeout}
	e.tasks.Go(func() { _ = link.Serve(e.ctx, k.Peers, k.TLS, e.feed, nil) })
	e.tasks.Go(func() { _ = e.http.Serve(k.More[0]) })
	e.tasks.Go(e.tick)
	return func() {
		stopOps()
		stopFeed()
	}
}

// closing asks callers to end their connections after the answers of a drain.
func (e *Edge) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if e.lastAnswers.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, q)
	})
}

// CallersAddress returns the address of the callers' server.
func (e *Edge) CallersAddress() string { return e.callers }

// PeerAddress returns the address of the drpc server.
func (e *Edge) PeerAddress() string { return e.address }

// OpsAddress returns the address of the operators' server.
func (e *Edge) OpsAddress() string { return e.ops }

// Status tells what the entry is doing.
func (e *Edge) Status() opsrv.Status {
	revision := e.feed.Revision()
	settled := e.feed.HasSynced()
	e.mu.Lock()
	defer e.mu.Unlock()
	return opsrv.Status{
		VM:          e.settings.VM,
		Program:     string(fleet.Entry),
		DataCentre:  e.settings.DataCentre,
		Incarnation: uint64(e.born.UnixNano()),
		Revision:    revision,
		Ready:       settled && e.router.Ready() && !e.draining,
		Draining:    e.draining,
		Active:      e.router.Active(),
	}
}

// Drain tells the balancer to send no more, serves what comes until notice has passed,
// finishes it and returns, at the latest when the context ends.
func (e *Edge) Drain(ctx context.Context, notice time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.trace.Add(time.Now(), trace.Event{Kind: trace.Draining})
	e.log.Info("draining")
	// Idle connections stay open until notice has passed: a request may be on its way.
	e.lastAnswers.Store(true)
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	if err := e.http.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("the time to drain is over")
	}
	for e.Status().Active > 0 && ctx.Err() == nil {
		time.Sleep(tickPeriod)
	}
	e.settled(ctx)
}

// settled waits until unused tokens are given back.
func (e *Edge) settled(ctx context.Context) {
	for e.metrics.settling.Load() > 0 && ctx.Err() == nil {
		time.Sleep(tickPeriod)
	}
}

func (e *Edge) adopt(t *tree.Tree, l *fleet.List) {
	now := time.Now()
	e.trace.Add(now, trace.Event{Kind: trace.Adopted, Detail: feed.FormatRevisions(t, l)})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = l
	e.apply(router.Configured{Tree: t, List: l})
}

func (e *Edge) tick() {
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

func (e *Edge) step(v router.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(v)
}

// later applies an event after the one in progress.
func (e *Edge) later(v router.Event) {
	e.tasks.Go(func() { e.step(v) })
}

// apply steps the reducer. The lock is held.
func (e *Edge) apply(v router.Event) {
	for _, x := range e.router.Step(time.Now(), v) {
		e.run(x)
	}
}

// run carries out an effect. The lock is held.
func (e *Edge) run(x router.Effect) {
	switch x := x.(type) {
	case router.Accepted:
		e.pass(x.ID, x)
	case router.Head:
		e.pass(x.ID, x)
	case router.Write:
		e.pass(x.ID, x)
	case router.Finish:
		e.pass(x.ID, x)
		delete(e.sinks, x.ID)
	case router.Reserve:
		e.tasks.Go(func() { e.reserve(x, e.addressOf(x.VM)) })
	case router.Settle:
		e.metrics.settling.Add(1)
		a := e.list
		e.tasks.Go(func() { e.settle(x, a) })
	case router.OpenRun:
		e.metrics.opened.WithLabelValues(fleet.StageName(x.Ref.Stage)).Inc()
		e.startRun(x.Ref, x.VM, &wire.RunRequest{Kind: &wire.RunRequest_Open{Open: x.Open}})
	case router.ResumeRun:
		e.metrics.resumed.Inc()
		e.startRun(x.Ref, x.VM, &wire.RunRequest{Kind: &wire.RunRequest_Resume{Resume: x.Resume}})
	case router.FeedRun:
		e.send(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Feed{Feed: x.Feed}})
	case router.AckRun:
		e.send(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Ack{Ack: &wire.Ack{Offset: x.Offset}}})
	case router.StopRun:
		e.send(x.Ref, &wire.RunRequest{Kind: &wire.RunRequest_Stop{Stop: &wire.Stop{}}})
		if r := e.runs[x.Ref]; r != nil {
			r.end()
		}
	case router.Cancel:
		e.tasks.Go(func() { e.ask(x, e.addressOf(x.VM)) })
	case router.Trace:
		e.metrics.events.WithLabelValues(string(x.Event.Kind)).Inc()
		e.trace.Add(time.Now(), x.Event)
	}
}

func (e *Edge) pass(id router.RequestID, x router.Effect) {
	if s := e.sinks[id]; s != nil {
		s.put(x)
	}
}

func (e *Edge) send(f router.RunRef, m *wire.RunRequest) {
	if r := e.runs[f]; r != nil {
		r.put(m)
	}
}

// addressOf returns the address of a VM; an empty one fails to be dialled.
func (e *Edge) addressOf(vm string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, _ := e.list.VM(vm)
	return v.Address
}

func (e *Edge) reserve(x router.Reserve, address string) {
	a, err := link.Call(e.ctx, e.pool, address, link.Reserve, &wire.ReserveRequest{
		Request:   x.Name,
		Workspace: x.Workspace,
		Tokens:    x.Tokens,
		Partial:   true,
	})
	e.step(router.ReserveAnswered{ID: x.ID, VM: x.VM, Reply: a, Err: err})
}

// settle gives tokens back and repeats until it is confirmed.
func (e *Edge) settle(x router.Settle, l *fleet.List) {
	defer e.metrics.settling.Add(-1)
	v, _ := l.VM(x.VM)
	until := time.Now().Add(settleTerm)
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
		case <-time.After(settleRetry):
		case <-e.ctx.Done():
			return
		}
	}
	e.metrics.unsettled.Inc()
}

func (e *Edge) ask(x router.Cancel, address string) {
	a, err := link.Call(e.ctx, e.pool, address, link.Cancel, &wire.CancelRequest{
		Request:   x.Name,
		Attempt:   x.Attempt,
		AgeMicros: time.Since(x.Opened).Microseconds(),
	})
	e.step(router.CancelAnswered{ID: x.ID, VM: x.VM, Ran: a.GetRan(), Err: err})
}

// newName returns a name for a request that no other has.
func newName() string { return "r-" + rand.Text() }
