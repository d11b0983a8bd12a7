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
	// maxHeaderBytes bounds the head of a request in bytes, whatever the configuration allows.
	maxHeaderBytes = 256 << 10
	// clientTimeoutCheckPeriod is the time between two looks for callers who take too long.
	clientTimeoutCheckPeriod = 500 * time.Millisecond
	// traceEvents is the number of events in the time line.
	traceEvents = 500
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

	settings  Settings
	log       logrus.FieldLogger
	codec     calls.Codec
	metrics   *metrics
	mesh      *mesh.Mesh
	links     *link.Pool
	conns     *upconn.Pool
	http      *http.Server
	ctx       context.Context
	tasks     tasks.Group
	startedAt time.Time

	snapshot atomic.Pointer[snapshot]
	draining atomic.Bool
	// lastStoreAnswer is the instant at which the last call to the store began that was answered.
	lastStoreAnswer atomic.Int64
	// shutdown is the shutdown in progress, if there is one.
	shutdown       atomic.Pointer[shutdown]
	activeRequests atomic.Int64
	clients        *connTracker

	mu     sync.Mutex
	roster *roster.Roster
	// upstreams is the list of upstreams as it was last listed.
	upstreams *digest.Book
	picker    *picker.Picker
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
	retryBudgets      map[string]*budget.Budget
	subscriptions     map[string]*subscription
	// unsubscribed are the engines whose agents live and are left to other entries.
	unsubscribed map[string]bool
	engineStats  *engineStats
	storeLost    bool
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
		startedAt:         now,
		roster:            roster.New(),
		upstreams:         digest.New(),
		picker:            picker.New(s.DataCentre, uint64(now.UnixNano())),
		ownedBuckets:      limits.New(),
		standInBuckets:    limits.New(),
		localBuckets:      limits.New(),
		ownerBackoffUntil: map[string]time.Time{},
		endedIncarnations: map[string]int64{},
		retryBudgets:      map[string]*budget.Budget{},
		subscriptions:     map[string]*subscription{},
		unsubscribed:      map[string]bool{},
		engineStats:       newEngineStats(),
		clients:           newConnTracker(listeners[0]),
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
	p.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(p.updateSelf), mesh.WithAfterHeartbeat(p.membersChanged))
	stopMesh := p.mesh.Start()
	var stopOps []func()
	for _, l := range listeners[2:] {
		stopOps = append(stopOps, opsrv.Serve(l, p.metrics.registry, trace.NewLog(s.VM, traceEvents), p.Status))
	}
	p.http = &http.Server{
		Handler:        p,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      p.clients.trackState,
		ConnContext:    p.clients.connContext,
	}
	p.tasks.Go(func() { _ = p.http.Serve(p.clients) })
	p.tasks.Go(func() { _ = link.ServeMesh(ctx, listeners[1], nil, p) })
	p.tasks.Go(p.pollConfig)
	p.tasks.Go(p.enforceClientTimeouts)
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

// enforceClientTimeouts closes the connections of callers who take too long, until the entry ends.
func (p *Proxy) enforceClientTimeouts() {
	t := time.NewTicker(clientTimeoutCheckPeriod)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			var l rules.Limits
			if v := p.snapshot.Load(); v != nil {
				l = v.rules.Limits()
			}
			p.clients.closeOverdue(now, l)
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
	v := p.snapshot.Load()
	s := opsrv.Status{
		VM:          p.settings.VM,
		Program:     mesh.RoleEntry,
		DataCentre:  p.settings.DataCentre,
		Incarnation: uint64(p.startedAt.UnixNano()),
		Draining:    p.draining.Load(),
		Active:      int(p.activeRequests.Load()),
	}
	if v != nil {
		s.Revision = v.rules.Version()
		s.Ready = !s.Draining && v.isFresh(p.settings.ConfigMaxAge) && p.storeReachable()
	}
	return s
}

// SetSeeds replaces the members to begin from.
func (p *Proxy) SetSeeds(s []string) { p.mesh.SetSeeds(s) }

// Gossip answers a member.
func (p *Proxy) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return p.mesh.Gossip(ctx, q)
}

// updateSelf brings the entry's record up to date.
func (p *Proxy) updateSelf(self *wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self.Leaving = p.draining.Load()
}

// membersChanged takes in who is live.
func (p *Proxy) membersChanged() {
	p.updateSubscriptions(p.mesh.Live(mesh.RoleAgent))
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
