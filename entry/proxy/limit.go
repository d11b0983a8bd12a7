package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/limits"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

const (
	// ownerTimeout limits a Take call to the owner of a workspace's bucket.
	ownerTimeout = 150 * time.Millisecond
	// maxAskedEntries is how many entries are asked for a workspace's tokens before this entry
	// grants from a local bucket: the owner and its stand-in.
	maxAskedEntries = 2
	// forwardTimeout limits a Take call made on behalf of another entry. It is shorter than
	// ownerTimeout because that entry waits for the reply.
	forwardTimeout = 100 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is skipped.
	ownerBackoff = time.Second
	// smallRequestTokens is the largest request, in tokens, that is served from prefetched
	// tokens, which are taken from the owner in advance.
	smallRequestTokens = 500
	// prefetchRateShare and maxPrefetchRequests limit how many tokens one prefetch takes: the
	// first as a fraction of a second's rate, the second as a multiple of the request's size.
	prefetchRateShare   = 0.01
	maxPrefetchRequests = 10
)

// errNoQuorum is returned to other entries while this one has no quorum, that is, hears too few
// entries to grant tokens to others.
var errNoQuorum = eris.New("this entry is cut off and owns no limits")

// applyRateLimit takes the request's tokens from the rate limit of its workspace.
func (p *Proxy) applyRateLimit(x *exchange) *fault.Error {
	w := x.workspace
	if w == nil || w.Rate <= 0 {
		return nil
	}
	n := max(1, w.DefaultTokens)
	switch {
	case w.CountsRequests:
		n = 1
	case x.call.HasTokenCount:
		n = x.call.PromptTokens + x.call.MaxTokens
	}
	if ok, wait := p.takeTokens(x, n); !ok {
		return fault.NotRun(fault.OverLimit, "the workspace is over its limit").WithRetryAt(time.Now().Add(wait))
	}
	x.tokens = n
	return nil
}

// takeTokens takes n tokens from the workspace's limit. Small requests are served from
// prefetched tokens where possible, so that not each of them asks an owner.
func (p *Proxy) takeTokens(x *exchange, n int64) (ok bool, wait time.Duration) {
	w := x.workspace
	if n > smallRequestTokens {
		return p.takeFromOwner(x, n)
	}
	p.mu.Lock()
	ok = p.prefetched.Use(time.Now(), w.Name, n)
	p.mu.Unlock()
	if ok {
		return true, 0
	}
	prefetch := min(maxPrefetchRequests*n, int64(prefetchRateShare*float64(w.Rate)))
	if prefetch > n {
		if ok, _ := p.takeFromOwner(x, prefetch); ok {
			p.mu.Lock()
			p.prefetched.Set(time.Now(), w.Name, prefetch-n)
			p.mu.Unlock()
			return true, 0
		}
	}
	return p.takeFromOwner(x, n)
}

// takeFromOwner asks the owner of the workspace's bucket, and then its stand-in. If neither
// answers, it grants from a local bucket with a reduced equal share of the limit; see
// limits.Limit.OwnerlessShare.
func (p *Proxy) takeFromOwner(x *exchange, n int64) (ok bool, wait time.Duration) {
	q := newTakeRequest(x.workspace, n, x.record.configVersion)
	q.Resumes = x.isResumed()
	for i, o := range p.ownerAndStandIn(x.workspace.Name) {
		q.StandIn = i > 0
		if o == p.settings.VM {
			return p.takeFromBucket(p.bucketsFor(q), q, p.limitFor(q))
		}
		if p.ownerInBackoff(o) {
			continue
		}
		r, err := p.callOwner(x.r.Context(), o, q, ownerTimeout)
		if err == nil {
			return r.Granted, micros(r.WaitMicros)
		}
		if x.r.Context().Err() != nil {
			return false, 0
		}
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "request": x.call.ID, "owner": o}).WithError(err).Warn("rate limit owner did not answer")
	}
	q.StandIn = false
	return p.takeFromBucket(p.localBuckets, q, p.limitFor(q).OwnerlessShare(1+p.mesh.CountKnown(mesh.RoleEntry)))
}

func newTakeRequest(w *rules.Workspace, n int64, version uint64) *wire.TakeRequest {
	return &wire.TakeRequest{Workspace: w.Name, Tokens: n, Rate: w.Rate, Burst: w.Burst, Version: version}
}

// limitFor returns the limit that applies to a Take request.
func (p *Proxy) limitFor(q *wire.TakeRequest) limits.Limit {
	l := limits.Limit{
		Rate:    float64(q.Rate),
		Burst:   float64(q.Burst),
		Overage: p.settings.LimitOverage,
		Slack:   float64(p.settings.LimitOverdraft),
		Version: q.Version,
	}
	if q.StandIn {
		return l.ForStandIn()
	}
	return l
}

func (p *Proxy) takeFromBucket(l *limits.Limiter, q *wire.TakeRequest, limit limits.Limit) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Resumes {
		return l.TakeToResume(time.Now(), q.Workspace, limit, q.Tokens)
	}
	return l.Take(time.Now(), q.Workspace, limit, q.Tokens)
}

// ownerAndStandIn returns the entries to ask for a workspace's tokens: the owner, which ranks
// first, and its stand-in, which ranks second. It returns none while this entry has no quorum.
func (p *Proxy) ownerAndStandIn(workspace string) []string {
	live := p.mesh.Live(mesh.RoleEntry)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasQuorum {
		return nil
	}
	return rank.Top(workspace, p.ownerCandidates(live), maxAskedEntries)
}

// ownerCandidates returns the names of the entries that may own buckets. p.mu must be held.
func (p *Proxy) ownerCandidates(live []*wire.Member) (names []string) {
	for _, m := range live {
		if p.endedIncarnations[m.Name] != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || !p.draining.Load() {
		// Others no longer ask a draining entry, so it adds itself only if it is alone.
		names = append(names, p.settings.VM)
	}
	return names
}

// ownerInBackoff reports whether an owner recently failed to answer and should be skipped.
func (p *Proxy) ownerInBackoff(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.ownerBackoffUntil[owner])
}

// callOwner sends a Take request to another entry. If the call fails, the owner is skipped for
// ownerBackoff.
func (p *Proxy) callOwner(ctx context.Context, owner string, q *wire.TakeRequest, d time.Duration) (r *wire.TakeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	m := &wire.Member{}
	for _, x := range p.mesh.Live(mesh.RoleEntry) {
		if x.Name == owner {
			m = x
		}
	}
	r, err = link.Call(ctx, p.links, m.Address, link.Take, q)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ownerBackoffUntil[owner] = time.Now().Add(ownerBackoff)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// Nothing listens there, so that process has ended and its buckets are gone.
			p.endedIncarnations[owner] = m.Incarnation
		}
	}
	return r, err
}

// forwardToOwner forwards a request that this entry got as a stand-in to the owner, since perhaps
// only the requesting entry can't reach it. It returns false if the owner can't be asked or doesn't
// answer. Grants from two buckets would exceed the workspace's limit.
func (p *Proxy) forwardToOwner(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, bool) {
	l := p.ownerAndStandIn(q.Workspace)
	if len(l) == 0 || l[0] == p.settings.VM || p.ownerInBackoff(l[0]) {
		return nil, false
	}
	o := proto.CloneOf(q)
	o.StandIn = false
	r, err := p.callOwner(ctx, l[0], o, forwardTimeout)
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "owner": l[0]}).WithError(err).Warn("rate limit owner did not answer")
	}
	return r, err == nil
}

// Take grants tokens to other entries. As the owner of a bucket it takes them from there; as a
// stand-in it asks the owner, and takes them from a stand-in bucket if the owner doesn't answer. A
// negative number of tokens returns tokens.
func (p *Proxy) Take(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, error) {
	p.mu.Lock()
	hasQuorum := p.hasQuorum
	p.mu.Unlock()
	if !hasQuorum {
		return nil, errNoQuorum
	}
	if q.Tokens < 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ownedBuckets.Return(q.Workspace, -q.Tokens)
		return &wire.TakeReply{Granted: true}, nil
	}
	if q.StandIn {
		if r, ok := p.forwardToOwner(ctx, q); ok {
			return r, nil
		}
	}
	ok, wait := p.takeFromBucket(p.bucketsFor(q), q, p.limitFor(q))
	return &wire.TakeReply{Granted: ok, WaitMicros: wait.Microseconds()}, nil
}

// refund returns the tokens of a request that did not run. If the owner can't be reached, they
// are lost to the workspace.
func (p *Proxy) refund(x *exchange) {
	n := x.tokens
	if n == 0 {
		return
	}
	x.tokens = 0
	q := newTakeRequest(x.workspace, -n, x.record.configVersion)
	l := p.ownerAndStandIn(x.workspace.Name)
	if len(l) == 0 || p.ownerInBackoff(l[0]) {
		return
	}
	o := l[0]
	if o == p.settings.VM {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ownedBuckets.Return(q.Workspace, n)
		return
	}
	p.tasks.Go(func() {
		if _, err := p.callOwner(p.ctx, o, q, ownerTimeout); err != nil {
			p.log.WithFields(logrus.Fields{"event": "refund-lost", "request": x.call.ID, "tokens": n}).WithError(err).Debug("rate limit refund failed")
		}
	})
}

// bucketsFor returns the buckets that a request draws on. Stand-in grants are kept apart, so
// that they don't reduce the owned bucket once this entry becomes the owner.
func (p *Proxy) bucketsFor(q *wire.TakeRequest) *limits.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.StandIn {
		return p.standInBuckets
	}
	return p.ownedBuckets
}

// dropUnownedBuckets forgets the buckets of workspaces for which another entry ranks first.
// p.mu must be held.
func (p *Proxy) dropUnownedBuckets(live []*wire.Member) {
	names := p.ownerCandidates(live)
	p.ownedBuckets.Keep(func(w string) bool {
		top := rank.Top(w, names, 1)
		return len(top) == 1 && top[0] == p.settings.VM
	})
}
