// Package proxy is the entry that speaks to upstreams itself: it takes callers' requests
// through keys, limits, the choice of upstreams and the relay of the answer. What the
// messages look like on the wire is a codec's matter.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/budget"
	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/limits"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// maxHeader bounds the head of a request in bytes, whatever the configuration allows.
	maxHeader = 256 << 10
	// overduePeriod is the time between two looks for callers who take too long.
	overduePeriod = 500 * time.Millisecond
	// traceSize is the number of events in the time line.
	traceSize = 500
)

// Settings are those of an entry.
type Settings struct {
	VM         string
	DataCentre string
	// ClientAddress is the address of the callers' HTTP server.
	ClientAddress string
	// OpsAddress is the address of readiness, and of metrics and status.
	OpsAddress string
	// MetricsAddress is a further address of metrics and status; empty for none.
	MetricsAddress string
	// PeerAddress is the address of the drpc server.
	PeerAddress string
	// Capacity is the processor share of this VM in thousandths.
	Capacity int32
	// Seeds are addresses of members to begin from.
	Seeds []string
	// ConfigMaxAge is how long a configuration that was read proves that a key is granted.
	ConfigMaxAge time.Duration
	// RetryBudget bound the extra sends to a service.
	RetryBudget budget.Config
	// LimitOverage is the part of a rate that operators tolerate beyond it.
	LimitOverage float64
	// LimitOverdraft is the overdraft in tokens that operators tolerate.
	LimitOverdraft int64
	Store          calls.Store
	Codec          calls.Codec
	Log            logrus.FieldLogger
}

// Proxy is a running entry.
type Proxy struct {
	wire.DRPCMeshUnimplementedServer

	settings Settings
	log      logrus.FieldLogger
	codec    calls.Codec
	metrics  *metrics
	mesh     *mesh.Mesh
	links    *link.Pool
	conns    *upconn.Pool
	http     *http.Server
	ctx      context.Context
	tasks    tasks.Group
	born     time.Time

	view     atomic.Pointer[view]
	draining atomic.Bool
	// reached is the instant at which the last call to the store began that was answered.
	reached atomic.Int64
	// stop is the stop in progress, if there is one.
	stop    atomic.Pointer[stop]
	active  atomic.Int64
	callers *callers

	mu     sync.Mutex
	roster *roster.Roster
	// book is the list of upstreams as it was last listed.
	book   *digest.Book
	picker *picker.Picker
	// ownedBuckets are the buckets that this entry owns, standIns those that it grants from in place
	// of an owner, alone those of its own.
	ownedBuckets   *limits.Limiter
	standInBuckets *limits.Limiter
	localBuckets   *limits.Limiter
	prefetched     limits.Prefetched
	// hasQuorum is false while this entry hears too few others to grant as an owner.
	hasQuorum bool
	// ownerBackoffUntil are the owners that don't answer, until when they aren't asked.
	ownerBackoffUntil map[string]time.Time
	// endedIncarnations are the incarnations of owners that endedIncarnations a connection: they have ended.
	endedIncarnations map[string]int64
	budgets           map[string]*budget.Budget
	followed          map[string]*follower
	// unfollowed are the engines whose agents live and are left to other entries.
	unfollowed map[string]bool
	engines    *engines
	storeLost  bool
}

// Start runs an entry and returns it with a function that stops it at once.
func Start(s Settings) (p *Proxy, stop func(), err error) {
	defer fault.Annotate(&err, "start entry %s", s.VM)
	addresses := []string{s.ClientAddress, s.PeerAddress, s.OpsAddress}
	if s.MetricsAddress != "" {
		addresses = append(addresses, s.MetricsAddress)
	}
	listeners, err := listen(addresses...)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	links, closeLinks := link.NewPool(nil, link.WithPing(mesh.Ping))
	p = &Proxy{
		settings:          s,
		log:               s.Log,
		codec:             s.Codec,
		metrics:           newMetrics(),
		links:             links,
		ctx:               ctx,
		born:              now,
		roster:            roster.New(),
		book:              digest.New(),
		picker:            picker.New(s.DataCentre, uint64(now.UnixNano())),
		ownedBuckets:      limits.New(),
		standInBuckets:    limits.New(),
		localBuckets:      limits.New(),
		ownerBackoffUntil: map[string]time.Time{},
		endedIncarnations: map[string]int64{},
		budgets:           map[string]*budget.Budget{},
		followed:          map[string]*follower{},
		unfollowed:        map[string]bool{},
		engines:           newEngines(),
		callers:           newCallers(listeners[0]),
	}
	var closeConns func()
	p.conns, closeConns = upconn.NewPool(p.metrics.connections.Inc)
	self := &wire.Member{
		Name:        s.VM,
		Role:        mesh.RoleEntry,
		Capacity:    s.Capacity,
		DataCentre:  s.DataCentre,
		Address:     s.PeerAddress,
		Incarnation: now.UnixMilli(),
	}
	p.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(p.refresh), mesh.WithAfterHeartbeat(p.meet))
	stopMesh := p.mesh.Start()
	var stopOps []func()
	for _, l := range listeners[2:] {
		stopOps = append(stopOps, opsrv.Serve(l, p.metrics.registry, trace.NewLog(s.VM, traceSize), p.Status))
	}
	p.http = &http.Server{
		Handler:        p,
		MaxHeaderBytes: maxHeader,
		ConnState:      p.callers.track,
		ConnContext:    p.callers.context,
	}
	p.tasks.Go(func() { _ = p.http.Serve(p.callers) })
	p.tasks.Go(func() { _ = link.ServeMesh(ctx, listeners[1], nil, p) })
	p.tasks.Go(p.watch)
	p.tasks.Go(p.limitCallers)
	return p, func() {
		_ = p.http.Close()
		cancel()
		for _, f := range stopOps {
			f()
		}
		stopMesh()
		closeLinks()
		closeConns()
		p.tasks.Close()
	}, nil
}

// limitCallers closes the connections of callers who take too long, until the entry ends.
func (p *Proxy) limitCallers() {
	t := time.NewTicker(overduePeriod)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			var l rules.Limits
			if v := p.view.Load(); v != nil {
				l = v.rules.Limits()
			}
			p.callers.closeOverdue(now, l)
		case <-p.ctx.Done():
			return
		}
	}
}

func listen(addresses ...string) (l []net.Listener, err error) {
	defer fault.Annotate(&err, "listen")
	for _, a := range addresses {
		s, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range l {
				_ = o.Close()
			}
			return nil, err
		}
		l = append(l, s)
	}
	return l, nil
}

// Status tells what the entry is doing.
func (p *Proxy) Status() opsrv.Status {
	v := p.view.Load()
	s := opsrv.Status{
		VM:          p.settings.VM,
		Program:     mesh.RoleEntry,
		DataCentre:  p.settings.DataCentre,
		Incarnation: uint64(p.born.UnixNano()),
		Draining:    p.draining.Load(),
		Active:      int(p.active.Load()),
	}
	if v != nil {
		s.Revision = v.rules.Version()
		s.Ready = !s.Draining && v.fresh(p.settings.ConfigMaxAge) && p.connected()
	}
	return s
}

// SetSeeds replaces the members to begin from.
func (p *Proxy) SetSeeds(s []string) { p.mesh.SetSeeds(s) }

// Gossip answers a member.
func (p *Proxy) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return p.mesh.Gossip(ctx, q)
}

// refresh brings the entry's record up to date.
func (p *Proxy) refresh(self *wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self.Leaving = p.draining.Load()
}

// meet takes in who is live.
func (p *Proxy) meet() {
	p.follow(p.mesh.Live(mesh.RoleAgent))
	live := p.mesh.Live(mesh.RoleEntry)
	heard, missing := p.mesh.Heard(mesh.RoleEntry)
	owns := limits.HasQuorum(1+heard, missing) && !p.mesh.Isolated()
	p.mu.Lock()
	defer p.mu.Unlock()
	if owns != p.hasQuorum {
		p.log.WithFields(logrus.Fields{"event": "owning", "owns": owns, "heard": heard, "missing": missing}).Info("limit")
	}
	if p.hasQuorum && !owns {
		p.ownedBuckets, p.standInBuckets = limits.New(), limits.New()
	}
	p.hasQuorum = owns
	p.dropUnownedBuckets(live)
}
