// Package member is the reducer by which processes find each other without a list: each
// knows a few addresses to begin from, and all pass on what they heard of others.
//
// A record belongs to the process that it describes, which alone makes it newer: by its
// incarnation, and within that by its beat. A process counts as live while its beat is
// seen to advance, by the clock of whoever looks; no clock is compared with another's.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// GossipInterval is the time between two heartbeats and exchanges.
	GossipInterval = 400 * time.Millisecond
	// leastSilence is the time without a new beat after which a member counts as dead, in a fleet
	// whose records all fit into a message.
	leastSilence = 3 * time.Second
	// forgetFactor is how many silences pass until a record is dropped. Others tell of it no
	// more by then; one that was dropped earlier would come back as new.
	forgetFactor = 3
	// MaxRecordsPerMessage bounds the records in a message, so that the bytes of an exchange don't
	// grow with the fleet.
	MaxRecordsPerMessage = 60
	// rounds is how often every record must have had its turn before one is missed.
	rounds = 24
	// isolation is the time without any exchange after which a process counts as cut off.
	isolation = 900 * time.Millisecond
	// seedOdds is one in how many exchanges goes to a seed although members are known:
	// parts that formed apart find each other by it.
	seedOdds = 5
)

type known struct {
	record   *wire.Member
	advanced time.Time
}

// Members is the reducer. Use New.
type Members struct {
	self  *wire.Member
	seeds []string
	rand  *rand.Rand
	all   map[string]*known
	// names are those of all, in order.
	names []string
	// turn is where the next sample begins.
	turn int
	// contact is when a member was last heard itself.
	contact time.Time
	// beats is the number of heartbeats of this life.
	beats int
}

// New returns the members as known to a process that starts.
func New(self *wire.Member, seeds []string, seed uint64) *Members {
	return &Members{
		self:  proto.CloneOf(self),
		seeds: seeds,
		rand:  rand.New(rand.NewPCG(seed, seed)),
		all:   map[string]*known{},
	}
}

// SetSeeds replaces the addresses to begin from.
func (m *Members) SetSeeds(s []string) { m.seeds = s }

// Update changes the process's own record.
func (m *Members) Update(f func(self *wire.Member)) {
	f(m.self)
	m.self.Beat++
}

// Self returns a copy of the process's own record.
func (m *Members) Self() *wire.Member { return proto.CloneOf(m.self) }

// Heartbeat makes the own record newer, forgets the dead and returns the addresses to
// exchange with.
func (m *Members) Heartbeat(now time.Time) (targets []string) {
	m.self.Beat++
	m.beats++
	var live []string
	for n, k := range m.all {
		switch {
		case now.Sub(k.advanced) > forgetFactor*m.silence():
			m.forget(n)
		case m.live(now, k):
			live = append(live, k.record.Address)
		}
	}
	slices.Sort(live)
	if len(live) > 0 {
		targets = append(targets, live[m.rand.IntN(len(live))])
	}
	if s := m.seed(); s != "" && (len(live) == 0 || m.rand.IntN(seedOdds) == 0) {
		targets = append(targets, s)
	}
	return targets
}

func (m *Members) forget(name string) {
	delete(m.all, name)
	if i, ok := slices.BinarySearch(m.names, name); ok {
		m.names = slices.Delete(m.names, i, i+1)
	}
}

// others returns the seeds without the process itself.
func (m *Members) others() []string {
	return slices.DeleteFunc(slices.Clone(m.seeds), func(a string) bool { return a == m.self.Address })
}

// unmet returns the number of seeds of which a process that started lately, and has met
// nobody, knows nothing: it may have started behind a cut.
func (m *Members) unmet() int {
	if !m.contact.IsZero() || time.Duration(m.beats)*GossipInterval > forgetFactor*leastSilence {
		return 0
	}
	return len(m.others())
}

// seed returns a random seed that isn't the process itself.
func (m *Members) seed() string {
	others := m.others()
	if len(others) == 0 {
		return ""
	}
	return others[m.rand.IntN(len(others))]
}

func (m *Members) live(now time.Time, k *known) bool {
	return !k.record.Leaving && now.Sub(k.advanced) <= m.silence()
}

// silence returns the time without a new beat after which a member counts as dead. A
// message carries a part of the records of a large fleet, so news comes more seldom there.
func (m *Members) silence() time.Duration {
	if len(m.all) <= MaxRecordsPerMessage {
		return leastSilence
	}
	return max(leastSilence, GossipInterval*time.Duration(rounds*len(m.all)/MaxRecordsPerMessage))
}

// Request returns what to send to a peer.
func (m *Members) Request() *wire.GossipRequest {
	q := &wire.GossipRequest{Self: proto.CloneOf(m.self)}
	for _, n := range m.sample() {
		r := m.all[n].record
		q.Seen = append(q.Seen, &wire.Seen{Name: n, Incarnation: r.Incarnation, Beat: r.Beat})
	}
	return q
}

// sample returns the names of up to MaxRecords members, all in turn.
func (m *Members) sample() []string {
	n := len(m.names)
	if n <= MaxRecordsPerMessage {
		return m.names
	}
	from := m.turn % n
	m.turn = from + MaxRecordsPerMessage
	if from+MaxRecordsPerMessage <= n {
		return m.names[from : from+MaxRecordsPerMessage]
	}
	return slices.Concat(m.names[from:], m.names[:from+MaxRecordsPerMessage-n])
}

// HandleRequest takes in a peer's request and returns the records that the peer lacks.
func (m *Members) HandleRequest(now time.Time, q *wire.GossipRequest) *wire.GossipReply {
	if q.Self != nil {
		m.contact = now
		m.take(now, q.Self)
	}
	held := make(map[string]*wire.Seen, len(q.Seen))
	for _, s := range q.Seen {
		held[s.Name] = s
	}
	a := &wire.GossipReply{Members: []*wire.Member{proto.CloneOf(m.self)}}
	for _, n := range m.sample() {
		k := m.all[n]
		s := held[n]
		if n == q.Self.GetName() || now.Sub(k.advanced) > m.silence() || s != nil && !newer(k.record, s.Incarnation, s.Beat) {
			continue
		}
		a.Members = append(a.Members, proto.CloneOf(k.record))
	}
	return a
}

// HandleReply takes in a peer's reply.
func (m *Members) HandleReply(now time.Time, a *wire.GossipReply) {
	m.contact = now
	for _, r := range a.GetMembers() {
		m.take(now, r)
	}
}

func newer(r *wire.Member, incarnation int64, beat uint64) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Beat > beat
}

func (m *Members) take(now time.Time, r *wire.Member) {
	if r.Name == m.self.Name {
		// A record of an earlier life whose clock was ahead: this life must be newer.
		if r.Incarnation > m.self.Incarnation {
			m.self.Incarnation = r.Incarnation + 1
			m.self.Beat = 0
		}
		return
	}
	k := m.all[r.Name]
	if k != nil && !newer(r, k.record.Incarnation, k.record.Beat) {
		return
	}
	if k == nil {
		i, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, i, r.Name)
	}
	m.all[r.Name] = &known{r, now}
}

// Live returns the live members of a role in the order of their names, without the
// process itself.
func (m *Members) Live(now time.Time, role string) (l []*wire.Member) {
	for _, k := range m.all {
		if k.record.Role == role && m.live(now, k) {
			l = append(l, k.record)
		}
	}
	slices.SortFunc(l, func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// CountHeard returns the number of members of a role whose beats are seen to advance, those
// that are leaving included: who hears them is not cut off from them.
func (m *Members) CountHeard(now time.Time, role string) (n int) {
	for _, k := range m.all {
		if k.record.Role == role && now.Sub(k.advanced) <= m.silence() {
			n++
		}
	}
	return n
}

// CountMissing returns the number of members of a role that were heard of lately and fell silent
// without having said that they leave, and of seeds as long as nobody was met.
func (m *Members) CountMissing(now time.Time, role string) (n int) {
	n = m.unmet()
	for _, k := range m.all {
		if k.record.Role == role && !k.record.Leaving && now.Sub(k.advanced) > m.silence() {
			n++
		}
	}
	return n
}

// Isolated reports whether a process that knows others hears none of them.
func (m *Members) Isolated(now time.Time) bool {
	return len(m.all) > 0 && now.Sub(m.contact) > isolation
}

// CountRecent returns the number of members of a role that were heard of lately, dead or alive,
// and of seeds as long as nobody was met. It falls slowly, so shares of a limit that are
// divided by it grow only after the dead can't use theirs any more.
func (m *Members) CountRecent(role string) (n int) {
	n = m.unmet()
	for _, k := range m.all {
		if k.record.Role == role {
			n++
		}
	}
	return n
}
