// Package pacer keeps a process to its share of the limits that upstreams advertise for the whole fleet.
//
// It answers an upstream that is overloaded and advertises the requests a second it takes from all processes
// together. Each process sees only what it sends itself, so without a share each would use the whole
// limit, and the upstream would get as many times that as there are processes. Load and failures
// don't tell them either: an upstream that is spared looks idle and attracts more.
//
// A Table holds the limits by instance, and a token bucket for each that is filled with the process's
// share. Processes pass on what they were told, so that one that seldom sends to an upstream learns of
// its limit, and of its end. A Table is safe for concurrent use and does no I/O; the caller passes the
// time.
package pacer

import (
	"maps"
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
	// tokens are in the bucket as of filledAt.
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens of a share since the last call.
func (a *advert) fill(now time.Time, share float64) {
	a.tokens = min(burst, a.tokens+now.Sub(a.filledAt).Seconds()*a.perSecond*share)
	a.filledAt = now
}

// Share returns the part of an upstream's limit, from 0 to 1, that a process may use.
type Share func(instance string, perSecond float64) float64

// Table holds the limits of upstreams by instance, so that a restart of an upstream ends its limit. Use
// New.
type Table struct {
	share Share

	mu      sync.Mutex
	adverts map[string]*advert
}

// New returns an empty table. The share is asked again at each use of a limit.
func New(s Share) *Table { return &Table{share: s, adverts: map[string]*advert{}} }

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
		a = &advert{filledAt: now}
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
	a := t.current(now, instance)
	if a == nil {
		return true
	}
	a.fill(now, t.share(instance, a.perSecond))
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Next returns when an instance may get a request of this process: now at the earliest.
func (t *Table) Next(now time.Time, instance string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.current(now, instance)
	if a == nil {
		return now
	}
	s := t.share(instance, a.perSecond)
	a.fill(now, s)
	if a.tokens >= 1 {
		return now
	}
	end := a.receivedAt.Add(advertTTL)
	if s <= 0 {
		return end
	}
	next := now.Add(time.Duration((1 - a.tokens) / (a.perSecond * s) * float64(time.Second)))
	if next.After(end) {
		return end
	}
	return next
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
}
