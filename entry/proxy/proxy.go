// Package proxy implements the entry, the reverse proxy that callers, its HTTP clients, connect to.
// It authenticates and rate-limits each request, chooses an upstream and relays the answer. Streams
// run on model engines: the prompt is usually prefilled by one engine and the answer decoded by
// another, after the agent process beside that engine has granted a reservation. The decoding of
// one stream on an engine is called a run. All other requests are plain: they need no reservation
// and no separate prefill. The wire format of requests and answers is left to a calls.Codec.
package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/assign"
	"cranberrypoint.example/coord/budget"
	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/digest"
	"cranberrypoint.example/coord/evac"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/limits"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/opsrv"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/rumor"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// maxHeaderBytes limits the head of a request, whatever the configuration allows.
	maxHeaderBytes = 256 << 10
	// clientTimeoutCheckPeriod is the time between checks for overdue client connections.
	clientTimeoutCheckPeriod = 500 * time.Millisecond
	// traceEvents is the number of events kept in the trace log.
	traceEvents = 500
)

// Settings configure an entry.
type Settings struct {
	VM         string
	DataCentre string
	// Regions holds the region of each data centre; see SetRegions.
	Regions map[string]string
	// ClientAddress is the listen address of the HTTP server for callers.
	ClientAddress string
	// OpsAddress is the listen address of readiness, metrics and status.
	OpsAddress string
	// MetricsAddress is a second listen address of metrics and status; empty for none.
	MetricsAddress string
	// PeerAddress is the listen address of the drpc server for other entries and agents.
	PeerAddress string
	// Capacity is the relative size of this VM: its configured CPU share in thousandths.
	Capacity int32
	// Seeds are the addresses of members that are contacted first.
	Seeds []string
	// ConfigMaxAge is the age up to which a configuration may authenticate keys; 0 for any.
	ConfigMaxAge time.Duration
	// ConfigApplyTime is the time within which a new configuration must be in force; 0 for none. One that is older
	// doesn't say that there is no route.
	ConfigApplyTime time.Duration
	// RetryBudget limits the extra sends to a service.
	RetryBudget budget.Config
	// FirstStart is true if no earlier run of this process can have sent anything.
	FirstStart bool
	// RegistrationLapse is the time after which the store drops the registration of a silent
	// upstream; 0 for a default.
	RegistrationLapse time.Duration
	// LimitOverage is by how much grants may exceed a workspace's rate limit, as a fraction of
	// the rate.
	LimitOverage float64
	// LimitOverdraft is a fixed number of tokens by which grants may exceed the limit in
	// addition.
	LimitOverdraft int64
	// ColdBound is by how much all entries may exceed the limits of cold upstreams; zero for a default.
	ColdBound pacer.Bound
	// Intake are the limits of what callers may make this entry hold; zero for defaults.
	Intake intake.Limits
	Store  calls.Store
	Codec  calls.Codec
	// EngineCodec is for engines without an agent, which this entry may manage.
	EngineCodec calls.EngineCodec
	Log         logrus.FieldLogger
}

// Proxy is a running entry. It implements http.Handler and the mesh RPCs.
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
	// startInstant is startedAt on the clock that counts suspensions.
	startInstant clock.Instant

	snapshot atomic.Pointer[snapshot]
	// regions holds the region of each data centre.
	regions  atomic.Pointer[map[string]string]
	draining atomic.Bool
	// learning is true while a newer configuration is being fetched from another entry.
	learning atomic.Bool
	// lastOldReply is the clock.Instant at which another entry last said that its data is old.
	lastOldReply atomic.Int64
	// fetching holds the addresses of the entries to which a List call is on its way.
	fetching sync.Map
	// readingStore is true while the store is being read, which only one goroutine may do.
	readingStore atomic.Bool
	// lastStoreCall is the clock.Instant at which the last store call that succeeded began.
	lastStoreCall atomic.Int64
	// shutdown is nil unless a shutdown is in progress.
	shutdown       atomic.Pointer[shutdown]
	signals        drainSignals
	activeRequests atomic.Int64
	clientConns    *connTracker
	// intake bounds what callers make this entry hold.
	intake *intake.Guard
	// coldShares are those of the limits of cold upstreams as of the last heartbeat.
	coldShares atomic.Pointer[coldShares]
	// stoppedAccepting is closed once no more connections of callers are accepted.
	stoppedAccepting chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// olderRulesEpoch is the epoch, plus one, in which a configuration older than the one in
	// force was last logged; 0 for none.
	olderRulesEpoch uint64
	// upstreams is the most recently adopted list of upstreams.
	upstreams *digest.VersionedList
	picker    *picker.Picker
	// costs is the work of plain requests, as learned from answers.
	costs *cost.Table
	// ownedBuckets are the rate limit buckets that this entry owns, standInBuckets those from
	// which it grants in place of an owner, and localBuckets those that it uses if no owner
	// answers.
	ownedBuckets   *limits.Limiter
	standInBuckets *limits.Limiter
	localBuckets   *limits.Limiter
	// prefetched are tokens that were taken from owners in advance for small requests.
	prefetched limits.Prefetched
	// hasQuorum is false while this entry hears too few others to grant as an owner.
	hasQuorum bool
	// ownerBackoffUntil holds the time until which an owner that did not answer is skipped.
	ownerBackoffUntil map[string]time.Time
	// endedIncarnations holds the incarnations of owners that refused a connection, which means
	// that they have ended.
	endedIncarnations map[string]int64
	retryBudgets      map[string]*budget.Budget
	subscriptions     map[string]*subscription
	// unsubscribed holds the addresses of engines whose managers are live, but not selected for
	// a subscription. They are left to other entries.
	unsubscribed map[string]bool
	engineStats  *engineStats
	// assigner chooses the managers of agentlessEngines, the engines that have no agent. Those
	// that this entry manages are in managed, by instance.
	assigner         *assign.Assigner
	agentlessEngines []roster.Upstream
	managed          map[string]*managedEngine
	// pauses holds the upstreams that have asked for a pause.
	pauses *pause.Table
	// leaving holds the upstreams that have told this entry that they leave, and heardLeaving
	// those that have told others. leaving has the time until which that is passed on.
	leaving      map[string]time.Time
	heardLeaving map[string]hearsay
	// invalidHeaderLogFrom is when the next header that can't be understood is logged.
	invalidHeaderLogFrom time.Time
	// storeBackoff is set by store calls that failed.
	storeBackoff backoff
	storeLost    bool
	// loggedLimits holds the limits, in requests a second, that upstreams were last seen to name.
	loggedLimits map[string]float64
	// starts holds when the upstreams that were ever listed started, by instance.
	starts map[string]int64
	// broken holds requests whose upstreams may have ended.
	broken []brokenOff
	// streams holds the streams in progress that may be taken up again.
	streams map[*exchange]liveStream
	// returnedAt holds when data centres were last taken back after an evacuation.
	returnedAt map[string]time.Time
	// sendsTo counts the sends of this entry that haven't ended, by data centre.
	sendsTo map[string]int
	// The others have locks of their own. origins holds where streams began, versions which versions the
	// upstreams of a service have had.
	poison   *poison.Table
	pacer    *pacer.Table
	fleet    pacer.Fleet
	origins  *origin.Table
	versions *origin.History
	evac     *evac.Table
	// shares holds what is needed to share places and slots among workspaces.
	shares shares
}

// Start runs an entry. The returned function stops it at once; see Drain for a graceful shutdown.
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
		startInstant:      clock.Now(),
		roster:            roster.New(rosterOptions(s)...),
		upstreams:         digest.New(),
		picker:            picker.New(s.DataCentre, uint64(now.UnixNano())),
		costs:             cost.NewTable(),
		ownedBuckets:      limits.New(),
		standInBuckets:    limits.New(),
		localBuckets:      limits.New(),
		ownerBackoffUntil: map[string]time.Time{},
		endedIncarnations: map[string]int64{},
		retryBudgets:      map[string]*budget.Budget{},
		subscriptions:     map[string]*subscription{},
		unsubscribed:      map[string]bool{},
		engineStats:       newEngineStats(),
		assigner:          assign.New(),
		managed:           map[string]*managedEngine{},
		pauses:            pause.New(),
		leaving:           map[string]time.Time{},
		heardLeaving:      map[string]hearsay{},
		loggedLimits:      map[string]float64{},
		starts:            map[string]int64{},
		stoppedAccepting:  make(chan struct{}),
		signals:           newDrainSignals(),
		poison:            poison.New(),
		origins:           origin.NewTable(),
		versions:          origin.NewHistory(),
		evac:              evac.New(),
		streams:           map[*exchange]liveStream{},
		returnedAt:        map[string]time.Time{},
		sendsTo:           map[string]int{},
	}
	p.settings.Intake = cmp.Or(s.Intake, intake.LimitsFor(0, 0))
	p.guardCallers(listeners[0])
	p.settings.ColdBound = cmp.Or(s.ColdBound, pacer.DefaultBound)
	p.pacer = pacer.New(p.limitShare, pacer.WithColdShare(p.coldShare))
	p.SetRegions(s.Regions)
	var closeConns func()
	p.conns, closeConns = upconn.NewPool(p.metrics.connections.Inc, upconn.WithMaxTotal(p.settings.Intake.UpstreamConns))
	self := &wire.Member{
		Name:        s.VM,
		Role:        mesh.RoleEntry,
		Capacity:    s.Capacity,
		DataCentre:  s.DataCentre,
		Address:     s.PeerAddress,
		Incarnation: now.UnixMilli(),
	}
	p.mesh = mesh.New(self, s.Seeds, links, s.Log, mesh.WithBeforeHeartbeat(p.updateSelf),
		mesh.WithAfterHeartbeat(p.afterHeartbeat), mesh.WithRumors(rumor.Rumors{Poison: p.poison, Pacer: p.pacer, Evac: p.evac, Versions: p.versions, ReadsStore: true}))
	stopMesh := p.mesh.Start()
	var stopOps []func()
	for _, l := range listeners[2:] {
		stopOps = append(stopOps, opsrv.Serve(l, p.metrics.registry, trace.NewLog(s.VM, traceEvents), p.Status))
	}
	p.http = &http.Server{
		Handler:        frame.Handler(p),
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      p.trackConn,
		ConnContext:    p.clientConns.connContext,
	}
	p.tasks.Go(p.serveCallers)
	p.tasks.Go(func() { _ = link.ServeMesh(ctx, listeners[1], nil, p) })
	p.tasks.Go(p.pollConfig)
	p.tasks.Go(p.enforceClientTimeouts)
	p.tasks.Go(func() { p.intake.Run(ctx) })
	return p, func() {
		_ = p.http.Close()
		cancel()
		for _, f := range stopOps {
			f()
		}
		stopMesh()
		p.stopManagers()
		closeLinks()
		closeConns()
		p.tasks.Close()
	}, nil
}

// serveCallers accepts connections of callers until the listener is closed.
func (p *Proxy) serveCallers() {
	defer close(p.stoppedAccepting)
	_ = p.http.Serve(p.clientConns)
}

func rosterOptions(s Settings) (opts []roster.Option) {
	if s.RegistrationLapse > 0 {
		opts = append(opts, roster.WithLapse(s.RegistrationLapse))
	}
	return opts
}

// enforceClientTimeouts closes overdue client connections until the entry ends.
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
			p.clientConns.closeOverdue(now, l)
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

// Status returns the status for operators.
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
		// The status names the version of the configuration, not the snapshot's revision.
		s.Revision = v.rules.Version()
		s.Ready = !s.Draining && v.isFresh(p.settings.ConfigMaxAge) && v.knowsEvacuations() && p.storeReachable() && !p.lagsBehind(v)
	}
	return s
}

// SetSeeds replaces the addresses of members that are contacted first.
func (p *Proxy) SetSeeds(s []string) { p.mesh.SetSeeds(s) }

// Gossip answers the gossip of another member.
func (p *Proxy) Gossip(ctx context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	return p.mesh.Gossip(ctx, q)
}
