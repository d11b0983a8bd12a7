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
	// ownerTimeout bounds the answer of a workspace's owner.
	ownerTimeout = 150 * time.Millisecond
	// maxOwners is the number of maxOwners that are asked before an entry decides alone.
	maxOwners = 2
	// forwardTimeout is that where it is asked for another entry, which awaits the answer.
	forwardTimeout = 100 * time.Millisecond
	// ownerBackoff is how long an owner that didn't answer isn't asked.
	ownerBackoff = time.Second
	// smallRequestTokens is the size in tokens up to which tokens are taken in advance.
	smallRequestTokens = 500
	// advanceSize is how many tokens are taken for small requests at once, as a part of a
	// second's rate, and at most how many requests of the size.
	prefetchRateShare   = 0.01
	maxPrefetchRequests = 10
)

// errNoQuorum means that an entry hears too few others to grant.
var errNoQuorum = eris.New("this entry is cut off and owns no limits")

// applyRateLimit takes the request's tokens from its workspace's applyRateLimit.
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
		return fault.NotRun(fault.OverLimit, "the workspace is over its limit").WithAgain(time.Now().Add(wait))
	}
	x.tokens = n
	return nil
}

// takeTokens takes tokens in advance for small requests, and otherwise those of the request.
func (p *Proxy) takeTokens(x *exchange, n int64) (ok bool, wait time.Duration) {
	w := x.workspace
	if n > smallRequestTokens {
		return p.takeFromOwners(x, n)
	}
	p.mu.Lock()
	ok = p.prefetched.Use(time.Now(), w.Name, n)
	p.mu.Unlock()
	if ok {
		return true, 0
	}
	more := min(maxPrefetchRequests*n, int64(prefetchRateShare*float64(w.Rate)))
	if more > n {
		if ok, _ := p.takeFromOwners(x, more); ok {
			p.mu.Lock()
			p.prefetched.Set(time.Now(), w.Name, more-n)
			p.mu.Unlock()
			return true, 0
		}
	}
	return p.takeFromOwners(x, n)
}

// takeFromOwners asks the workspace's owners in turn, and decides alone if none answers.
func (p *Proxy) takeFromOwners(x *exchange, n int64) (ok bool, wait time.Duration) {
	q := newTakeRequest(x.workspace, n, x.record.configVersion)
	for i, o := range p.ownersOf(x.workspace.Name) {
		q.StandIn = i > 0
		if o == p.settings.VM {
			return p.takeFromBucket(p.bucketsFor(q), q, p.bucketTerms(q))
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
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "request": x.call.ID, "owner": o}).WithError(err).Warn("limit")
	}
	q.StandIn = false
	return p.takeFromBucket(p.localBuckets, q, p.bucketTerms(q).OwnerlessShare(1+p.mesh.Recent(mesh.RoleEntry)))
}

func newTakeRequest(w *rules.Workspace, n int64, version uint64) *wire.TakeRequest {
	return &wire.TakeRequest{Workspace: w.Name, Tokens: n, Rate: w.Rate, Burst: w.Burst, Version: version}
}

func (p *Proxy) bucketTerms(q *wire.TakeRequest) limits.Limit {
	t := limits.Limit{
		Rate:    float64(q.Rate),
		Burst:   float64(q.Burst),
		Overage: p.settings.LimitOverage,
		Slack:   float64(p.settings.LimitOverdraft),
		Version: q.Version,
	}
	if q.StandIn {
		return t.ForStandIn()
	}
	return t
}

func (p *Proxy) takeFromBucket(l *limits.Limiter, q *wire.TakeRequest, t limits.Limit) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.Take(time.Now(), q.Workspace, t, q.Tokens)
}

// ownersOf returns the entries to ask for a workspace's tokens, the first in rank first.
func (p *Proxy) ownersOf(workspace string) []string {
	live := p.mesh.Live(mesh.RoleEntry)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasQuorum {
		return nil
	}
	return rank.Top(workspace, p.ownerCandidates(live), maxOwners)
}

// ownerCandidates returns the names of the entries that may own limits. The lock is held.
func (p *Proxy) ownerCandidates(live []*wire.Member) (names []string) {
	for _, m := range live {
		if p.endedIncarnations[m.Name] != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || !p.draining.Load() {
		// Others no longer ask an entry that leaves.
		names = append(names, p.settings.VM)
	}
	return names
}

// ownerInBackoff reports whether an owner lately didn't answer, so that it isn't waited for.
func (p *Proxy) ownerInBackoff(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.ownerBackoffUntil[owner])
}

// callOwner takes tokens at another entry.
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
			// Nobody listens there: that life has ended, and its buckets with it.
			p.endedIncarnations[owner] = m.Incarnation
		}
	}
	return r, err
}

// forwardToOwner passes a request to the owner that another entry doesn't reach, if this one does:
// two buckets of one workspace would grant more than its limit.
func (p *Proxy) forwardToOwner(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, bool) {
	l := p.ownersOf(q.Workspace)
	if len(l) == 0 || l[0] == p.settings.VM || p.ownerInBackoff(l[0]) {
		return nil, false
	}
	o := proto.CloneOf(q)
	o.StandIn = false
	r, err := p.callOwner(ctx, l[0], o, forwardTimeout)
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "owner": l[0]}).WithError(err).Warn("limit")
	}
	return r, err == nil
}

// Take serves other entries the buckets that this one owns.
func (p *Proxy) Take(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, error) {
	p.mu.Lock()
	owns := p.hasQuorum
	p.mu.Unlock()
	if !owns {
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
	ok, wait := p.takeFromBucket(p.bucketsFor(q), q, p.bucketTerms(q))
	return &wire.TakeReply{Granted: ok, WaitMicros: wait.Microseconds()}, nil
}

// refund gives the tokens of a request back that didn't run. Those that don't arrive are
// lost to the workspace.
func (p *Proxy) refund(x *exchange) {
	n := x.tokens
	if n == 0 {
		return
	}
	x.tokens = 0
	q := newTakeRequest(x.workspace, -n, x.record.configVersion)
	l := p.ownersOf(x.workspace.Name)
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
			p.log.WithFields(logrus.Fields{"event": "refund-lost", "request": x.call.ID, "tokens": n}).WithError(err).Debug("limit")
		}
	})
}

// bucketsFor returns those that a request draws on. What is granted in place of an owner must
// not stand in the way once this entry becomes the owner.
func (p *Proxy) bucketsFor(q *wire.TakeRequest) *limits.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.StandIn {
		return p.standInBuckets
	}
	return p.ownedBuckets
}

// dropUnownedBuckets forgets the buckets of workspaces for which another entry ranks first. The lock is
// held.
func (p *Proxy) dropUnownedBuckets(live []*wire.Member) {
	names := p.ownerCandidates(live)
	p.ownedBuckets.Keep(func(w string) bool {
		top := rank.Top(w, names, 1)
		return len(top) == 1 && top[0] == p.settings.VM
	})
}
