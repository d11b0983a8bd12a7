package proxy

import (
	"context"
	"slices"
	"strings"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/member"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
)

const (
	// findOriginTimeout bounds the question where a stream began.
	findOriginTimeout = 250 * time.Millisecond
	// settleTime is how long an entry that has started may not know the members that it must ask. It asks every
	// findOriginPause until then.
	settleTime      = 4 * member.GossipInterval
	findOriginPause = 100 * time.Millisecond
	// listingTimeout is how long a stream of unknown origin waits for a newer list of upstreams, and listingPause the time
	// between two looks at it.
	listingTimeout = time.Second
	listingPause   = 20 * time.Millisecond
	// findOriginRetryAfter is the retry delay for callers whose stream may be known to a member that didn't
	// answer.
	findOriginRetryAfter = 500 * time.Millisecond
	// versionRetryAfter is the retry delay for callers if no upstream of a version is left. Those that have
	// crashed start again.
	versionRetryAfter = time.Second
)

// Results of the search for where a stream began, in metrics.
const (
	originKnown   = "known"
	originAsked   = "asked"
	originSingle  = "single-version"
	originUnknown = "unknown"
)

// mayBeResumed reports whether a caller may take up the answer again after a break.
func (x *exchange) mayBeResumed() bool { return x.route.Kind == rules.Streaming && x.route.Resumable }

// runsOnEngine reports whether the answer is a stream of a model engine.
func (x *exchange) runsOnEngine() bool {
	return x.route.Kind == rules.Streaming && x.service.Engine != nil
}

// isResumed reports whether the request takes up a stream that has broken off.
func (x *exchange) isResumed() bool {
	return x.mayBeResumed() && (x.call.Resumes != "" || x.call.LastEvent != "")
}

// accepts reports whether a request may go to an upstream of its service. A stream goes on only at the version of the
// software that began it, and nothing leaves the regions that are allowed.
func (x *exchange) accepts(u roster.Upstream) bool {
	return (x.origin.Version == "" || u.Version == x.origin.Version) && x.isInBounds(u)
}

// pinResumed finds where the stream began that a request takes up again, and lets it go on only there. It refuses
// the request if that can't be known.
func (p *Proxy) pinResumed(x *exchange) *fault.Error {
	if !x.isResumed() {
		return nil
	}
	o, result, e := p.findOrigin(x)
	p.metrics.resumed.WithLabelValues(result).Inc()
	if e != nil {
		return e
	}
	if o.Version == origin.Unknown {
		return fault.NotRun(fault.StreamUnknown, "the upstream that began the stream had come back as another version")
	}
	if o.Service != x.service.Name {
		s := p.snapshot.Load().rules.Service(o.Service)
		if s == nil || !x.route.Serves(o.Service) {
			return fault.NotRun(fault.VersionGone, "the stream began at service %s, to which its route no longer leads", o.Service)
		}
		x.service = s
	}
	x.origin = o
	return nil
}

// findOrigin returns where the stream began that a request takes up again.
func (p *Proxy) findOrigin(x *exchange) (o origin.Origin, result string, e *fault.Error) {
	if o, ok := p.origins.Find(x.call.Resumes); ok {
		return o, originKnown, nil
	}
	a := p.askOrigin(x)
	for !a.found && p.isSettling() && pauseUnlessDone(x.ctx, findOriginPause) {
		a = p.askOrigin(x)
	}
	if a.found {
		p.origins.Note(time.Now(), x.call.Resumes, a.origin)
		return a.origin, originAsked, nil
	}
	if !p.awaitListing(x) {
		e = fault.NotRun(fault.StreamUnknown, "it isn't known which version of the upstream began the stream, and the list of upstreams is older than the request")
		return o, originUnknown, e.WithRetryAt(time.Now().Add(findOriginRetryAfter))
	}
	versions := append(a.seen, p.versionsWithin(x.streamTime(), x.service.Name)...)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	observed := max(a.observed, p.versions.Observed(time.Now()))
	x.record.originVersions, x.record.originObserved = versions, observed
	if len(versions) <= 1 && len(x.route.Destinations) == 1 && observed >= x.streamTime() {
		return origin.Origin{Service: x.service.Name, Version: strings.Join(versions, "")}, originSingle, nil
	}
	e = fault.NotRun(fault.StreamUnknown, "it isn't known which version of the upstream began the stream; versions are %v, seen for %v", versions, observed)
	if a.silent > 0 || len(versions) <= 1 {
		e = e.WithRetryAt(time.Now().Add(findOriginRetryAfter))
	}
	return o, originUnknown, e
}

// awaitListing waits until the upstreams are known as of a time after the request came, and reports whether they are. A stream
// that is taken up has begun before, so the list names its version, unless that has left. An entry that is cut off or has stood
// still has an older list, which may lack a version that has joined meanwhile.
func (p *Proxy) awaitListing(x *exchange) bool {
	end := time.Now().Add(listingTimeout)
	for p.snapshot.Load().readAt < x.arrivedInstant {
		if time.Now().After(end) || !pauseUnlessDone(x.ctx, listingPause) {
			return false
		}
	}
	return true
}

// isSettling reports whether this entry has started so recently that it may not know the other members yet.
func (p *Proxy) isSettling() bool { return time.Since(p.startedAt) < settleTime }

// pauseUnlessDone waits for a time, and reports whether the context hasn't ended by then.
func pauseUnlessDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// streamTime returns how long ago the stream of a resumed request can have begun at most.
func (x *exchange) streamTime() time.Duration { return max(x.route.Timeout, x.call.TimeLeft) }

// originAnswer is what other members say of where a stream began.
type originAnswer struct {
	origin origin.Origin
	found  bool
	// seen are versions that the service's upstreams have had while the stream may have lasted.
	seen []string
	// observed is for how long one of them has seen all versions.
	observed time.Duration
	// silent is the number of members that didn't answer.
	silent int
}

// askOrigin asks the members that may have noted where a stream began, all at once. They also say which versions there
// were.
func (p *Proxy) askOrigin(x *exchange) (a originAnswer) {
	ctx, cancel := context.WithTimeout(x.ctx, findOriginTimeout)
	defer cancel()
	q := &wire.FindOriginRequest{Request: x.call.Resumes, Service: x.service.Name, WithinMicros: x.streamTime().Microseconds()}
	members := p.originMembers(x.call.Resumes)
	replies := make(chan *wire.FindOriginReply, len(members))
	for _, m := range members {
		p.tasks.Go(func() {
			r, err := link.Call(ctx, p.links, m.Address, link.FindOrigin, q)
			if err != nil {
				p.log.WithField("event", "origin-unasked").WithField("request", x.call.ID).WithField("peer", m.Name).WithError(err).Debug("a member didn't say where a stream began")
				r = nil
			}
			replies <- r
		})
	}
	for range members {
		r := <-replies
		switch {
		case r == nil:
			a.silent++
		case r.Origin.GetVersion() != "":
			a.origin, a.found = origin.Origin{Service: r.Origin.Service, Version: r.Origin.Version}, true
			return a
		}
		a.seen = append(a.seen, r.GetSeen()...)
		a.observed = max(a.observed, micros(r.GetObservedMicros()))
	}
	return a
}

// originMembers returns the other members that note where the stream of a request began, in order.
func (p *Proxy) originMembers(request string) []*wire.Member {
	return origin.Rank(request, p.mesh.Live(mesh.RoleAgent), p.mesh.Live(mesh.RoleEntry))
}

// checkVersion refuses a stream if no upstream is left of the version that began it.
func (p *Proxy) checkVersion(x *exchange) *fault.Error {
	v := x.origin.Version
	if v == "" || slices.ContainsFunc(p.snapshot.Load().services[x.service.Name], x.accepts) {
		return nil
	}
	return fault.NotRun(fault.VersionGone, "no upstream runs version %s, which began the stream", v).WithRetryAt(time.Now().Add(versionRetryAfter))
}

// checkPinned reports why a request that waited may no longer be sent to an upstream: since it was picked, another
// process, of another version, has started under its name, or its region is no longer allowed.
func (p *Proxy) checkPinned(x *exchange, u roster.Upstream) error {
	for _, n := range p.snapshot.Load().services[u.Service] {
		if n.Instance == u.Instance && !x.accepts(n) {
			return &upconn.Error{Err: errUpstreamLeaving}
		}
	}
	return nil
}

// NoteOrigin remembers where a stream began at another entry.
func (p *Proxy) NoteOrigin(_ context.Context, m *wire.StreamOrigin) (*wire.OriginNoted, error) {
	p.origins.HandleNote(time.Now(), m)
	return &wire.OriginNoted{}, nil
}

// FindOrigin tells another entry where a stream began, and which versions this entry has seen.
func (p *Proxy) FindOrigin(_ context.Context, q *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	now := time.Now()
	p.mu.Lock()
	p.seeVersions(now)
	p.mu.Unlock()
	return p.origins.HandleFind(now, q, p.versions), nil
}

// versionsWithin returns the versions that upstreams of a service have had within a time up to now. The list that is in
// force counts, however old it is.
func (p *Proxy) versionsWithin(d time.Duration, service string) []string {
	now := time.Now()
	p.mu.Lock()
	p.seeVersions(now)
	p.mu.Unlock()
	return p.versions.Since(now.Add(-d), service)
}
