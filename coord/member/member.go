// Package member implements gossip membership: processes discover each other and detect
// failures without a central list. Each process starts from a few seed addresses, and all
// pass on the records that they hold of others.
//
// Only the process that a record describes makes newer versions of it. The incarnation is a
// number of the process's run, which should grow with each start; if a record of an earlier
// run has a greater one, the process continues above that. The beat is a counter that grows
// with each heartbeat and each change. A process counts as live while its beat advances and it
// isn't leaving. This is measured by the clock of the observer; clocks of different processes
// are never compared.
//
// Time is passed in by the caller, and nothing here locks or does I/O.
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
	// GossipInterval is the time between two heartbeats, each followed by gossip exchanges.
	GossipInterval = 400 * time.Millisecond
	// minFailureTimeout is the time without a new beat after which a member counts as dead, in a
	// cluster whose records all fit into one message.
	minFailureTimeout = 3 * time.Second
	// forgetFactor is the number of failure timeouts after which a record is dropped. A process
	// passes a record on for one failure timeout, but others may have received it later. A record
	// dropped while some process still passes it on would come back as that of a new member.
	forgetFactor = 3
	// MaxRecordsPerMessage bounds the records in a message, so that the size of an exchange
	// doesn't grow with the cluster.
	MaxRecordsPerMessage = 60
	// rotationsPerTimeout is the number of times that a process of a large cluster goes through
	// all its records, one message every GossipInterval, within the failure timeout.
	rotationsPerTimeout = 24
	// isolationTimeout is the time without a request or reply from any member after which a
	// process counts as isolated.
	isolationTimeout = 900 * time.Millisecond
	// joinTimeout is the time after which a process that has met some member, but not most of its seeds, takes the
	// others for gone.
	joinTimeout = 10 * time.Minute
	// heartbeatsPerSeedExchange is the average number of heartbeats per exchange with a random
	// seed while members are live. Clusters that formed separately merge through these exchanges.
	heartbeatsPerSeedExchange = 5
)

// memberState is the newest record of a member and the local time at which that version, with
// a new incarnation or beat, arrived.
type memberState struct {
	record     *wire.Member
	receivedAt time.Time
}

// Members holds what a process knows of itself and of the other members. Use New.
type Members struct {
	self  *wire.Member
	seeds []string
	rand  *rand.Rand
	known map[string]*memberState
	// names holds the keys of known, sorted.
	names []string
	// nextBatch is the index into names at which the next message's batch of records begins.
	nextBatch int
	// lastContact is the time of the last request or reply that came from a member directly.
	lastContact time.Time
	// heartbeats is the number of heartbeats since the process started.
	heartbeats int
	// hasJoined is true once HasJoined was.
	hasJoined bool
}

// New returns the members as known to a process that starts: only itself. The seeds are the
// addresses to contact first. The randSeed initializes the random choice of peers.
func New(self *wire.Member, seeds []string, randSeed uint64) *Members {
	return &Members{
		self:  proto.CloneOf(self),
		seeds: seeds,
		rand:  rand.New(rand.NewPCG(randSeed, randSeed)),
		known: map[string]*memberState{},
	}
}

// SetSeeds replaces the seed addresses.
func (m *Members) SetSeeds(s []string) { m.seeds = s }

// Update changes the process's own record and makes it newer.
func (m *Members) Update(f func(self *wire.Member)) {
	f(m.self)
	m.self.Beat++
}

// Self returns a copy of the process's own record.
func (m *Members) Self() *wire.Member { return proto.CloneOf(m.self) }

// Heartbeat makes the process's own record newer, drops the records of members that have been
// dead for long, and returns the addresses to exchange with.
func (m *Members) Heartbeat(now time.Time) (targets []string) {
	m.self.Beat++
	m.heartbeats++
	var live []string
	for n, k := range m.known {
		switch {
		case now.Sub(k.receivedAt) > forgetFactor*m.failureTimeout():
			m.forget(n)
		case m.isLive(now, k):
			live = append(live, k.record.Address)
		}
	}
	slices.Sort(live)
	if len(live) > 0 {
		targets = append(targets, live[m.rand.IntN(len(live))])
	}
	if s := m.randomSeedAddress(); s != "" && (len(live) == 0 || m.rand.IntN(heartbeatsPerSeedExchange) == 0) {
		targets = append(targets, s)
	}
	return targets
}

// RandomLive returns the addresses of at most n random live members.
func (m *Members) RandomLive(now time.Time, n int) (addresses []string) {
	for _, k := range m.known {
		if m.isLive(now, k) {
			addresses = append(addresses, k.record.Address)
		}
	}
	slices.Sort(addresses)
	m.rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

func (m *Members) forget(name string) {
	delete(m.known, name)
	if i, ok := slices.BinarySearch(m.names, name); ok {
		m.names = slices.Delete(m.names, i, i+1)
	}
}

// otherSeeds returns the seed addresses except the process's own.
func (m *Members) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(m.seeds), func(a string) bool { return a == m.self.Address })
}

// countUnmetSeeds returns the number of other seeds while the process has had no contact with
// any member since its start, because it may have started in a partition. It returns 0 after
// the first contact, and from forgetFactor*minFailureTimeout after the start, when the seeds
// are assumed not to run.
func (m *Members) countUnmetSeeds() int {
	if !m.lastContact.IsZero() || time.Duration(m.heartbeats)*GossipInterval > forgetFactor*minFailureTimeout {
		return 0
	}
	return len(m.otherSeeds())
}

// HasJoined reports whether the process has met more than half of its seeds, itself included, or any member long ago.
// Until then it may have started in a small part of a cluster that is partitioned. It stays true.
func (m *Members) HasJoined() bool {
	if m.hasJoined {
		return true
	}
	met := len(m.seeds) - len(m.otherSeeds())
	for _, k := range m.known {
		if slices.Contains(m.seeds, k.record.Address) {
			met++
		}
	}
	isOld := !m.lastContact.IsZero() && time.Duration(m.heartbeats)*GossipInterval > joinTimeout
	m.hasJoined = len(m.otherSeeds()) == 0 || 2*met > len(m.seeds) || isOld
	return m.hasJoined
}

// KnownNames returns the names of the members of a role whose records are held, dead or alive, without the process
// itself, sorted.
func (m *Members) KnownNames(role string) (l []string) {
	for _, n := range m.names {
		if m.known[n].record.Role == role {
			l = append(l, n)
		}
	}
	return l
}

// randomSeedAddress returns the address of a random seed that isn't the process itself, or "".
func (m *Members) randomSeedAddress() string {
	others := m.otherSeeds()
	if len(others) == 0 {
		return ""
	}
	return others[m.rand.IntN(len(others))]
}

// isLive reports whether a member's beat advances and the member isn't leaving.
func (m *Members) isLive(now time.Time, k *memberState) bool {
	return !k.record.Leaving && now.Sub(k.receivedAt) <= m.failureTimeout()
}

// failureTimeout returns the time without a new beat after which a member counts as dead. In a
// large cluster it is longer: a message carries only some of the records, so updates of each
// arrive less often.
func (m *Members) failureTimeout() time.Duration {
	if len(m.known) <= MaxRecordsPerMessage {
		return minFailureTimeout
	}
	return max(minFailureTimeout, GossipInterval*time.Duration(rotationsPerTimeout*len(m.known)/MaxRecordsPerMessage))
}

// Request returns the gossip request to send to a peer.
func (m *Members) Request() *wire.GossipRequest {
	q := &wire.GossipRequest{Self: proto.CloneOf(m.self)}
	for _, n := range m.nextNames() {
		r := m.known[n].record
		q.Seen = append(q.Seen, &wire.Seen{Name: n, Incarnation: r.Incarnation, Beat: r.Beat})
	}
	return q
}

// nextNames returns the names of the members whose records the next message covers, at most
// MaxRecordsPerMessage. If there are more, successive calls rotate through them.
func (m *Members) nextNames() []string {
	n := len(m.names)
	if n <= MaxRecordsPerMessage {
		return m.names
	}
	from := m.nextBatch % n
	m.nextBatch = from + MaxRecordsPerMessage
	if from+MaxRecordsPerMessage <= n {
		return m.names[from : from+MaxRecordsPerMessage]
	}
	return slices.Concat(m.names[from:], m.names[:from+MaxRecordsPerMessage-n])
}

// HandleRequest merges a peer's own record. The reply has this process's own record and, of the
// next batch of records, those that the request doesn't list or lists with an older version.
// Records of members that are silent for longer than the failure timeout aren't sent.
func (m *Members) HandleRequest(now time.Time, q *wire.GossipRequest) *wire.GossipReply {
	if q.Self != nil {
		m.lastContact = now
		m.merge(now, q.Self)
	}
	held := make(map[string]*wire.Seen, len(q.Seen))
	for _, s := range q.Seen {
		held[s.Name] = s
	}
	a := &wire.GossipReply{Members: []*wire.Member{proto.CloneOf(m.self)}}
	for _, n := range m.nextNames() {
		k := m.known[n]
		s := held[n]
		if n == q.Self.GetName() || now.Sub(k.receivedAt) > m.failureTimeout() || s != nil && !isNewer(k.record, s.Incarnation, s.Beat) {
			continue
		}
		a.Members = append(a.Members, proto.CloneOf(k.record))
	}
	return a
}

// HandleReply merges the records of a peer's reply.
func (m *Members) HandleReply(now time.Time, a *wire.GossipReply) {
	m.lastContact = now
	for _, r := range a.GetMembers() {
		m.merge(now, r)
	}
}

// isNewer reports whether a record is newer than an incarnation and beat.
func isNewer(r *wire.Member, incarnation int64, beat uint64) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Beat > beat
}

// merge adopts a record of another member if it is newer than the one that is held. A record
// of this process from an earlier run is only used to choose a greater incarnation.
func (m *Members) merge(now time.Time, r *wire.Member) {
	if r.Name == m.self.Name {
		// Incarnations come from the clock at the start of a process. An earlier run of this
		// process had a clock that was ahead, and this run must supersede its record.
		if r.Incarnation > m.self.Incarnation {
			m.self.Incarnation = r.Incarnation + 1
			m.self.Beat = 0
		}
		return
	}
	k := m.known[r.Name]
	if k != nil && !isNewer(r, k.record.Incarnation, k.record.Beat) {
		return
	}
	if k == nil {
		i, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, i, r.Name)
	}
	m.known[r.Name] = &memberState{r, now}
}

// Live returns the live members of a role, sorted by name, without the process itself.
func (m *Members) Live(now time.Time, role string) (l []*wire.Member) {
	for _, k := range m.known {
		if k.record.Role == role && m.isLive(now, k) {
			l = append(l, k.record)
		}
	}
	slices.SortFunc(l, func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// CountHeard returns the number of members of a role whose beat has advanced within the failure
// timeout, without the process itself. Records may arrive through other members. Leaving
// members are included, as a process that receives their new beats isn't partitioned from them.
func (m *Members) CountHeard(now time.Time, role string) (n int) {
	for _, k := range m.known {
		if k.record.Role == role && now.Sub(k.receivedAt) <= m.failureTimeout() {
			n++
		}
	}
	return n
}

// HeardNames returns the names of the members that CountHeard counts, sorted.
func (m *Members) HeardNames(now time.Time, role string) (l []string) {
	for _, n := range m.names {
		if k := m.known[n]; k.record.Role == role && now.Sub(k.receivedAt) <= m.failureTimeout() {
			l = append(l, n)
		}
	}
	return l
}

// CountMissing returns the number of members of a role that are known and whose beats stopped
// without their having announced that they leave. A new process that has had no contact with
// any member adds the number of other seeds, whatever the role.
func (m *Members) CountMissing(now time.Time, role string) (n int) {
	n = m.countUnmetSeeds()
	for _, k := range m.known {
		if k.record.Role == role && !k.record.Leaving && now.Sub(k.receivedAt) > m.failureTimeout() {
			n++
		}
	}
	return n
}

// Isolated reports whether the process knows other members but has received no request or reply
// from any of them within the isolation timeout.
func (m *Members) Isolated(now time.Time) bool {
	return len(m.known) > 0 && now.Sub(m.lastContact) > isolationTimeout
}

// CountKnown returns the number of members of a role whose records are held, dead or alive,
// without the process itself. A new process that has had no contact with any member adds the
// number of other seeds, whatever the role. Callers divide a limit among the members by this
// count. A dead member counts until its record is dropped, so that the shares of the others
// don't grow while it may still use its own.
func (m *Members) CountKnown(role string) (n int) {
	n = m.countUnmetSeeds()
	for _, k := range m.known {
		if k.record.Role == role {
			n++
		}
	}
	return n
}
