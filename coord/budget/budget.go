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
// room for two restarts of all entries within a window. An entry that has just started may also know few others, so
// until then it makes at most one retry on its share.
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
	usualPart = 0.5
	startPart = 0.25
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

// New returns an unused budget of a process that started at a time.
func New(c Config, processStart clock.Instant) *Budget {
	return &Budget{config: c, startEnds: processStart.Add(c.Window)}
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now clock.Instant) {
	b.advance(now)
	b.buckets[0].requests++
}

// AllowRetry reports whether a retry may be sent now, and counts it if so. MinRetries is
// divided by entries, the number of entries that share it.
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
	s := b.config.MinRetries / float64(max(1, entries))
	if now.Before(b.startEnds) {
		return min(1, startPart*s)
	}
	return usualPart * s
}

// Return gives back a retry that was allowed at a time, since the send turned out not to be one.
func (b *Budget) Return(now, allowedAt clock.Instant) {
	b.advance(now)
	i := b.newestSlot - b.slot(allowedAt)
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
