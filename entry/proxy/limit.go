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
	// takeTimeout bounds the answer of a workspace's owner.
	takeTimeout = 150 * time.Millisecond
	// owners is the number of owners that are asked before an entry decides alone.
	owners = 2
	// relayTimeout is that where it is asked for another entry, which awaits the answer.
	relayTimeout = 100 * time.Millisecond
	// unreachedTerm is how long an owner that didn't answer isn't asked.
	unreachedTerm = time.Second
	// smallRequest is the size in tokens up to which tokens are taken in advance.
	smallRequest = 500
	// advanceSize is how many tokens are taken for small requests at once, as a part of a
	// second's rate, and at most how many requests of the size.
	advanceShare = 0.01
	advanceMost  = 10
)

// errNoOwner means that an entry hears too few others to grant.
var errNoOwner = eris.New("this entry is cut off and owns no limits")

// limit takes the request's tokens from its workspace's limit.
func (p *Proxy) limit(x *exchange) *fault.Error {
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
	if ok, wait := p.take(x, n); !ok {
		return fault.NotRun(fault.OverLimit, "the workspace is over its limit").WithAgain(time.Now().Add(wait))
	}
	x.tokens = n
	return nil
}

// take takes tokens in advance for small requests, and otherwise those of the request.
func (p *Proxy) take(x *exchange, n int64) (ok bool, wait time.Duration) {
	w := x.workspace
	if n > smallRequest {
		return p.takeFrom(x, n)
	}
	p.mu.Lock()
	ok = p.advances.Use(time.Now(), w.Name, n)
	p.mu.Unlock()
	if ok {
		return true, 0
	}
	more := min(advanceMost*n, int64(advanceShare*float64(w.Rate)))
	if more > n {
		if ok, _ := p.takeFrom(x, more); ok {
			p.mu.Lock()
			p.advances.Set(time.Now(), w.Name, more-n)
			p.mu.Unlock()
			return true, 0
		}
	}
	return p.takeFrom(x, n)
}

// takeFrom asks the workspace's owners in turn, and decides alone if none answers.
func (p *Proxy) takeFrom(x *exchange, n int64) (ok bool, wait time.Duration) {
	q := takeRequest(x.workspace, n, x.note.version)
	for i, o := range p.owners(x.workspace.Name) {
		q.StandIn = i > 0
		if o == p.settings.VM {
			return p.grant(p.buckets(q), q, p.terms(q))
		}
		if p.silent(o) {
			continue
		}
		r, err := p.ask(x.r.Context(), o, q, takeTimeout)
		if err == nil {
			return r.Granted, micros(r.WaitMicros)
		}
		if x.r.Context().Err() != nil {
			return false, 0
		}
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "request": x.call.ID, "owner": o}).WithError(err).Warn("limit")
	}
	q.StandIn = false
	return p.grant(p.alone, q, p.terms(q).OwnerlessShare(1+p.mesh.Recent(mesh.RoleEntry)))
}

func takeRequest(w *rules.Workspace, n int64, version uint64) *wire.TakeRequest {
	return &wire.TakeRequest{Workspace: w.Name, Tokens: n, Rate: w.Rate, Burst: w.Burst, Version: version}
}

func (p *Proxy) terms(q *wire.TakeRequest) limits.Limit {
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

func (p *Proxy) grant(l *limits.Limiter, q *wire.TakeRequest, t limits.Limit) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.Take(time.Now(), q.Workspace, t, q.Tokens)
}

// owners returns the entries to ask for a workspace's tokens, the first in rank first.
func (p *Proxy) owners(workspace string) []string {
	live := p.mesh.Live(mesh.RoleEntry)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.owns {
		return nil
	}
	return rank.Top(workspace, p.ranking(live), owners)
}

// ranking returns the names of the entries that may own limits. The lock is held.
func (p *Proxy) ranking(live []*wire.Member) (names []string) {
	for _, m := range live {
		if p.refused[m.Name] != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || !p.draining.Load() {
		// Others no longer ask an entry that leaves.
		names = append(names, p.settings.VM)
	}
	return names
}

// silent reports whether an owner lately didn't answer, so that it isn't waited for.
func (p *Proxy) silent(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.unreached[owner])
}

// ask takes tokens at another entry.
func (p *Proxy) ask(ctx context.Context, owner string, q *wire.TakeRequest, d time.Duration) (r *wire.TakeReply, err error) {
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
		p.unreached[owner] = time.Now().Add(unreachedTerm)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// Nobody listens there: that life has ended, and its buckets with it.
			p.refused[owner] = m.Incarnation
		}
	}
	return r, err
}

// askFor passes a request to the owner that another entry doesn't reach, if this one does:
// two buckets of one workspace would grant more than its limit.
func (p *Proxy) askFor(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, bool) {
	l := p.owners(q.Workspace)
	if len(l) == 0 || l[0] == p.settings.VM || p.silent(l[0]) {
		return nil, false
	}
	o := proto.CloneOf(q)
	o.StandIn = false
	r, err := p.ask(ctx, l[0], o, relayTimeout)
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "owner-silent", "owner": l[0]}).WithError(err).Warn("limit")
	}
	return r, err == nil
}

// Take serves other entries the buckets that this one owns.
func (p *Proxy) Take(ctx context.Context, q *wire.TakeRequest) (*wire.TakeReply, error) {
	p.mu.Lock()
	owns := p.owns
	p.mu.Unlock()
	if !owns {
		return nil, errNoOwner
	}
	if q.Tokens < 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.limits.Return(q.Workspace, -q.Tokens)
		return &wire.TakeReply{Granted: true}, nil
	}
	if q.StandIn {
		if r, ok := p.askFor(ctx, q); ok {
			return r, nil
		}
	}
	ok, wait := p.grant(p.buckets(q), q, p.terms(q))
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
	q := takeRequest(x.workspace, -n, x.note.version)
	l := p.owners(x.workspace.Name)
	if len(l) == 0 || p.silent(l[0]) {
		return
	}
	o := l[0]
	if o == p.settings.VM {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.limits.Return(q.Workspace, n)
		return
	}
	p.tasks.Go(func() {
		if _, err := p.ask(p.ctx, o, q, takeTimeout); err != nil {
			p.log.WithFields(logrus.Fields{"event": "refund-lost", "request": x.call.ID, "tokens": n}).WithError(err).Debug("limit")
		}
	})
}

// buckets returns those that a request draws on. What is granted in place of an owner must
// not stand in the way once this entry becomes the owner.
func (p *Proxy) buckets(q *wire.TakeRequest) *limits.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.StandIn {
		return p.standIns
	}
	return p.limits
}

// disown forgets the buckets of workspaces for which another entry ranks first. The lock is
// held.
func (p *Proxy) disown(live []*wire.Member) {
	names := p.ranking(live)
	p.limits.Keep(func(w string) bool {
		top := rank.Top(w, names, 1)
		return len(top) == 1 && top[0] == p.settings.VM
	})
}
