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

// testLimit is the limit of a workspace whose streams take from 3 to 23 percent of its burst.
var testLimit = Limit{Rate: 100000, Burst: 100000, Overage: overage, Slack: 73000, Version: 1}

const (
	// window is the length of the periods over which granted tokens are added up.
	window = 8 * time.Second
	// overage is the tolerated excess over the rate and the burst, as a fraction of them.
	overage = 0.25
)

// maxTokens returns the tokens that may be granted in any one window.
func maxTokens(l Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+overage) + l.Slack
}

func TestOneRequestOverdraws(t *testing.T) {
	l := New()
	small := Limit{Rate: 1000, Burst: 1000, Slack: 0, Version: 1}
	// Creates the bucket, which is full 10 seconds later.
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

// TestNewerLimitAppliesAtOnce overdraws a bucket under a newer, lower limit. If the older one
// still applied, the bucket would hold enough tokens for the second request too.
func TestNewerLimitAppliesAtOnce(t *testing.T) {
	l := New()
	// Creates the bucket, which is full a minute later.
	l.Take(start, "w", testLimit, 1)
	low := Limit{Rate: 100, Burst: 100, Version: 2}
	now := start.Add(time.Minute)
	if ok, _ := l.Take(now, "w", low, 110); !ok {
		t.Fatal("a full bucket with a burst of 100 refuses a request for 110 tokens")
	}
	if ok, _ := l.Take(now, "w", testLimit, 110); ok {
		t.Error("an older version of the limit is applied after a newer one")
	}
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	l := New()
	low := Limit{Rate: 1, Burst: 100, Version: 1}
	now := start.Add(1000 * time.Second)
	// Creates the bucket, which is full at now.
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
		t.Error("an empty Prefetched grants a token")
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
	rand    *rand.Rand
	entries []string
	// limiters holds, for each entry, the buckets from which it grants as an owner or a
	// stand-in.
	limiters map[string]*Limiter
	// ownerless holds, for each entry, the buckets that it uses when it reaches no owner.
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

// detectionDelay is the time after a fault or repair during which each entry still assumes
// that it has a quorum.
const detectionDelay = 1200 * time.Millisecond

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 3)), limiters: map[string]*Limiter{}, ownerless: map[string]*Limiter{},
		isolated: map[string]bool{}, dead: map[string]bool{}, partitioned: map[[2]string]bool{},
	}
	for i := range n {
		e := fmt.Sprintf("entry-%d", i)
		c.entries = append(c.entries, e)
		c.limiters[e], c.ownerless[e] = New(), New()
	}
	return c
}

// reaches reports whether entry a can send to entry b.
func (c *cluster) reaches(a, b string) bool {
	return a == b || !c.dead[b] && !c.isolated[a] && !c.isolated[b] && !c.partitioned[[2]string{a, b}]
}

// countReachable returns the number of entries that are connected with an entry over any
// path, itself included. Heartbeats are gossiped, so they pass along such paths.
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

// checkQuorum reports whether an entry has a quorum, or lost it so recently that it hasn't
// noticed. Otherwise it discards the buckets from which the entry grants as an owner or a
// stand-in.
func (c *cluster) checkQuorum(now time.Time, e string) bool {
	n := c.countReachable(e)
	if now.Sub(c.lastChange) <= detectionDelay || HasQuorum(n, len(c.entries)-n) {
		return true
	}
	c.limiters[e] = New()
	return false
}

// take requests tokens as an entry does. It asks the first of the two top-ranked entries that
// it reaches. The second-ranked passes the request to the first if it reaches that one, and
// grants as a stand-in otherwise. An entry that reaches neither uses its own bucket.
func (c *cluster) take(now time.Time, e string, l Limit, tokens int64) bool {
	ranked := rank.Top("w", c.entries, 2)
	for i, o := range ranked {
		limit, key := l, "w"
		switch {
		case !c.reaches(e, o) || !c.checkQuorum(now, e) || !c.checkQuorum(now, o):
			continue
		case i > 0 && c.reaches(o, ranked[0]) && c.checkQuorum(now, ranked[0]):
			o = ranked[0]
		case i > 0:
			// A stand-in's bucket is separate from the one that the entry holds as an owner.
			limit, key = l.ForStandIn(), "w2"
		}
		ok, _ := c.limiters[o].Take(now, key, limit, tokens)
		return ok
	}
	ok, _ := c.ownerless[e].Take(now, "w", l.OwnerlessShare(len(c.entries)), tokens)
	return ok
}

// injectFault causes a random fault, restarts entries, or ends all isolation, partitions and
// crashes. Discarded buckets are not restored.
func (c *cluster) injectFault(now time.Time) {
	c.lastChange = now
	e := c.entries[c.rand.IntN(len(c.entries))]
	switch c.rand.IntN(6) {
	case 5:
		// A random half of the entries is partitioned from e.
		for _, x := range c.entries {
			if c.rand.IntN(2) == 0 {
				c.partitioned[[2]string{e, x}], c.partitioned[[2]string{x, e}] = true, true
			}
		}
	case 0:
		// A live entry crashes, or a dead one restarts.
		c.limiters[e], c.ownerless[e] = New(), New()
		c.dead[e] = !c.dead[e]
	case 1:
		c.isolated[e] = true
	case 2:
		// All entries restart at once.
		for _, x := range c.entries {
			c.limiters[x], c.ownerless[x] = New(), New()
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
		// The first fault comes after 10 seconds; the others are at least one window apart, as
		// restarts by operators are.
		next := now.Add(10 * time.Second)
		for now.Before(start.Add(90 * time.Second)) {
			now = now.Add(time.Duration(c.rand.IntN(40)) * time.Millisecond)
			if now.After(next) {
				c.injectFault(now)
				next = now.Add(window + time.Duration(c.rand.IntN(8000))*time.Millisecond)
			}
			// A plain call takes 200 tokens, a stream between 3000 and 23000.
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
// requests seven tenths of the rate as random streams and plain calls, and compares the result
// with a single exact bucket.
func TestNoWrongfulRefusals(t *testing.T) {
	c := newCluster(1, 5)
	exact := &bucket{limit: testLimit, level: testLimit.Burst, updated: start}
	wrong, total := 0, 0
	now := start
	for range 3000 {
		// On average 6100 tokens are requested every 87 ms, 0.7 of the rate.
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
	// One request in 200 may be refused wrongfully.
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

// TestResumedStreamsUseSlack lets a workspace send more than its limit, and then take up streams that broke off. They are
// granted more often than new ones, and the level never falls lower.
func TestResumedStreamsUseSlack(t *testing.T) {
	const tokens, streams, step = 17000, 2000, 20 * time.Millisecond
	l := New()
	granted := map[bool]int{}
	lowest := 0.0
	now := start
	for i := range streams {
		now = now.Add(step)
		resumes := i%10 == 0
		take := l.Take
		if resumes {
			take = l.TakeToResume
		}
		if ok, _ := take(now, "w", testLimit, tokens); ok {
			granted[resumes]++
		}
		lowest = min(lowest, l.buckets["w"].level)
	}
	if granted[true]*9 < 2*granted[false] {
		t.Errorf("%d of %d resumed streams and %d of %d new ones were granted, want twice the share", granted[true], streams/10, granted[false], streams*9/10)
	}
	if least := -bucketSlackShare * testLimit.Slack; lowest < least {
		t.Errorf("the level fell to %.0f, want at least %.0f", lowest, least)
	}
}
