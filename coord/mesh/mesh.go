// Package mesh runs the membership reducer of a process over drpc.
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

// Roles of members.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Ping checks an idle connection of the mesh protocol.
func Ping(ctx context.Context, c drpc.Conn) error {
	_, err := wire.NewDRPCMeshClient(c).Gossip(ctx, &wire.GossipRequest{})
	return err
}

// Mesh is the membership of a running process.
type Mesh struct {
	pool  *link.Pool
	log   logrus.FieldLogger
	tasks tasks.Group
	ctx   context.Context

	mu      sync.Mutex
	members *member.Members
	live    map[string]bool
	refresh func(self *wire.Member)
	changed func()
}

// Option changes a mesh.
type Option func(*Mesh)

// WithBeforeHeartbeat calls f before each heartbeat to bring the own record up to date.
func WithBeforeHeartbeat(f func(self *wire.Member)) Option { return func(m *Mesh) { m.refresh = f } }

// WithAfterHeartbeat calls f after each heartbeat.
func WithAfterHeartbeat(f func()) Option { return func(m *Mesh) { m.changed = f } }

// New returns the membership of a process, which begins with Start.
func New(self *wire.Member, seeds []string, p *link.Pool, l logrus.FieldLogger, opts ...Option) *Mesh {
	m := &Mesh{
		pool:    p,
		log:     l,
		members: member.New(self, seeds, uint64(time.Now().UnixNano())),
		live:    map[string]bool{},
		refresh: func(*wire.Member) {},
		changed: func() {},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Start begins to exchange with others and returns a function that ends it.
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
		m.beat()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Mesh) beat() {
	m.mu.Lock()
	m.members.Update(m.refresh)
	targets := m.members.Heartbeat(time.Now())
	q := m.members.Request()
	m.mu.Unlock()
	for _, a := range targets {
		m.tasks.Go(func() { m.exchange(a, q) })
	}
	m.tell()
	m.changed()
}

func (m *Mesh) exchange(address string, q *wire.GossipRequest) {
	a, err := link.Call(m.ctx, m.pool, address, link.Gossip, q)
	if err != nil {
		// A peer that doesn't answer shows in the list of live members.
		m.log.WithField("event", "gossip-failed").WithField("peer", address).WithError(err).Debug("gossip")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.HandleReply(time.Now(), a)
}

// tell logs who came and who went.
func (m *Mesh) tell() {
	now := map[string]bool{}
	for _, r := range []string{RoleEntry, RoleAgent} {
		for _, x := range m.Live(r) {
			now[x.Name] = true
		}
	}
	for n := range now {
		if !m.live[n] {
			m.log.WithField("event", "member-live").WithField("member", n).Info("member")
		}
	}
	for n := range m.live {
		if !now[n] {
			m.log.WithField("event", "member-lost").WithField("member", n).Info("member")
		}
	}
	m.live = now
}

// Gossip answers a peer. A request without a sender is a ping.
func (m *Mesh) Gossip(_ context.Context, q *wire.GossipRequest) (*wire.GossipReply, error) {
	if q.Self == nil {
		return &wire.GossipReply{}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.HandleRequest(time.Now(), q), nil
}

// Live returns the live members of a role, without the process itself.
func (m *Mesh) Live(role string) []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Live(time.Now(), role)
}

// Recent returns the number of members of a role heard of lately, dead or alive, without
// the process itself.
func (m *Mesh) Recent(role string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.CountRecent(role)
}

// Heard returns the number of members of a role that are heard, leaving ones included, and
// of those that fell silent without having said that they leave, without the process itself.
func (m *Mesh) Heard(role string) (heard, missing int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.members.CountHeard(now, role), m.members.CountMissing(now, role)
}

// Isolated reports whether the process hears none of the members that it knows.
func (m *Mesh) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Isolated(time.Now())
}

// Self returns the process's own record.
func (m *Mesh) Self() *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Self()
}

// SetSeeds replaces the addresses to begin from.
func (m *Mesh) SetSeeds(s []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.SetSeeds(s)
}
