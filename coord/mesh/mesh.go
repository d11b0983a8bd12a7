// Package mesh runs the gossip membership protocol of package member over drpc.
package mesh

import (
	"context"
	"sync"
	"time"

	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/member"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
)

// Values of wire.Member.Role: an entry receives the requests of callers, an agent runs on the
// VM of an upstream.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Ping checks that the process at the other end of a connection replies to a gossip request
// without a sender.
func Ping(ctx context.Context, c drpc.Conn) error {
	_, err := wire.NewDRPCMeshClient(c).Gossip(ctx, &wire.GossipRequest{})
	return err
}

// Mesh keeps the records that a process holds of itself and of the other members, and
// exchanges them by gossip. A member is live if its heartbeats arrive and it isn't leaving, as
// described in package member. It is safe for concurrent use.
type Mesh struct {
	pool  *link.Pool
	log   logrus.FieldLogger
	tasks tasks.Group
	ctx   context.Context

	mu        sync.Mutex
	members   *member.Members
	startedAt time.Time
	// lastFence is the last fencing token that NextFence returned.
	lastFence int64
	// lastLive holds the names of the members that were live at the last heartbeat. Only the
	// heartbeat goroutine uses it.
	lastLive        map[string]bool
	beforeHeartbeat func(self *wire.Member)
	afterHeartbeat  func()
	// rumors are exchanged with each gossip.
	rumors Rumors
	// lastSpread is when urgent rumors were last passed on at once.
	lastSpread time.Time
}

// Rumors is what members learn from each other besides the members. It is called without the lock of the
// mesh.
type Rumors interface {
	// Report returns what any other member should know.
	Report(now time.Time) *wire.Rumors
	// Reply returns what the sender of a request should know, given what it reports itself.
	Reply(now time.Time, q *wire.Rumors) *wire.Rumors
	// Merge adds what another member knows. It reports whether others should hear of it at once.
	Merge(now time.Time, r *wire.Rumors) (urgent bool)
}

// noRumors is used by members that exchange none.
type noRumors struct{}

func (noRumors) Report(time.Time) *wire.Rumors              { return nil }
func (noRumors) Reply(time.Time, *wire.Rumors) *wire.Rumors { return nil }
func (noRumors) Merge(time.Time, *wire.Rumors) bool         { return false }

const (
	// spreadTargets is the number of members that hear urgent rumors at once.
	spreadTargets = 2
	// minSpreadInterval bounds how often rumors are passed on at once. Others go with the next heartbeat.
	minSpreadInterval = 100 * time.Millisecond
)

// Option configures a Mesh.
type Option func(*Mesh)

// WithBeforeHeartbeat calls f before each heartbeat to update the process's own record. The
// mesh is locked during the call: f must not call its methods.
func WithBeforeHeartbeat(f func(self *wire.Member)) Option {
	return func(m *Mesh) { m.beforeHeartbeat = f }
}

// WithAfterHeartbeat calls f after each heartbeat. The gossip that the heartbeat started may
// not have ended by then.
func WithAfterHeartbeat(f func()) Option { return func(m *Mesh) { m.afterHeartbeat = f } }

// WithRumors exchanges rumors with each gossip.
func WithRumors(r Rumors) Option { return func(m *Mesh) { m.rumors = r } }

// New returns the mesh of the process that the record self describes. Seeds are the addresses
// of members to contact first. Gossip begins when Start is called.
func New(self *wire.Member, seeds []string, p *link.Pool, l logrus.FieldLogger, opts ...Option) *Mesh {
	m := &Mesh{
		pool:            p,
		log:             l,
		members:         member.New(self, seeds, uint64(time.Now().UnixNano()) /* randSeed */),
		startedAt:       time.Now(),
		lastLive:        map[string]bool{},
		beforeHeartbeat: func(*wire.Member) {},
		afterHeartbeat:  func() {},
		rumors:          noRumors{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Start starts the heartbeats and returns a function that stops them.
func (m *Mesh) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m.ctx = ctx
	m.tasks.Go(m.run)
	return func() {
		cancel()
		m.tasks.Close()
	}
}

func (m *Mesh) run() {
	t := time.NewTicker(member.GossipInterval)
	defer t.Stop()
	for {
		m.heartbeat()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// heartbeat updates the process's own record, increments its beat counter and starts gossip
// with a few members.
func (m *Mesh) heartbeat() {
	m.mu.Lock()
	m.members.Update(m.beforeHeartbeat)
	targets := m.members.Heartbeat(time.Now())
	q := m.members.Request()
	m.mu.Unlock()
	m.gossipWithAll(targets, q)
	m.logChanges()
	m.afterHeartbeat()
}

// gossipWithAll starts gossip with the members at some addresses.
func (m *Mesh) gossipWithAll(addresses []string, q *wire.GossipRequest) {
	q.Rumors = m.rumors.Report(time.Now())
	for _, a := range addresses {
		m.tasks.Go(func() { m.gossipWith(a, q) })
	}
}

// Spread passes rumors on at once, to a few members. Those to whom they are news do the same.
func (m *Mesh) Spread() {
	now := time.Now()
	m.mu.Lock()
	if m.ctx == nil || now.Sub(m.lastSpread) < minSpreadInterval {
		m.mu.Unlock()
		return
	}
	m.lastSpread = now
	targets := m.members.RandomLive(now, spreadTargets)
	q := m.members.Request()
	m.mu.Unlock()
	m.gossipWithAll(targets, q)
}

// mergeRumors adds what another member knows and passes it on if it is urgent.
func (m *Mesh) mergeRumors(r *wire.Rumors) {
	if r != nil && m.rumors.Merge(time.Now(), r) {
		m.Spread()
	}
}

func (m *Mesh) gossipWith(address string, q *wire.GossipRequest) {
	r, err := link.Call(m.ctx, m.pool, address, link.Gossip, q)
	if err != nil {
		// Only at debug level: a member that stays silent is logged as lost.
		m.log.WithField("event", "gossip-failed").WithField("peer", address).WithError(err).Debug("gossip with a member failed")
		return
	}
	m.mu.Lock()
	m.members.HandleReply(time.Now(), r)
	m.mu.Unlock()
	m.mergeRumors(r.Rumors)
}

// logChanges logs the members that became live or were lost since the last heartbeat.
func (m *Mesh) logChanges() {
	live := map[string]bool{}
	for _, r := range []string{RoleEntry, RoleAgent} {
		for _, x := range m.Live(r) {
			live[x.Name] = true
		}
	}
	for n := range live {
		if !m.lastLive[n] {
			m.log.WithField("event", "member-live").WithField("member", n).Info("member is live")
		}
	}
	for n := range m.lastLive {
		if !live[n] {
			m.log.WithField("event", "member-lost").WithField("member", n).Info("member is no longer live")
		}
	}
	m.lastLive = live
}

// Gossip answers another member's gossip. A request without a sender is a ping.
func (m *Mesh) Gossip(_ context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	if q.Self == nil {
		return &wire.GossipReply{}, nil
	}
	a := m.handleRequest(q)
	m.mergeRumors(q.Rumors)
	a.Rumors = m.rumors.Reply(time.Now(), q.Rumors)
	return a, nil
}

// handleRequest merges the sender's record. The lock is released also if that panics, after which the
// process goes on; see link.ServeMesh.
func (m *Mesh) handleRequest(q *wire.GossipRequest) *wire.GossipReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.HandleRequest(time.Now(), q)
}

// Live returns the live members of a role, sorted by name, without the process itself.
func (m *Mesh) Live(role string) []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Live(time.Now(), role)
}

// CountKnown returns the number of known members of a role, live or not, without the process
// itself. A member that is no longer live is known until its record is dropped. See
// member.Members.CountKnown, which also counts seeds at first.
func (m *Mesh) CountKnown(role string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.CountKnown(role)
}

// Heard returns two counts of members of a role, without the process itself. The first, heard,
// counts those whose heartbeats arrive; unlike Live, it includes those that have announced that
// they are leaving. The second, missing, counts those whose heartbeats stopped without such an
// announcement. See member.Members.CountMissing, which also counts seeds at first.
func (m *Mesh) Heard(role string) (heard, missing int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.members.CountHeard(now, role), m.members.CountMissing(now, role)
}

// KnownNames returns the names of the known members of a role, live or not, without the process itself, sorted.
func (m *Mesh) KnownNames(role string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.KnownNames(role)
}

// HeardNames returns the names of the members of a role whose heartbeats arrive, without the process itself, sorted. It
// includes those that have announced that they are leaving.
func (m *Mesh) HeardNames(role string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.HeardNames(time.Now(), role)
}

// HasJoined reports whether the process has met most of its seeds. See member.Members.HasJoined.
func (m *Mesh) HasJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.HasJoined()
}

// Isolated reports whether the process knows other members but has lost contact with all
// of them.
func (m *Mesh) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Isolated(time.Now())
}

// Self returns a copy of the process's own record.
func (m *Mesh) Self() *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Self()
}

// NextFence returns a fencing token: the time of day in milliseconds, as it was at the start of
// the process, and the time since by the steady clock. So tokens grow with each call, over
// restarts, and from one process to another that takes over later. A jump of the time of day
// while the process runs doesn't change them.
func (m *Mesh) NextFence() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFence = max(m.lastFence+1, m.members.Self().Incarnation+time.Since(m.startedAt).Milliseconds())
	return m.lastFence
}

// SetSeeds replaces the addresses of members to contact first.
func (m *Mesh) SetSeeds(s []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.SetSeeds(s)
}
