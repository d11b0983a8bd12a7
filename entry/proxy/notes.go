package proxy

import (
	"cmp"
	"time"

	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

// liveStream is what is known of the upstream of a stream in progress that may be taken up again.
type liveStream struct {
	request, instance string
	version           string
	// born is when the process of the upstream started. It is certain if its manager has said so, and otherwise as of the list.
	born      int64
	isCertain bool
}

// noteOrigin lets this entry and a few other members remember where a stream began whose answer begins now. The function
// that it returns is called at the end of the answer.
func (p *Proxy) noteOrigin(x *exchange, u roster.Upstream) (end func()) {
	if !x.mayBeResumed() {
		return func() {}
	}
	request := cmp.Or(x.call.Resumes, x.call.ID)
	p.mu.Lock()
	p.streams[x] = liveStream{request: request, instance: u.Instance, version: u.Version, born: cmp.Or(x.started, u.Born), isCertain: x.started != 0}
	// The list may have changed since the upstream was picked.
	if v := p.snapshot.Load(); v != nil {
		for _, n := range v.services[u.Service] {
			if n.Instance == u.Instance {
				p.correctOrigins(n)
			}
		}
	}
	version := p.streams[x].version
	p.mu.Unlock()
	if version != "" && version == u.Version {
		p.spreadOrigin(request, origin.Origin{Service: u.Service, Version: u.Version})
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.streams, x)
	}
}

// correctOrigins notes anew where the streams in progress at an upstream began that is listed with another version than theirs:
// it has crashed and come back under its name before that was known. If it isn't certain that a stream began at the process that
// is listed, nobody can tell its version. p.mu must be held.
func (p *Proxy) correctOrigins(u roster.Upstream) {
	for x, l := range p.streams {
		isSame := l.born == u.Born
		if l.instance != u.Instance || l.version == u.Version || isSame && !l.isCertain {
			continue
		}
		l.version = origin.Unknown
		if isSame {
			l.version = u.Version
		}
		p.streams[x] = l
		p.log.WithFields(logrus.Fields{"event": "origin-corrected", "request": l.request, "instance": u.Instance, "version": l.version}).Info("the upstream of a stream has come back as another version")
		p.tasks.Go(func() { p.spreadOrigin(l.request, origin.Origin{Service: u.Service, Version: l.version}) })
	}
}

// spreadOrigin notes where a stream began, here and at a few other members.
func (p *Proxy) spreadOrigin(request string, o origin.Origin) {
	p.origins.Note(time.Now(), request, o)
	m := &wire.StreamOrigin{Request: request, Service: o.Service, Version: o.Version}
	members := p.originMembers(request)
	next := make(chan *wire.Member, len(members))
	for _, r := range members {
		next <- r
	}
	close(next)
	for range origin.Holders {
		p.tasks.Go(func() { p.sendNote(m, next) })
	}
}

// sendNote sends a note to the first of some members that takes it.
func (p *Proxy) sendNote(m *wire.StreamOrigin, members <-chan *wire.Member) {
	for r := range members {
		_, err := link.Call(p.ctx, p.links, r.Address, link.NoteOrigin, m)
		if err == nil {
			return
		}
		p.log.WithField("event", "origin-unnoted").WithField("request", m.Request).WithField("peer", r.Name).WithError(err).Debug("a member didn't note where a stream began")
	}
}
