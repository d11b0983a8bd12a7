// Package pacer keeps a process to its share of the limits that upstreams advertise for the whole fleet.
//
// It answers an upstream that is overloaded and advertises the requests a second it takes from all processes
// together. Each process sees only what it sends itself, so without a share each would use the whole
// limit, and the upstream would get as many times that as there are processes. Load and failures
// don't tell them either: an upstream that is spared looks idle and attracts more.
//
// It also answers an upstream that has just started, or was taken back: it is idle and so attracts
// everybody's load, but while it is cold it takes only a few requests a second from all processes together and
// crashes above that. It has one limit while it is cold, which grows for a time once it is warm, and then ends.
//
// A Table holds both limits by instance, and a token bucket for each that is filled with the process's
// share. A request needs a token from both. Processes pass on what they were told, so that one that seldom
// sends to an upstream learns of its limit, and of its end. A Table is safe for concurrent use and does no
// I/O; the caller passes the time.
package pacer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// advertTTL is how long an upstream's advertisement counts. Without any request to the upstream nobody
	// would learn that its limit has ended.
	advertTTL = 10 * time.Second
	// endDelay is the time after an upstream has advertised its limit in which an answer without one doesn't
	// end it: some answers may leave it out.
	endDelay = time.Second
	// burst is the size of a bucket, in requests. All shares of a limit may be full at once.
	burst = 1.0
	// maxLimits bounds the upstreams whose advertisement is kept.
	maxLimits = 512
)

// advert is the last advertisement of an upstream.
type advert struct {
	// perSecond is the limit; 0 if it advertises none any more.
	perSecond  float64
	receivedAt time.Time
	bucket
}

// bucket is a token bucket.
type bucket struct {
	// tokens are in the bucket as of filledAt.
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens since the last call.
func (b *bucket) fill(now time.Time, perSecond float64) {
	b.tokens = min(burst, b.tokens+now.Sub(b.filledAt).Seconds()*perSecond)
	b.filledAt = now
}

// next returns when there is a token in a bucket that was just filled; ok is false if it gets none.
func (b *bucket) next(now time.Time, perSecond float64) (at time.Time, ok bool) {
	if b.tokens >= 1 {
		return now, true
	}
	if perSecond <= 0 {
		return now, false
	}
	return now.Add(time.Duration((1 - b.tokens) / perSecond * float64(time.Second))), true
}

// Share returns the part of an upstream's limit, from 0 to 1, that a process may use.
type Share func(instance string, perSecond float64) float64

// Table holds the limits of upstreams by instance, so that a restart of an upstream ends its limit. Use
// New.
type Table struct {
	share     Share
	coldShare ColdShare

	mu      sync.Mutex
	adverts map[string]*advert
	cold    map[string]*cold
}

// Option changes a table.
type Option func(*Table)

// New returns an empty table. The shares are asked again at each use of a limit.
func New(s Share, opts ...Option) *Table {
	t := &Table{
		share:     s,
		coldShare: func(string, float64) float64 { return 0 },
		adverts:   map[string]*advert{},
		cold:      map[string]*cold{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Observe records what an answer of an upstream says of its limit, 0 for nothing. sentAt is when the request
// was sent: an answer to one from before the limit was last advertised, or just after, doesn't end the limit.
func (t *Table) Observe(now, sentAt time.Time, instance string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.adverts[instance]
	if perSecond <= 0 && (a == nil || a.perSecond <= 0 || !sentAt.After(a.receivedAt.Add(endDelay))) {
		return
	}
	t.set(now, now, instance, perSecond)
}

// set records the advertisement of an upstream. t.mu must be held.
func (t *Table) set(now, receivedAt time.Time, instance string, perSecond float64) {
	a := t.adverts[instance]
	if a == nil {
		a = &advert{bucket: bucket{filledAt: now}}
		t.adverts[instance] = a
	}
	a.perSecond, a.receivedAt = perSecond, receivedAt
	t.dropOld(now)
}

// dropOld drops the advertisements that no longer count, and the oldest if there are too many. t.mu must be held.
func (t *Table) dropOld(now time.Time) {
	maps.DeleteFunc(t.adverts, func(_ string, a *advert) bool { return now.Sub(a.receivedAt) >= advertTTL })
	for len(t.adverts) > maxLimits {
		oldest := ""
		for i, a := range t.adverts {
			if oldest == "" || a.receivedAt.Before(t.adverts[oldest].receivedAt) {
				oldest = i
			}
		}
		delete(t.adverts, oldest)
	}
}

// Take takes a token for one request to an instance and reports whether there was one. An instance without
// a limit always has one.
func (t *Table) Take(now time.Time, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.filled(now, instance)
	if slices.ContainsFunc(l, func(b *bucket) bool { return b.tokens < 1 }) {
		return false
	}
	for _, b := range l {
		b.tokens--
	}
	return true
}

// Return gives back the token of a request that the instance didn't get.
func (t *Table) Return(now time.Time, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.filled(now, instance) {
		b.tokens = min(burst, b.tokens+1)
	}
}

// filled returns the buckets of an instance, which were filled up to now. t.mu must be held.
func (t *Table) filled(now time.Time, instance string) (l []*bucket) {
	if a := t.current(now, instance); a != nil {
		a.fill(now, a.perSecond*t.share(instance, a.perSecond))
		l = append(l, &a.bucket)
	}
	if c := t.cold[instance]; c != nil && !c.isOver(now) {
		t.fillCold(now, instance, c)
		l = append(l, &c.bucket)
	}
	return l
}

// fillCold fills the bucket of a cold upstream and returns the rate at which it fills. A process without a share keeps no
// token that it had before. t.mu must be held.
func (t *Table) fillCold(now time.Time, instance string, c *cold) (perSecond float64) {
	perSecond = t.coldShare(instance, c.rate(now))
	c.fill(now, perSecond)
	if perSecond <= 0 {
		c.tokens = 0
	}
	return perSecond
}

// Next returns when an instance may get a request of this process: now at the earliest.
func (t *Table) Next(now time.Time, instance string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := now
	if a := t.current(now, instance); a != nil {
		perSecond := a.perSecond * t.share(instance, a.perSecond)
		a.fill(now, perSecond)
		next = earlier(&a.bucket, now, perSecond, a.receivedAt.Add(advertTTL))
	}
	if c := t.cold[instance]; c != nil && !c.isOver(now) {
		perSecond := t.fillCold(now, instance, c)
		if at := earlier(&c.bucket, now, perSecond, c.nextRate(now)); at.After(next) {
			return at
		}
	}
	return next
}

// earlier returns when a bucket has a token, or when its limit changes if that is earlier.
func earlier(b *bucket, now time.Time, perSecond float64, change time.Time) time.Time {
	at, ok := b.next(now, perSecond)
	if !ok || at.After(change) {
		return change
	}
	return at
}

// IsLimited reports whether an instance advertises a limit at present.
func (t *Table) IsLimited(now time.Time, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(now, instance) != nil
}

// current returns the advertisement of an instance if that is a limit which still counts. t.mu must be held.
func (t *Table) current(now time.Time, instance string) *advert {
	a := t.adverts[instance]
	if a == nil || a.perSecond <= 0 || now.Sub(a.receivedAt) >= advertTTL {
		return nil
	}
	return a
}

// Forget drops the limit of an instance that is gone.
func (t *Table) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.adverts, instance)
	delete(t.cold, instance)
}
