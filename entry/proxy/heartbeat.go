package proxy

import (
	"time"

	"cranberrypoint.example/coord/limits"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

// updateSelf updates this entry's membership record before a heartbeat. It is called with the
// lock of the mesh held. Requests take that lock while they hold p.mu, so p.mu must not be taken
// here.
func (p *Proxy) updateSelf(self *wire.Member) { self.Leaving = p.draining.Load() }

// afterHeartbeat updates subscriptions and the ownership of limits after a heartbeat.
func (p *Proxy) afterHeartbeat() {
	live := p.mesh.Live(mesh.RoleEntry)
	p.updateEngines(live)
	p.observeFleet(time.Now())
	p.logColdChanges(time.Now())
	heard, missing := p.mesh.Heard(mesh.RoleEntry)
	hasQuorum := limits.HasQuorum(1+heard, missing) && !p.mesh.Isolated()
	p.mu.Lock()
	defer p.mu.Unlock()
	if hasQuorum != p.hasQuorum {
		p.log.WithFields(logrus.Fields{"event": "owning", "owns": hasQuorum, "heard": heard, "missing": missing}).Info("quorum for owning rate limits changed")
	}
	if p.hasQuorum && !hasQuorum {
		p.ownedBuckets, p.standInBuckets = limits.New(), limits.New()
	}
	p.hasQuorum = hasQuorum
	p.dropUnownedBuckets(live)
}
