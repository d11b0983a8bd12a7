package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypoint.example/coord/rank"
	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// terms are those of a workspace whose streams are a tenth of its burst.
var terms = Limit{Rate: 100000, Burst: 100000, Overage: overage, Slack: 73000, Version: 1}

// What operators tolerate: any window of this length holds no more than the rate and
// burst, this much more, and the slack.
const (
	window  = 8 * time.Second
	overage = 0.25
)

func bound(t Limit) float64 {
	return (t.Rate*window.Seconds()+t.Burst)*(1+overage) + t.Slack
}

func TestOneRequestOverdraws(t *testing.T) {
	l := New()
	small := Limit{Rate: 1000, Burst: 1000, Slack: 0, Version: 1}
	l.Take(epoch, "w", small, 1)
	now := epoch.Add(10 * time.Second)
	if ok, _ := l.Take(now, "w", small, 5000); !ok {
		t.Error("a request larger than the burst is refused by a full bucket")
	}
	ok, wait := l.Take(now, "w", small, 100)
	if ok {
		t.Error("an overdrawn bucket grants")
	}
	if ok, _ := l.Take(now.Add(wait+time.Millisecond), "w", small, 100); !ok {
		t.Errorf("a request is refused after the wait of %s that it was told", wait)
	}
}

func TestNewerTermsHoldAtOnce(t *testing.T) {
	l := New()
	l.Take(epoch, "w", terms, 1)
	low := Limit{Rate: 100, Burst: 100, Version: 2}
	now := epoch.Add(time.Minute)
	if ok, _ := l.Take(now, "w", low, 110); !ok {
		t.Fatal("a full bucket refuses")
	}
	if ok, _ := l.Take(now, "w", terms, 110); ok {
		t.Error("an older version of the limit is granted after a newer one")
	}
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	l := New()
	low := Limit{Rate: 1, Burst: 100, Version: 1}
	now := epoch.Add(1000 * time.Second)
	l.Take(epoch, "w", low, 1)
	l.Take(now, "w", low, 100)
	l.Return("w", 100)
	if ok, _ := l.Take(now, "w", low, 100); !ok {
		t.Error("returned tokens are refused")
	}
}

func TestAdvances(t *testing.T) {
	var a Prefetched
	if a.Use(epoch, "w", 1) {
		t.Error("nothing was taken in advance")
	}
	a.Set(epoch, "w", 2)
	got := []bool{a.Use(epoch, "w", 1), a.Use(epoch, "w", 1), a.Use(epoch, "w", 1)}
	if d := cmp.Diff([]bool{true, true, false}, got); d != "" {
		t.Errorf("used (-want +got):\n%s", d)
	}
	a.Set(epoch, "w", 2)
	if a.Use(epoch.Add(advanceTerm+time.Nanosecond), "w", 1) {
		t.Error("an advance is used after its term")
	}
}

// fleet is a number of entries that reach each other or not.
type fleet struct {
	rand    *rand.Rand
	entries []string
	limits  map[string]*Limiter
	alone   map[string]*Limiter
	// apart are the entries that reach no other one; dead ones serve nobody.
	apart map[string]bool
	dead  map[string]bool
	// cut are the pairs that don't reach each other, though others reach both.
	cut map[[2]string]bool
	// changed is when one of these last changed.
	changed time.Time
}

// notice is how long it takes an entry to see that it hears nobody.
const notice = 1200 * time.Millisecond

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 3)), limits: map[string]*Limiter{}, alone: map[string]*Limiter{},
		apart: map[string]bool{}, dead: map[string]bool{}, cut: map[[2]string]bool{},
	}
	for i := range n {
		e := fmt.Sprintf("entry-%d", i)
		f.entries = append(f.entries, e)
		f.limits[e], f.alone[e] = New(), New()
	}
	return f
}

// reaches reports whether an entry has a way to another.
func (f *fleet) reaches(a, b string) bool {
	return a == b || !f.dead[b] && !f.apart[a] && !f.apart[b] && !f.cut[[2]string{a, b}]
}

// heard returns the number of entries of which one hears, itself included: news takes any
// way there is.
func (f *fleet) heard(e string) int {
	seen := map[string]bool{e: true}
	for next := []string{e}; len(next) > 0; next = next[1:] {
		for _, x := range f.entries {
			if !seen[x] && f.reaches(next[0], x) {
				seen[x] = true
				next = append(next, x)
			}
		}
	}
	return len(seen)
}

// owns reports whether an entry grants as an owner. One that doesn't forgets its buckets.
func (f *fleet) owns(now time.Time, e string) bool {
	n := f.heard(e)
	if now.Sub(f.changed) <= notice || HasQuorum(n, len(f.entries)-n) {
		return true
	}
	f.limits[e] = New()
	return false
}

// take asks the owner as an entry does: the first in rank that it reaches, which asks the
// owner if that is another one and it reaches it, or nobody.
func (f *fleet) take(now time.Time, e string, t Limit, tokens int64) bool {
	owners := rank.Top("w", f.entries, 2)
	for i, o := range owners {
		terms, bucket := t, "w"
		switch {
		case !f.reaches(e, o) || !f.owns(now, e) || !f.owns(now, o):
			continue
		case i > 0 && f.reaches(o, owners[0]) && f.owns(now, owners[0]):
			o = owners[0]
		case i > 0:
			terms, bucket = t.ForStandIn(), "w2"
		}
		ok, _ := f.limits[o].Take(now, bucket, terms, tokens)
		return ok
	}
	ok, _ := f.alone[e].Take(now, "w", t.OwnerlessShare(len(f.entries)), tokens)
	return ok
}

func (f *fleet) trouble(now time.Time) {
	f.changed = now
	e := f.entries[f.rand.IntN(len(f.entries))]
	switch f.rand.IntN(6) {
	case 5:
		for _, x := range f.entries {
			if f.rand.IntN(2) == 0 {
				f.cut[[2]string{e, x}], f.cut[[2]string{x, e}] = true, true
			}
		}
	case 0:
		f.limits[e], f.alone[e] = New(), New()
		f.dead[e] = !f.dead[e]
	case 1:
		f.apart[e] = true
	case 2:
		for _, x := range f.entries {
			f.limits[x], f.alone[x] = New(), New()
		}
	default:
		clear(f.apart)
		clear(f.dead)
		clear(f.cut)
	}
}

// TestLimitHolds floods a workspace at five times its rate through all entries, while
// entries die, are cut off from all or from some others and all restart at once; no window
// may hold more than is tolerated.
func TestLimitHolds(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 3+int(seed%6))
		var at []time.Time
		var size []float64
		now := epoch
		// Troubles that end a bucket come no closer than operators restart a fleet.
		next := now.Add(10 * time.Second)
		for now.Before(epoch.Add(90 * time.Second)) {
			now = now.Add(time.Duration(f.rand.IntN(40)) * time.Millisecond)
			if now.After(next) {
				f.trouble(now)
				next = now.Add(window + time.Duration(f.rand.IntN(8000))*time.Millisecond)
			}
			n := int64(200)
			if f.rand.IntN(2) == 0 {
				n = int64(3000 + f.rand.IntN(20000))
			}
			e := f.entries[f.rand.IntN(len(f.entries))]
			if !f.dead[e] && f.take(now, e, terms, n) {
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
		if most > bound(terms) {
			t.Errorf("seed %d: %.0f tokens in a window; %.0f are tolerated", seed, most, bound(terms))
		}
	}
}

// TestNoWrongfulRefusals offers seven tenths of the rate as random streams and plain calls,
// and compares with one exact bucket.
func TestNoWrongfulRefusals(t *testing.T) {
	f := newFleet(1, 5)
	exact := &bucket{terms: terms, level: terms.Burst, updated: epoch}
	wrong, total := 0, 0
	now := epoch
	for range 3000 {
		now = now.Add(time.Duration(f.rand.ExpFloat64() * float64(87*time.Millisecond)))
		n := int64(12000)
		if f.rand.IntN(2) == 0 {
			n = 200
		}
		within := exact.within(now, n)
		ok := f.take(now, f.entries[f.rand.IntN(5)], terms, n)
		if now.Sub(epoch) < time.Second {
			// A new bucket holds a part of the burst alone.
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

// within is one exact bucket without overdraft.
func (b *bucket) within(now time.Time, n int64) bool {
	b.level = min(b.terms.Burst, b.level+b.terms.Rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}
