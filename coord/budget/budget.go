// Package budget provides a retry budget: a limit on the retries that an entry may send
// to a service within a sliding window. An entry is a process that receives the requests
// of callers and sends them to upstreams. A retry is any send of a request beyond the
// first.
//
// Without a limit, retries multiply the load while upstreams are overloaded or failing.
// The part of the budget that is proportional to an entry's own requests, Config.Ratio,
// needs no coordination between entries; the fixed part, Config.MinRetries, is divided by
// the number of entries.
//
// A process that starts has forgotten what it sent before. An entry therefore uses only a part of its share of
// MinRetries, and a smaller one while an earlier run of it may have sent retries in the same window. The parts leave
// room for two restarts of all entries within a window. An entry that has just started knows few others, and has no
// share until it knows how many there are.
//
// Time is passed in by the caller, as readings of a clock that no step of the time of day moves.
package budget

import (
	"time"

	"cranberrypoint.example/coord/clock"
)

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 10
	// usualPart is the part of its share of MinRetries that an entry uses, and startPart the one that it uses within
	// a window of its start.
	usualPart = 0.75
	startPart = 0.125
	// freeRefusals is the part of tentative sends that may be refused without each drawing on the budget beforehand.
	freeRefusals = 0.15
	// priorSends and priorRefusals are what an entry assumes of tentative sends before it has made any.
	priorSends    = 10
	priorRefusals = 0.5
)

// Config limits the retries to a service within any window.
type Config struct {
	// Ratio is the number of retries allowed for each request in the window.
	Ratio float64
	// MinRetries is the fixed number of retries that all entries together may make in a
	// window, however few requests there are. Those allowed by Ratio are added to it.
	MinRetries float64
	// Window is the length of the sliding window; at least 10ns, one for each bucket.
	Window time.Duration
}

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	requests float64
	retries  float64
	// settled counts the tentative sends that have ended, refused those of them that were refused.
	settled float64
	refused float64
}

// Tentative is a send that becomes a retry if the upstream refuses it, since another one follows then.
type Tentative struct {
	allowedAt clock.Instant
	// drawn is true if a retry was counted for it.
	drawn bool
}

// Budget counts the requests and retries of one entry to one service. It is not safe for
// concurrent use. Use New.
type Budget struct {
	config Config
	// buckets are ordered from the newest to the oldest.
	buckets [bucketCount + 1]bucket
	// newestSlot is the number of the time slot that the bucket at index 0 covers: the time
	// divided by the length of a bucket.
	newestSlot int64
	// startEnds is when an earlier run of the process can no longer have sent retries in the window.
	startEnds clock.Instant
}

// Option configures a Budget.
type Option func(*Budget)

// WithRestartAt says that the process has started at a time, and that an earlier run of it may have sent retries until then.
func WithRestartAt(t clock.Instant) Option {
	return func(b *Budget) { b.startEnds = t.Add(b.config.Window) }
}

// New returns an unused budget.
func New(c Config, opts ...Option) *Budget {
	b := &Budget{config: c}
	for _, o := range opts {
		o(b)
	}
	return b
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now clock.Instant) {
	b.advance(now)
	b.buckets[0].requests++
}

// AllowRetry reports whether a retry may be sent now, and counts it if so. MinRetries is
// divided by entries, the number of entries that share it; 0 if that isn't known.
func (b *Budget) AllowRetry(now clock.Instant, entries int) bool {
	b.advance(now)
	var requests, retries float64
	for i, x := range b.buckets {
		retries += x.retries
		if i < bucketCount {
			requests += x.requests
		}
	}
	if retries+1 > b.config.Ratio*requests+b.share(now, entries) {
		return false
	}
	b.buckets[0].retries++
	return true
}

// share returns how many retries of MinRetries an entry may make in a window.
func (b *Budget) share(now clock.Instant, entries int) float64 {
	if entries == 0 {
		return 0
	}
	s := b.config.MinRetries / float64(entries)
	if now.Before(b.startEnds) {
		return startPart * s
	}
	return usualPart * s
}

// AllowTentative reports whether a tentative send may be made now. Settle must be called at its end.
//
// It answers upstreams that refuse most of such sends: each would be made, and be a retry once it was refused, whatever
// the budget. While few are refused, they need nothing from the budget beforehand: it may be used up for other reasons, and
// what the send is for costs more elsewhere.
func (b *Budget) AllowTentative(now clock.Instant, entries int) (t Tentative, ok bool) {
	t.allowedAt = now
	if b.refusesFew(now) {
		return t, true
	}
	t.drawn = b.AllowRetry(now, entries)
	return t, t.drawn
}

// refusesFew reports whether upstreams refuse only a small part of tentative sends.
func (b *Budget) refusesFew(now clock.Instant) bool {
	b.advance(now)
	settled, refused := float64(priorSends), priorRefusals
	for _, x := range b.buckets {
		settled += x.settled
		refused += x.refused
	}
	return refused <= freeRefusals*settled
}

// Settle records the end of a tentative send. If it was refused, it counts as a retry, even if the budget is used up.
func (b *Budget) Settle(now clock.Instant, t Tentative, refused bool) {
	b.advance(now)
	b.buckets[0].settled++
	switch {
	case refused:
		b.buckets[0].refused++
		if !t.drawn {
			b.buckets[0].retries++
		}
	case t.drawn:
		b.giveBack(t.allowedAt)
	}
}

// giveBack takes back a retry that was counted at a time.
func (b *Budget) giveBack(countedAt clock.Instant) {
	i := b.newestSlot - b.slot(countedAt)
	if i >= 0 && i <= bucketCount && b.buckets[i].retries > 0 {
		b.buckets[i].retries--
	}
}

// slot returns the number of the time slot that covers a time.
func (b *Budget) slot(t clock.Instant) int64 { return int64(t) / int64(b.config.Window/bucketCount) }

// advance shifts the buckets so that the first one covers now.
//
// The newest bucket is only partly filled, so bucketCount buckets cover at most a window and
// bucketCount+1 at least a window. AllowRetry sums the requests over bucketCount buckets and
// the retries over all, so that it doesn't allow too many.
func (b *Budget) advance(now clock.Instant) {
	n := b.slot(now)
	for d := min(n-b.newestSlot, bucketCount+1); d > 0; d-- {
		copy(b.buckets[1:], b.buckets[:bucketCount])
		b.buckets[0] = bucket{}
	}
	b.newestSlot = max(n, b.newestSlot)
}
