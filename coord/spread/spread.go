// Package spread distributes the configuration to all processes by gossip. The platform is
// the configuration service; a few processes of each data centre, the watchers, read it,
// and all processes exchange changes with their peers.
//
// The package is a reducer: it does no I/O. Its caller passes events to Syncer.Step and
// executes the effects that it returns.
//
// The configuration consists of the settings and the list of VMs. The platform numbers
// its changes with revisions, which only grow: a process keeps the newest configuration
// that it has seen from the platform or any peer. It pushes a change to a few peers at
// once, and also compares revisions with one random peer at a time, which repairs what a
// push missed. Peers exchange digests: the revision of a process and the changes that the
// receiver lacks.
//
// Processes rank themselves by rendezvous hashing, from 0; the first watcherCount ranks are
// the watchers. Another process reads the platform only if it has no complete configuration
// or the newest read by any process that it knows of is older than staleReadAge, plus
// staleReadStep for each further rank.
//
// Digests also carry the sender's newest epoch and the sealed epochs. An epoch is the
// revision at which the membership of a data centre last changed; it is sealed when no VM
// acts on an earlier list of VMs any more. A VM confirms an epoch to a peer by reporting it
// as its newest in the answer to an exchange. See quota.Authority, which authorizes a VM to
// act on its list as long as more than half of the VMs of its data centre have confirmed
// the epoch within a term.
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

const (
	// watcherCount is the number of processes of a data centre that watch the platform.
	watcherCount = 3
	// WatchWait is how long the platform holds a watch that has no changes.
	WatchWait = time.Second
	// staleReadAge is the age of the newest read at which the first process that is no
	// watcher reads the platform.
	staleReadAge = 2500 * time.Millisecond
	// staleReadStep is the additional age for each further rank.
	staleReadStep = 250 * time.Millisecond
	// watcherRetry is the mean delay of a watcher's read after a failed one.
	watcherRetry = time.Second
	// nonWatcherReadDelay is the delay of the next read of a process that is no watcher:
	// the exact delay after a successful read, the mean delay after a failed or outdated one.
	nonWatcherReadDelay = 5 * time.Second
	// comparePeriod is the mean time between two comparisons with a random peer.
	comparePeriod = 500 * time.Millisecond
	// pushFanout is the number of peers in the data centre that a change is pushed to.
	pushFanout = 3
	// comparesPerRemoteCompare is the average number of comparisons per comparison with a
	// peer of another data centre.
	comparesPerRemoteCompare = 8
	// maxChangesBytes is the approximate limit of the changes in one digest.
	maxChangesBytes = 256 << 10
	// initialSyncTimeout is how long a new process waits for answers of peers.
	initialSyncTimeout = 3 * time.Second
)

// Syncer is the state of one process. Use New.
type Syncer struct {
	vm          string
	dataCentre  string
	incarnation uint64
	seeds       []string
	store       *store
	rand        *rand.Rand
	startedAt   time.Time
	// lastRead is the time of the newest read of the platform by any process, as far as
	// this one knows.
	lastRead     time.Time
	readInFlight bool
	nextRead     time.Time
	nextCompare  time.Time
	// answeredPeers holds the addresses of the peers that have answered an exchange.
	answeredPeers map[string]bool
	// rankedList is the list for which cachedRank was computed.
	rankedList *fleet.List
	cachedRank int
	authority  *quota.Authority
	// authorization is the one that was emitted last.
	authorization Authorization
	term          time.Duration
	margin        time.Duration
	// now and effects are those of the current Step.
	now     time.Time
	effects []Effect
}

// Option changes a default of New.
type Option func(*Syncer)

// WithTerm sets the term, which is how long a confirmation of the epoch counts, and the
// margin for the drift of clocks over a term. See quota.DefaultLeaseTerm and
// quota.DefaultLeaseMargin.
func WithTerm(term, margin time.Duration) Option {
	return func(s *Syncer) { s.term, s.margin = term, margin }
}

// New returns the state of a process that starts at now on the VM named vm. The
// incarnation must be larger at each start of the process. Seeds are the addresses of peers
// to exchange with as long as no peer of the data centre is listed.
func New(now time.Time, vm, dataCentre string, incarnation uint64, seeds []string, opts ...Option) *Syncer {
	s := &Syncer{
		vm:            vm,
		dataCentre:    dataCentre,
		incarnation:   incarnation,
		seeds:         seeds,
		store:         newStore(),
		rand:          rand.New(rand.NewPCG(incarnation, fleet.Score(vm, dataCentre))),
		startedAt:     now,
		answeredPeers: map[string]bool{},
		cachedRank:    watcherCount,
		term:          quota.DefaultLeaseTerm,
		margin:        quota.DefaultLeaseMargin,
	}
	for _, o := range opts {
		o(s)
	}
	s.authority = quota.NewAuthority(vm, dataCentre, s.term, s.margin)
	return s
}

// Revision returns the newest revision whose configuration the process has in full.
func (s *Syncer) Revision() uint64 { return s.store.revision }

// HasSynced reports whether the process has settings, and either two peers (or all, if
// there are fewer) have answered or initialSyncTimeout has passed since the start.
func (s *Syncer) HasSynced(now time.Time) bool {
	if s.store.tree.Revision() == 0 {
		return false
	}
	return len(s.answeredPeers) >= min(2, len(s.peers(false))) || now.Sub(s.startedAt) >= initialSyncTimeout
}

// Step applies an event at the time now and returns the effects to execute, in order.
func (s *Syncer) Step(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = nil
	switch e := e.(type) {
	case Ticked:
		s.tick()
	case ReadAnswered:
		s.handleReadAnswered(e)
	case ExchangeRequested:
		s.handleExchangeRequested(e)
	case ExchangeAnswered:
		s.handleExchangeAnswered(e)
	}
	s.emitAuthorization()
	return s.effects
}

// emitAuthorization emits an Authorization if it differs from the one emitted last.
func (s *Syncer) emitAuthorization() {
	a := Authorization{s.authority.Deadline(), s.authority.Sealed()}
	if a != s.authorization {
		s.authorization = a
		s.emit(a)
	}
}

func (s *Syncer) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Syncer) tick() {
	s.maybeRead()
	s.authority.Tick(s.now)
	for _, v := range s.authority.MembersToPoll(s.now) {
		s.exchange(v.Address, s.digest())
	}
	if s.now.Before(s.nextCompare) {
		return
	}
	jitter := time.Duration(s.rand.Int64N(int64(comparePeriod) / 2))
	s.nextCompare = s.now.Add(comparePeriod*3/4 + jitter)
	s.compareWithRandomPeer()
}

// maybeRead emits a read of the platform if one is due. A watcher always reads; others do
// if they have no configuration or the newest read is too old for their rank. Until the
// process has a complete configuration, its reads ask for an immediate answer instead of
// a watch.
func (s *Syncer) maybeRead() {
	if s.readInFlight || s.now.Before(s.nextRead) {
		return
	}
	rank := s.rank()
	isWatcher := rank < watcherCount
	age := s.now.Sub(s.lastRead)
	late := age >= staleReadAge+time.Duration(rank-watcherCount)*staleReadStep
	if !isWatcher && s.store.revision > 0 && !late {
		return
	}
	s.readInFlight = true
	s.emit(Read{After: s.store.received, Watch: isWatcher && s.store.revision > 0})
}

// rank returns the rank of this VM, from 0, among the live VMs of its data centre. A VM
// that isn't among them is no watcher.
func (s *Syncer) rank() int {
	if s.rankedList != s.store.list {
		s.rankedList = s.store.list
		s.cachedRank = s.computeRank()
	}
	return s.cachedRank
}

func (s *Syncer) computeRank() int {
	vms := s.store.list.Filter(func(v fleet.VM) bool {
		return v.DataCentre == s.dataCentre && v.State == fleet.Live
	})
	own := fleet.Score(s.vm, watchKey)
	r := 0
	live := false
	for _, v := range vms {
		live = live || v.Name == s.vm
		if fleet.Score(v.Name, watchKey) > own {
			r++
		}
	}
	if !live {
		return max(r, watcherCount)
	}
	return r
}

// watchKey is the rendezvous key by which processes rank for reading the platform.
const watchKey = "watch"

func (s *Syncer) handleReadAnswered(e ReadAnswered) {
	s.readInFlight = false
	if e.Err != nil {
		s.nextRead = s.now.Add(s.readRetryDelay())
		return
	}
	s.nextRead = s.now
	if s.rank() >= watcherCount {
		s.nextRead = s.now.Add(nonWatcherReadDelay)
	}
	if e.Revision < s.store.received { // The platform answered from an outdated state.
		s.nextRead = s.now.Add(s.readRetryDelay())
		return
	}
	s.lastRead = s.now
	before := s.store.revision
	if e.More {
		s.nextRead = s.now
	}
	if s.store.apply(e.Revision, e.Changes, !e.More) {
		s.adopt(before)
	}
}

// readRetryDelay returns the delay after a read that failed or got an outdated answer: 0.5
// to 1.5 times watcherRetry or nonWatcherReadDelay, so that the reads of many processes
// don't coincide.
func (s *Syncer) readRetryDelay() time.Duration {
	d := watcherRetry
	if s.rank() >= watcherCount {
		d = nonWatcherReadDelay
	}
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}

// adopt puts the new state of the store in force, and pushes the changes since the previous
// complete revision, before, to a few peers of the data centre and to one of another.
func (s *Syncer) adopt(before uint64) {
	if err := s.store.rebuild(); err != nil {
		s.emit(Reject{err})
	}
	s.emit(Adopt{s.store.tree, s.store.list})
	s.authority.Adopt(s.now, s.store.list)
	s.authority.Seal(s.dataCentre, s.store.tree.SealedRevision())
	peers := s.peers(false)
	s.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, a := range peers[:min(pushFanout, len(peers))] {
		s.push(a, before)
	}
	if remote := s.peers(true); len(remote) > 0 {
		s.push(remote[s.rand.IntN(len(remote))], before)
	}
}

// push sends the changes after a revision to a peer.
func (s *Syncer) push(address string, since uint64) {
	s.exchange(address, s.digestSince(since))
}

func (s *Syncer) exchange(address string, d *wire.Digest) {
	s.emit(Exchange{address, d, s.now})
}

// compareWithRandomPeer sends a digest without changes to one random peer, whose answer
// contains the changes that this process lacks, as many as fit.
func (s *Syncer) compareWithRandomPeer() {
	remote := s.rand.IntN(comparesPerRemoteCompare) == 0
	peers := s.peers(remote)
	if len(peers) == 0 {
		peers = s.peers(!remote)
	}
	if len(peers) == 0 {
		return
	}
	s.exchange(peers[s.rand.IntN(len(peers))], s.digest())
}

// peers returns the addresses of the other VMs of this data centre or, if remote is true, of
// the VMs of all other data centres. If remote is false and no other VM of this data centre
// is listed, it returns the seeds.
func (s *Syncer) peers(remote bool) []string {
	var r []string
	for _, v := range s.store.list.Filter(func(v fleet.VM) bool {
		return v.Name != s.vm && (v.DataCentre != s.dataCentre) == remote
	}) {
		r = append(r, v.Address)
	}
	if len(r) == 0 && !remote {
		return slices.Clone(s.seeds)
	}
	return r
}

// digest returns a digest of the state of this process, without changes.
func (s *Syncer) digest() *wire.Digest {
	d := &wire.Digest{
		Vm:            s.vm,
		Incarnation:   s.incarnation,
		Revision:      s.store.revision,
		ReadAgeMicros: s.now.Sub(s.lastRead).Microseconds(),
		Since:         s.store.received,
		Upto:          s.store.received,
		Epoch:         s.authority.Epoch(),
		Informed:      s.authority.Informed(),
	}
	seals := s.authority.Seals()
	for _, c := range slices.Sorted(maps.Keys(seals)) {
		d.Seals = append(d.Seals, &wire.Seal{DataCentre: c, Epoch: seals[c]})
	}
	return d
}

// digestSince returns a digest with the changes after a revision, as many as fit.
func (s *Syncer) digestSince(revision uint64) *wire.Digest {
	d := s.digest()
	if revision < s.store.revision {
		d.Since = revision
		d.Changes, d.Upto = s.store.since(revision, maxChangesBytes)
	}
	return d
}

func (s *Syncer) handleExchangeRequested(e ExchangeRequested) {
	if e.Digest.Ping {
		s.emit(AnswerExchange{e.ExchangeID, &wire.Digest{Vm: s.vm, Incarnation: s.incarnation, Revision: s.store.revision}})
		return
	}
	s.applyDigest(e.Digest)
	s.emit(AnswerExchange{e.ExchangeID, s.digestSince(e.Digest.Upto)})
}

func (s *Syncer) handleExchangeAnswered(e ExchangeAnswered) {
	if e.Digest == nil {
		return
	}
	s.answeredPeers[e.Address] = true
	s.applyDigest(e.Digest)
	s.authority.HandleReply(s.now, e.SentAt, e.Digest.Vm, e.Digest.Epoch, e.Digest.Informed)
	switch {
	case e.Digest.Revision < s.store.revision:
		s.push(e.Address, e.Digest.Upto)
	case e.Digest.Revision > s.store.revision:
		s.exchange(e.Address, s.digest())
	}
}

// applyDigest applies a peer's digest: it moves lastRead forward if the peer knows of a newer
// read of the platform, records the sealed epochs, and applies the changes if there is no
// gap between them and the changes received so far.
func (s *Syncer) applyDigest(d *wire.Digest) {
	if at := s.now.Add(-time.Duration(d.ReadAgeMicros) * time.Microsecond); at.After(s.lastRead) {
		s.lastRead = at
	}
	for _, x := range d.Seals {
		s.authority.Seal(x.DataCentre, x.Epoch)
	}
	before := s.store.revision
	if d.Since <= s.store.received && s.store.apply(d.Upto, d.Changes, d.Upto >= d.Revision) {
		s.adopt(before)
	}
}
