// Package budget is the reducer that bounds retries: an entry's part of the extra sends
// that a service may get within a window.
//
// It answers overload and failing upstreams, under which retries without a bound would
// multiply the load. The part that follows the requests needs no agreement between
// entries; the fixed part is divided by the number of entries.
package budget

import "time"

// buckets is the number of steps in which the window slides.
const buckets = 10

// Config say how many extra sends a service may get in any window.
type Config struct {
	// Ratio is the number of extra sends for each request in the window.
	Ratio float64
	// MinRetries is the number of extra sends that the whole fleet may make besides.
	MinRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

type step struct {
	requests float64
	extra    float64
}

// Budget counts for one service. Use New.
type Budget struct {
	terms Config
	steps [buckets + 1]step
	index int64
}

// New returns a budget on which nothing was drawn.
func New(t Config) *Budget { return &Budget{terms: t} }

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.steps[0].requests++
}

// AllowRetry reports whether an extra send may be made now, and counts it if so. Entries is
// the number of entries that share the fixed part.
func (b *Budget) AllowRetry(now time.Time, entries int) bool {
	b.advance(now)
	var requests, extra float64
	for i, s := range b.steps {
		extra += s.extra
		if i < buckets {
			requests += s.requests
		}
	}
	if extra+1 > b.terms.Ratio*requests+b.terms.MinRetries/float64(max(1, entries)) {
		return false
	}
	b.steps[0].extra++
	return true
}

// RecordRetry counts an extra send that was found to be one only after it was made.
func (b *Budget) RecordRetry(now time.Time) {
	b.advance(now)
	b.steps[0].extra++
}

// advance shifts the steps to the present one. An extra step is kept, so that the sum of
// extra sends covers the whole window.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(b.terms.Window/buckets)
	for d := min(n-b.index, buckets+1); d > 0; d-- {
		copy(b.steps[1:], b.steps[:buckets])
		b.steps[0] = step{}
	}
	b.index = max(n, b.index)
}
