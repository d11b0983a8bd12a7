package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypoint.example/coord/rank"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testLimit is the limit of a workspace whose streams take a tenth of its burst.
var testLimit = Limit{Rate: 100000, Burst: 100000, Overage: tolerance, Slack: 73000, Version: 1}

// The tolerated excess: the tokens granted in any window of this length stay below the rate
// over the window plus the burst, increased by this fraction, plus the slack.
const (
	window    = 8 * time.Second
	tolerance = 0.25
)

// maxTokens returns the tokens that may be granted in one window.
func maxTokens(t Limit) float64 {
	return (t.Rate*window.Seconds()+t.Burst)*(1+tolerance) + t.Slack
}

func TestOneRequestOverdraws(t *testing.T) {
	l := New()
	small := Limit{Rate: 1000, Burst: 1000, Slack: 0, Version: 1}
	l.Take(start, "w", small, 1)
	now := start.Add(10 * time.Second)
	if ok, _ := l.Take(now, "w", small, 5000); !ok {
		t.Error("a full bucket refuses a request larger than the burst")
	}
	ok, wait := l.Take(now, "w", small, 100)
	if ok {
		t.Error("an overdrawn bucket grants a request")
	}
	if ok, _ := l.Take(now.Add(wait+time.Millisecond), "w", small, 100); !ok {
		t.Errorf("a request is refused after the returned wait of %s", wait)
	}
}

func TestNewerTermsHoldAtOnce(t *testing.T) {
	l := New()
	l.Take(start, "w", testLimit, 1)
	low := Limit{Rate: 100, Burst: 100, Version: 2}
	now := start.Add(time.Minute)
	if ok, _ := l.Take(now, "w", low, 110); !ok {
		t.Fatal("a full bucket refuses a request")
	}
	if ok, _ := l.Take(now, "w", testLimit, 110); ok {
		t.Error("an older version of the limit is applied after a newer one")
	}
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	l := New()
	low := Limit{Rate: 1, Burst: 100, Version: 1}
	now := start.Add(1000 * time.Second)
	l.Take(start, "w", low, 1)
	l.Take(now, "w", low, 100)
	l.Return("w", 100)
	if ok, _ := l.Take(now, "w", low, 100); !ok {
		t.Error("returned tokens are not granted again")
	}
}

func TestPrefetched(t *testing.T) {
	var p Prefetched
	if p.Use(start, "w", 1) {
		t.Error("an empty cache grants a token")
	}
	p.Set(start, "w", 2)
	got := []bool{p.Use(start, "w", 1), p.Use(start, "w", 1), p.Use(start, "w", 1)}
	if d := cmp.Diff([]bool{true, true, false}, got); d != "" {
		t.Errorf("granted (-want +got):\n%s", d)
	}
	p.Set(start, "w", 2)
	if p.Use(start.Add(prefetchTTL+time.Nanosecond), "w", 1) {
		t.Error("prefetched tokens are used after their TTL")
	}
}

// cluster simulates entries that crash, restart and are partitioned from each other.
type cluster struct {
	rand      *rand.Rand
	entries   []string
	limits    map[string]*Limiter
	ownerless map[string]*Limiter
	// isolated holds the entries that reach no other entry.
	isolated map[string]bool
	// dead holds the entries that are down.
	dead map[string]bool
	// partitioned holds the pairs that don't reach each other although other entries may reach
	// both.
	partitioned map[[2]string]bool
	// lastChange is the time of the last injected fault or repair.
	lastChange time.Time
}

// detectionDelay is the time until an entry notices that it hears no others.
const detectionDelay = 1200 * time.Millisecond

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 3)), limits: map[string]*Limiter{}, ownerless: map[string]*Limiter{},
		isolated: map[string]bool{}, dead: map[string]bool{}, partitioned: map[[2]string]bool{},
	}
	for i := range n {
		e := fmt.Sprintf("entry-%d", i)
		c.entries = append(c.entries, e)
		c.limits[e], c.ownerless[e] = New(), New()
	}
	return c
}

// reaches reports whether entry a can send to entry b.
func (c *cluster) reaches(a, b string) bool {
	return a == b || !c.dead[b] && !c.isolated[a] && !c.isolated[b] && !c.partitioned[[2]string{a, b}]
}

// countReachable returns the number of entries whose heartbeats reach an entry, itself
// included. Heartbeats are gossiped, so they arrive over any path that exists.
func (c *cluster) countReachable(e string) int {
	seen := map[string]bool{e: true}
	for next := []string{e}; len(next) > 0; next = next[1:] {
		for _, x := range c.entries {
			if !seen[x] && c.reaches(next[0], x) {
				seen[x] = true
				next = append(next, x)
			}
		}
	}
	return len(seen)
}

// checkOwner reports whether an entry may grant as an owner. The buckets of one that may not
// are discarded.
func (c *cluster) checkOwner(now time.Time, e string) bool {
	n := c.countReachable(e)
	if now.Sub(c.lastChange) <= detectionDelay || HasQuorum(n, len(c.entries)-n) {
		return true
	}
	c.limits[e] = New()
	return false
}

// take requests tokens as an entry does. It asks the highest-ranked of two entries that it
// reaches. The second-ranked passes the request to the first if it reaches that one, and
// grants as a stand-in otherwise. An entry that reaches neither uses its own bucket.
func (c *cluster) take(now time.Time, e string, t Limit, tokens int64) bool {
	owners := rank.Top("w", c.entries, 2)
	for i, o := range owners {
		limit, bucket := t, "w"
		switch {
		case !c.reaches(e, o) || !c.checkOwner(now, e) || !c.checkOwner(now, o):
			continue
		case i > 0 && c.reaches(o, owners[0]) && c.checkOwner(now, owners[0]):
			o = owners[0]
		case i > 0:
			limit, bucket = t.ForStandIn(), "w2"
		}
		ok, _ := c.limits[o].Take(now, bucket, limit, tokens)
		return ok
	}
	ok, _ := c.ownerless[e].Take(now, "w", t.OwnerlessShare(len(c.entries)), tokens)
	return ok
}

// injectFault causes a random fault or repairs all faults but lost buckets.
func (c *cluster) injectFault(now time.Time) {
	c.lastChange = now
	e := c.entries[c.rand.IntN(len(c.entries))]
	switch c.rand.IntN(6) {
	case 5:
		for _, x := range c.entries {
			if c.rand.IntN(2) == 0 {
				c.partitioned[[2]string{e, x}], c.partitioned[[2]string{x, e}] = true, true
			}
		}
	case 0:
		c.limits[e], c.ownerless[e] = New(), New()
		c.dead[e] = !c.dead[e]
	case 1:
		c.isolated[e] = true
	case 2:
		for _, x := range c.entries {
			c.limits[x], c.ownerless[x] = New(), New()
		}
	default:
		clear(c.isolated)
		clear(c.dead)
		clear(c.partitioned)
	}
}

// TestLimitHolds guards against two owners granting a workspace's limit twice. A workspace
// sends over three times its rate through all entries, while entries crash, are partitioned
// from all or some others, or restart all at once. No window may hold more than the tolerated
// number of tokens.
func TestLimitHolds(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(seed, 3+int(seed%6))
		var at []time.Time
		var size []float64
		now := start
		// Faults that discard a bucket are at least as far apart as restarts by operators.
		next := now.Add(10 * time.Second)
		for now.Before(start.Add(90 * time.Second)) {
			now = now.Add(time.Duration(c.rand.IntN(40)) * time.Millisecond)
			if now.After(next) {
				c.injectFault(now)
				next = now.Add(window + time.Duration(c.rand.IntN(8000))*time.Millisecond)
			}
			n := int64(200)
			if c.rand.IntN(2) == 0 {
				n = int64(3000 + c.rand.IntN(20000))
			}
			e := c.entries[c.rand.IntN(len(c.entries))]
			if !c.dead[e] && c.take(now, e, testLimit, n) {
				at, size = append(at, now), append(size, float64(n))
			}
		}
		most := 0.0
		sum, from := 0.0, 0
		for i := range at {
			sum += size[i]
			for at[i].Sub(at[from]) > window {
				sum -= size[from]
				from++
			}
			most = max(most, sum)
		}
		if most > maxTokens(testLimit) {
			t.Errorf("seed %d: %.0f tokens in a window; %.0f are tolerated", seed, most, maxTokens(testLimit))
		}
	}
}

// TestNoWrongfulRefusals guards against refusing requests that are within the limit. It
// offers seven tenths of the rate as random streams and plain calls, and compares the result
// with a single exact bucket.
func TestNoWrongfulRefusals(t *testing.T) {
	c := newCluster(1, 5)
	exact := &bucket{limit: testLimit, level: testLimit.Burst, updated: start}
	wrong, total := 0, 0
	now := start
	for range 3000 {
		now = now.Add(time.Duration(c.rand.ExpFloat64() * float64(87*time.Millisecond)))
		n := int64(12000)
		if c.rand.IntN(2) == 0 {
			n = 200
		}
		within := exact.takeExact(now, n)
		ok := c.take(now, c.entries[c.rand.IntN(5)], testLimit, n)
		if now.Sub(start) < time.Second {
			// A new bucket holds only a part of the burst.
			continue
		}
		total++
		if !ok && within {
			wrong++
		}
	}
	if wrong > total/200 {
		t.Errorf("%d of %d requests within the limit were refused", wrong, total)
	}
}

// takeExact takes n tokens from an exact bucket, which allows no overdraft and no overage.
func (b *bucket) takeExact(now time.Time, n int64) bool {
	b.level = min(b.limit.Burst, b.level+b.limit.Rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}
