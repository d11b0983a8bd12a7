// Package spread is the reducer that brings configuration into force everywhere: a
// few processes of each data centre read the platform, and all exchange what is new.
//
// Revisions only grow: a process keeps the newest configuration that it has seen from
// the platform or any peer. A change is pushed to a few peers at once, and each process
// also compares revisions with one random peer at a time, which repairs what a push
// missed. Processes rank themselves by rendezvous hashing; the first ranks read the
// platform, the others only when the newest read that they heard of has grown old, later
// the lower their rank.
package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/wire"
)

// Periods and sizes of the exchange.
const (
	// watchers is the number of processes of a data centre that read the platform.
	watchers = 3
	// WatchWait is how long the platform holds a read that has nothing new.
	WatchWait = time.Second
	// staleAfter is the age of the newest read at which rank 0 of the others reads.
	staleAfter = 2500 * time.Millisecond
	// staleStep delays each further rank.
	staleStep = 250 * time.Millisecond
	// retryAfter spaces reads of a platform that fails.
	retryAfter = time.Second
	// spareRetry spaces reads of processes that aren't watchers.
	spareRetry = 5 * time.Second
	// period is the time between two comparisons with a random peer.
	period = 500 * time.Millisecond
	// fanout is the number of peers that a change is pushed to.
	fanout = 3
	// farOdds is one over the odds of a comparison with another data centre.
	farOdds = 8
	// maxPayload bounds the changes of one message, in bytes.
	maxPayload = 256 << 10
	// peerPatience is how long a new process waits to hear from peers.
	peerPatience = 3 * time.Second
)

// Syncer is the state of one process. Use New.
type Syncer struct {
	vm          string
	dataCentre  string
	incarnation uint64
	seeds       []string
	store       *store
	rand        *rand.Rand
	born        time.Time
	readAt      time.Time
	reading     bool
	readDue     time.Time
	compareDue  time.Time
	heard       map[string]bool
	// ranked is the list for which rankCache holds the rank.
	ranked     *fleet.List
	rankCache  int
	authority  *quota.Authority
	authorized Authorization
	term       time.Duration
	margin     time.Duration
	now        time.Time
	effects    []Effect
}

// Option changes a default.
type Option func(*Syncer)

// WithTerm sets how long a confirmation counts and the margin for drift.
func WithTerm(term, margin time.Duration) Option {
	return func(s *Syncer) { s.term, s.margin = term, margin }
}

// New returns the state of a process that starts at now. Seeds are the addresses of
// peers to ask before a list is known.
func New(now time.Time, vm, dataCentre string, incarnation uint64, seeds []string, opts ...Option) *Syncer {
	s := &Syncer{
		vm:          vm,
		dataCentre:  dataCentre,
		incarnation: incarnation,
		seeds:       seeds,
		store:       newStore(),
		rand:        rand.New(rand.NewPCG(incarnation, fleet.Score(vm, dataCentre))),
		born:        now,
		heard:       map[string]bool{},
		rankCache:   watchers,
		term:        quota.DefaultTerm,
		margin:      quota.DefaultMargin,
	}
	for _, o := range opts {
		o(s)
	}
	s.authority = quota.NewAuthority(vm, dataCentre, s.term, s.margin)
	return s
}

// Revision returns the newest revision that the process knows.
func (s *Syncer) Revision() uint64 { return s.store.revision }

// HasSynced reports whether the process has configuration and has asked its peers, or
// waited for them in vain.
func (s *Syncer) HasSynced(now time.Time) bool {
	if s.store.tree.Revision() == 0 {
		return false
	}
	return len(s.heard) >= min(2, len(s.peers(false))) || now.Sub(s.born) >= peerPatience
}

// Step applies an event at a time and returns the effects.
func (s *Syncer) Step(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = nil
	switch e := e.(type) {
	case Ticked:
		s.tick()
	case ReadAnswered:
		s.readAnswered(e)
	case ExchangeRequested:
		s.asked(e)
	case ExchangeAnswered:
		s.answered(e)
	}
	s.authorize()
	return s.effects
}

// authorize tells the deadline and the sealed epoch when they have changed.
func (s *Syncer) authorize() {
	a := Authorization{s.authority.Deadline(), s.authority.Sealed()}
	if a != s.authorized {
		s.authorized = a
		s.emit(a)
	}
}

func (s *Syncer) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Syncer) tick() {
	s.read()
	s.authority.Tick(s.now)
	for _, v := range s.authority.Ask(s.now) {
		s.exchange(v.Address, s.digest())
	}
	if s.now.Before(s.compareDue) {
		return
	}
	jitter := time.Duration(s.rand.Int64N(int64(period) / 2))
	s.compareDue = s.now.Add(period*3/4 + jitter)
	s.compare()
}

// read asks the platform when it is this process's turn.
func (s *Syncer) read() {
	if s.reading || s.now.Before(s.readDue) {
		return
	}
	rank := s.rank()
	watch := rank < watchers
	age := s.now.Sub(s.readAt)
	late := age >= staleAfter+time.Duration(rank-watchers)*staleStep
	if !watch && s.store.revision > 0 && !late {
		return
	}
	s.reading = true
	s.emit(Read{After: s.store.have, Watch: watch && s.store.revision > 0})
}

// rank returns the position of this VM among those of its data centre.
func (s *Syncer) rank() int {
	if s.ranked != s.store.list {
		s.ranked = s.store.list
		s.rankCache = s.computeRank()
	}
	return s.rankCache
}

func (s *Syncer) computeRank() int {
	vms := s.store.list.All(func(v fleet.VM) bool {
		return v.DataCentre == s.dataCentre && v.State == fleet.Live
	})
	own := fleet.Score(s.vm, watchKey)
	r := 0
	listed := false
	for _, v := range vms {
		listed = listed || v.Name == s.vm
		if fleet.Score(v.Name, watchKey) > own {
			r++
		}
	}
	if !listed {
		return max(r, watchers)
	}
	return r
}

const watchKey = "watch"

func (s *Syncer) readAnswered(e ReadAnswered) {
	s.reading = false
	if e.Err != nil {
		s.readDue = s.now.Add(s.readRetry())
		return
	}
	s.readDue = s.now
	if s.rank() >= watchers {
		s.readDue = s.now.Add(spareRetry)
	}
	if e.Revision < s.store.have {
		s.readDue = s.now.Add(s.readRetry())
		return
	}
	s.readAt = s.now
	before := s.store.revision
	if e.More {
		s.readDue = s.now
	}
	if s.store.apply(e.Revision, e.Changes, !e.More) {
		s.adopt(before)
	}
}

// readRetry spreads the reads of many processes over time.
func (s *Syncer) readRetry() time.Duration {
	d := retryAfter
	if s.rank() >= watchers {
		d = spareRetry
	}
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}

// adopt puts what is new in force and pushes it to a few peers.
func (s *Syncer) adopt(before uint64) {
	if err := s.store.build(); err != nil {
		s.emit(Reject{err})
	}
	s.emit(Adopt{s.store.tree, s.store.list})
	s.authority.Adopt(s.now, s.store.list)
	s.authority.Seal(s.dataCentre, s.store.tree.SealedRevision())
	peers := s.peers(false)
	s.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, a := range peers[:min(fanout, len(peers))] {
		s.push(a, before)
	}
	if far := s.peers(true); len(far) > 0 {
		s.push(far[s.rand.IntN(len(far))], before)
	}
}

func (s *Syncer) push(address string, since uint64) {
	s.exchange(address, s.digestSince(since))
}

func (s *Syncer) exchange(address string, d *wire.Digest) {
	s.emit(Exchange{address, d, s.now})
}

// compare exchanges revisions with one random peer.
func (s *Syncer) compare() {
	far := s.rand.IntN(farOdds) == 0
	peers := s.peers(far)
	if len(peers) == 0 {
		peers = s.peers(!far)
	}
	if len(peers) == 0 {
		return
	}
	s.exchange(peers[s.rand.IntN(len(peers))], s.digest())
}

// peers returns the addresses of other processes in this data centre, or in others.
func (s *Syncer) peers(far bool) []string {
	var r []string
	for _, v := range s.store.list.All(func(v fleet.VM) bool {
		return v.Name != s.vm && (v.DataCentre != s.dataCentre) == far
	}) {
		r = append(r, v.Address)
	}
	if len(r) == 0 && !far {
		return slices.Clone(s.seeds)
	}
	return r
}

func (s *Syncer) digest() *wire.Digest {
	d := &wire.Digest{
		Vm:            s.vm,
		Incarnation:   s.incarnation,
		Revision:      s.store.revision,
		ReadAgeMicros: s.now.Sub(s.readAt).Microseconds(),
		Since:         s.store.have,
		Upto:          s.store.have,
		Epoch:         s.authority.Epoch(),
		Informed:      s.authority.Informed(),
	}
	seals := s.authority.Seals()
	for _, c := range slices.Sorted(maps.Keys(seals)) {
		d.Seals = append(d.Seals, &wire.Seal{DataCentre: c, Epoch: seals[c]})
	}
	return d
}

func (s *Syncer) digestSince(revision uint64) *wire.Digest {
	d := s.digest()
	if revision < s.store.revision {
		d.Since = revision
		d.Changes, d.Upto = s.store.since(revision, maxPayload)
	}
	return d
}

func (s *Syncer) asked(e ExchangeRequested) {
	if e.Digest.Ping {
		s.emit(AnswerExchange{e.ExchangeID, &wire.Digest{Vm: s.vm, Incarnation: s.incarnation, Revision: s.store.revision}})
		return
	}
	s.take(e.Digest)
	s.emit(AnswerExchange{e.ExchangeID, s.digestSince(e.Digest.Upto)})
}

func (s *Syncer) answered(e ExchangeAnswered) {
	if e.Digest == nil {
		return
	}
	s.heard[e.Address] = true
	s.take(e.Digest)
	s.authority.Answered(s.now, e.SentAt, e.Digest.Vm, e.Digest.Epoch, e.Digest.Informed)
	switch {
	case e.Digest.Revision < s.store.revision:
		s.push(e.Address, e.Digest.Upto)
	case e.Digest.Revision > s.store.revision:
		s.exchange(e.Address, s.digest())
	}
}

// take applies a peer's changes when they join on to what is known.
func (s *Syncer) take(d *wire.Digest) {
	if at := s.now.Add(-time.Duration(d.ReadAgeMicros) * time.Microsecond); at.After(s.readAt) {
		s.readAt = at
	}
	for _, x := range d.Seals {
		s.authority.Seal(x.DataCentre, x.Epoch)
	}
	before := s.store.revision
	if d.Since <= s.store.have && s.store.apply(d.Upto, d.Changes, d.Upto >= d.Revision) {
		s.adopt(before)
	}
}
