package proxy

import (
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/mesh"
)

// isOutdated reports whether this entry may have missed a change that has to be in force by now.
func (p *Proxy) isOutdated(v *snapshot) bool {
	t := p.settings.ConfigApplyTime
	return t > 0 && v.age() > t
}

// lagsBehind reports whether this entry may have missed a change that has to be in force by now, and others may know it: the
// store answers, or no other entry says that it has only old data too. Its callers are better served elsewhere.
//
// It answers an entry whose link or processor is so full that what brings the configuration comes late. While the store is
// down for all, nobody knows better, and the entry goes on.
func (p *Proxy) lagsBehind(v *snapshot) bool {
	if !p.isOutdated(v) {
		return false
	}
	t := p.settings.ConfigApplyTime
	if p.sinceStoreCall() < t {
		return true
	}
	sinceOldReply := clock.Now().Sub(clock.Instant(p.lastOldReply.Load()))
	return sinceOldReply > t && len(p.mesh.Live(mesh.RoleEntry)) > 0
}

// noKeyFault returns the fault for a request whose key no workspace has, as noRouteFault does.
func (p *Proxy) noKeyFault(v *snapshot) *fault.Error {
	if p.isOutdated(v) {
		return p.notReadyFault("the configuration is too old to tell that no workspace has the key")
	}
	return fault.NotRun(fault.BadKey, "the key is not granted")
}

// noRouteFault returns the fault for a request that no route matches. An entry that may have missed a change can't tell
// that there is none: the caller, who wouldn't come back after that answer, is told to.
func (p *Proxy) noRouteFault(v *snapshot) *fault.Error {
	if p.isOutdated(v) {
		return p.notReadyFault("the configuration is too old to tell that no route matches")
	}
	return fault.NotRun(fault.NoRoute, "no route matches the host and path")
}
