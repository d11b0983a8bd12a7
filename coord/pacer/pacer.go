// Package pacer keeps a process to its share of the limits that upstreams name for the whole fleet.
//
// It answers an upstream in need that names the requests a second it takes from all processes
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
	// wordTime is how long the word of an upstream counts. Without any request to the upstream nobody
	// would learn that its limit has ended.
	wordTime = 10 * time.Second
	// endDelay is the time after an upstream has named its limit in which an answer without one doesn't
	// end it: some answers may leave it out.
	endDelay = time.Second
	// burst is the size of a bucket, in requests. All shares of a limit may be full at once.
	burst = 1.0
	// maxLimits bounds the upstreams whose word is kept.
	maxLimits = 512
)

// word is what an upstream last said of its limit.
type word struct {
	// perSecond is the limit; 0 if it names none any more.
	perSecond float64
	saidAt    time.Time
	// tokens are in the bucket as of filledAt.
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens of a share since the last call.
func (w *word) fill(now time.Time, share float64) {
	w.tokens = min(burst, w.tokens+now.Sub(w.filledAt).Seconds()*w.perSecond*share)
	w.filledAt = now
}

// Share returns the part of an upstream's limit, from 0 to 1, that a process may use.
type Share func(instance string, perSecond float64) float64

// Table holds the limits of upstreams by instance, so that a restart of an upstream ends its limit. Use
// New.
type Table struct {
	share Share

	mu    sync.Mutex
	words map[string]*word
}

// New returns an empty table. The share is asked again at each use of a limit.
func New(s Share) *Table { return &Table{share: s, words: map[string]*word{}} }

// Hear records what an answer of an upstream says of its limit, 0 for nothing. sentAt is when the request
// was sent: an answer to one from before the limit was last named, or just after, doesn't end the limit.
func (t *Table) Hear(now, sentAt time.Time, instance string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.words[instance]
	if perSecond <= 0 && (w == nil || w.perSecond <= 0 || !sentAt.After(w.saidAt.Add(endDelay))) {
		return
	}
	t.set(now, now, instance, perSecond)
}

// set records the word of an upstream. t.mu must be held.
func (t *Table) set(now, saidAt time.Time, instance string, perSecond float64) {
	w := t.words[instance]
	if w == nil {
		w = &word{filledAt: now}
		t.words[instance] = w
	}
	w.perSecond, w.saidAt = perSecond, saidAt
	t.dropOld(now)
}

// dropOld drops the words that no longer count, and the oldest if there are too many. t.mu must be held.
func (t *Table) dropOld(now time.Time) {
	maps.DeleteFunc(t.words, func(_ string, w *word) bool { return now.Sub(w.saidAt) >= wordTime })
	for len(t.words) > maxLimits {
		oldest := ""
		for i, w := range t.words {
			if oldest == "" || w.saidAt.Before(t.words[oldest].saidAt) {
				oldest = i
			}
		}
		delete(t.words, oldest)
	}
}

// Take takes a token for one request to an instance and reports whether there was one. An instance without
// a limit always has one.
func (t *Table) Take(now time.Time, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.current(now, instance)
	if w == nil {
		return true
	}
	w.fill(now, t.share(instance, w.perSecond))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Next returns when an instance may get a request of this process: now at the earliest.
func (t *Table) Next(now time.Time, instance string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.current(now, instance)
	if w == nil {
		return now
	}
	s := t.share(instance, w.perSecond)
	w.fill(now, s)
	if w.tokens >= 1 {
		return now
	}
	end := w.saidAt.Add(wordTime)
	if s <= 0 {
		return end
	}
	next := now.Add(time.Duration((1 - w.tokens) / (w.perSecond * s) * float64(time.Second)))
	if next.After(end) {
		return end
	}
	return next
}

// IsLimited reports whether an instance names a limit at present.
func (t *Table) IsLimited(now time.Time, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(now, instance) != nil
}

// current returns the word of an instance if that is a limit which still counts. t.mu must be held.
func (t *Table) current(now time.Time, instance string) *word {
	w := t.words[instance]
	if w == nil || w.perSecond <= 0 || now.Sub(w.saidAt) >= wordTime {
		return nil
	}
	return w
}

// Forget drops the limit of an instance that is gone.
func (t *Table) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.words, instance)
}
