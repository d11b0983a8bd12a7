package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/limits"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/rules"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestUnreachableOwnersLeaveAnEqualShare guards against entries that together grant too much while
// neither the owner of a workspace's bucket nor its stand-in answers. Each may grant half of an
// equal share, from a bucket that begins with a tenth of the burst.
func TestUnreachableOwnersLeaveAnEqualShare(t *testing.T) {
	const entries, burst, size = 4, 160000, 100
	granted := 0
	for i := range entries {
		p, x := newTestEntry(t, i, entries, 0)
		p.log, p.hasQuorum = logrus.New(), true
		p.ownedBuckets, p.standInBuckets, p.localBuckets = limits.New(), limits.New(), limits.New()
		p.ownerBackoffUntil, p.endedIncarnations = map[string]time.Time{}, map[string]int64{}
		names := []string{p.settings.VM}
		for _, m := range p.mesh.Live(mesh.RoleEntry) {
			names = append(names, m.Name)
			p.ownerBackoffUntil[m.Name] = time.Now().Add(time.Minute)
		}
		if l := rank.Top("w", names, maxAskedEntries); l[0] == p.settings.VM || l[1] == p.settings.VM {
			continue
		}
		x.r = httptest.NewRequest("GET", "/", nil)
		x.route, x.workspace = &rules.Route{}, &rules.Workspace{Name: "w", Rate: 1, Burst: burst}
		for ok := true; ok; granted++ {
			ok, _ = p.takeFromOwner(x, size)
		}
		granted--
	}
	if d := cmp.Diff(2*burst/10/2/entries/size, granted); d != "" {
		t.Errorf("requests granted by the two entries that are neither owner nor stand-in (-want +got):\n%s", d)
	}
}

// TestFlappingOwnerGrantsOneLimit guards against a limit that is granted twice when the entry that
// ranks first repeatedly ends and comes back: the owned bucket of the entry that ranks second must
// not refill meanwhile.
func TestFlappingOwnerGrantsOneLimit(t *testing.T) {
	const entries, burst = 2, 100000
	for i := range entries {
		p, _ := newTestEntry(t, i, entries, 0)
		p.log, p.hasQuorum = logrus.New(), true
		p.ownedBuckets, p.endedIncarnations = limits.New(), map[string]int64{}
		other := p.mesh.Live(mesh.RoleEntry)[0]
		if rank.Top("w", []string{p.settings.VM, other.Name}, 1)[0] == p.settings.VM {
			continue
		}
		limit := limits.Limit{Rate: burst, Burst: burst, Version: 1}
		now := time.Now()
		granted := 0
		for range 5 {
			p.endedIncarnations[other.Name] = other.Incarnation
			p.dropUnownedBuckets(p.mesh.Live(mesh.RoleEntry))
			for ok := true; ok; granted++ {
				ok, _ = p.ownedBuckets.Take(now, "w", limit, burst/100)
			}
			granted--
			delete(p.endedIncarnations, other.Name)
			p.dropUnownedBuckets(p.mesh.Live(mesh.RoleEntry))
			now = now.Add(2 * time.Second)
		}
		if granted > 5*100/10 {
			t.Errorf("%d hundredths of a burst were granted by the entry that ranks second", granted)
		}
	}
}
