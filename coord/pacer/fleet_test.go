package pacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/member"
	"cranberrypoint.example/coord/wire"
)

// mostOfOne is how often a second a process tries to send. One whose share is just below that misses every second time.
const mostOfOne = 25.0

// meetTime is the time in which processes that start all at once meet. A partition before that leaves views of which nobody
// knows how much is missing.
const meetTime = 3 * time.Second

// role is that of all processes of a fleet.
const role = "entry"

// sender is a process that sends to a cold upstream as much as it may.
type sender struct {
	members *member.Members
	fleet   *Fleet
	table   *Table
}

// senders is a fleet on a network.
type senders struct {
	net       *fake.Net
	bound     Bound
	perSecond float64
	byName    map[string]*sender
	names     []string
	// seeds are the first three.
	seeds []string
	// side is the part of a partition that a process is in.
	side map[string]int
	// lives counts starts, for incarnations.
	lives int64
	sent  []time.Time
}

func newSenders(seed uint64, n int, perSecond float64, b Bound) *senders {
	s := &senders{
		net:   fake.New(seed, fake.Faults{Loss: 0.03, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}),
		bound: b, perSecond: perSecond, byName: map[string]*sender{}, side: map[string]int{},
	}
	s.net.Partitioned = func(from, to string) bool { return s.side[from] != s.side[to] }
	for i := range n {
		if i < 3 {
			s.seeds = append(s.seeds, fmt.Sprintf("p-%02d", i))
		}
	}
	for range n {
		s.join()
	}
	return s
}

// join starts another process.
func (s *senders) join() {
	n := fmt.Sprintf("p-%02d", len(s.names))
	s.names = append(s.names, n)
	s.start(n)
}

// start starts a process, or starts it again.
func (s *senders) start(n string) {
	s.net.Restart(n)
	s.lives++
	x := &sender{fleet: &Fleet{}}
	x.members = member.New(&wire.Member{Name: n, Role: role, Address: n, Incarnation: s.lives}, s.seeds, s.net.Rand.Uint64())
	x.table = New(NoShare, WithColdShare(func(instance string, perSecond float64) float64 {
		if !x.fleet.MaySend(s.net.Now()) {
			return 0
		}
		return s.bound.Share(instance, perSecond, n, append(x.members.KnownNames(role), n))
	}))
	s.byName[n] = x
	s.every(n, s.net.Restarts(n), member.GossipInterval, s.gossip)
	s.every(n, s.net.Restarts(n), time.Second/time.Duration(mostOfOne), s.send)
}

// every calls f for a process until it starts again.
func (s *senders) every(n string, life uint64, d time.Duration, f func(n string)) {
	s.net.After(d, func() {
		if s.net.Restarts(n) != life {
			return
		}
		s.every(n, life, d, f)
		if !s.net.Frozen(n) {
			f(n)
		}
	})
}

// gossip is a heartbeat, after which the process looks at the others.
func (s *senders) gossip(n string) {
	x, life := s.byName[n], s.net.Restarts(n)
	for _, to := range x.members.Heartbeat(s.net.Now()) {
		q := x.members.Request()
		s.net.Send(n, to, func() {
			if s.byName[to] == nil {
				return
			}
			a := s.byName[to].members.HandleRequest(s.net.Now(), q)
			s.net.Send(to, n, func() {
				if s.net.Restarts(n) == life {
					x.members.HandleReply(s.net.Now(), a)
				}
			})
		})
	}
	now := s.net.Now()
	x.fleet.Observe(now, View{
		Heard: x.members.HeardNames(now, role), Joined: x.members.HasJoined(), Isolated: x.members.Isolated(now),
	})
}

// send sends one request if the process may. Its upstream stays cold.
func (s *senders) send(n string) {
	now := s.net.Now()
	t := s.byName[n].table
	t.ObserveCold(now, "u", ColdReport{Source: SourceRegistration, PerSecond: s.perSecond, Remaining: 10 * time.Second, AsOf: now})
	if t.Take(now, "u") {
		s.sent = append(s.sent, now)
	}
}

// breakOne does one of the things that befall processes. Partitions stay until the next repair.
func (s *senders) breakOne(r *rand.Rand) {
	n := s.names[r.IntN(len(s.names))]
	switch r.IntN(8) {
	case 0:
		s.join()
	case 1:
		s.net.Freeze(n)
	case 2:
		s.start(n)
	case 3:
		for _, n := range s.names {
			s.start(n)
		}
		s.net.Run(meetTime)
	case 4:
		s.side[n] = 1 + len(s.names)
	case 5, 6:
		for _, n := range s.names {
			s.side[n] = r.IntN(2)
		}
	case 7:
		clear(s.side)
		for _, n := range s.names {
			s.net.Thaw(n)
		}
	}
}

// most returns the largest number of requests within a second.
func (s *senders) most() (most int) {
	slices.SortFunc(s.sent, time.Time.Compare)
	first := 0
	for i, at := range s.sent {
		for at.Sub(s.sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdUpstreamGetsLittle replays a cold upstream that all processes of a fleet press to the utmost, while they
// join, die, are suspended, partitioned and restarted, also all at once. Over each second it must get no
// more than the bound, and once all has been well for a while, most of what it takes.
func TestColdUpstreamGetsLittle(t *testing.T) {
	for seed := range uint64(fake.Checks(60)) {
		r := rand.New(rand.NewPCG(seed, 7))
		b := Bound{Overage: 1 + r.Float64(), Slack: float64(1 + r.IntN(8))}
		s := newSenders(seed, 1+r.IntN(18), 0.5+80*r.Float64()*r.Float64(), b)
		s.net.Run(meetTime + time.Duration(r.IntN(6000))*time.Millisecond)
		for range 8 {
			s.breakOne(r)
			s.net.Run(time.Duration(r.IntN(12000)) * time.Millisecond)
		}
		clear(s.side)
		for _, n := range s.names {
			s.net.Thaw(n)
		}
		s.net.Run(20 * time.Second)
		before := len(s.sent)
		s.net.Run(10 * time.Second)
		if n, least := len(s.sent)-before, int(0.7*10*min(s.perSecond, mostOfOne/2*float64(len(s.names))))-1; n < least {
			t.Errorf("seed %d: %d processes sent %d requests in 10 s under a limit of %.2f a second, want %d or more", seed, len(s.names), n, s.perSecond, least)
		}
		if n, allowed := s.most(), int(s.perSecond*b.Overage+b.Slack); n > allowed {
			t.Errorf("seed %d: %d processes sent %d requests within a second under a limit of %.2f, want at most %d", seed, len(s.names), n, s.perSecond, allowed)
		}
	}
}
