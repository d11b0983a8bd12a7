package proxy

import "time"

const (
	// minStorePause is the pause after the first store call that failed. It doubles with each
	// further one.
	minStorePause = 200 * time.Millisecond
	// maxStorePause is the longest pause of an entry that has a configuration and can learn a
	// newer one from the store readers.
	maxStorePause = 1600 * time.Millisecond
	// maxReaderPause is the longest pause of a store reader, from which the others learn that the
	// store is back, and of an entry without a configuration.
	maxReaderPause = 400 * time.Millisecond
)

// backoff decides when an entry may call the store again after calls that failed.
//
// It answers a store that is down, or that turns callers away, for seconds. All entries of a
// fleet then find their data too old at the same time, and all of them try the store, although
// two that try often are enough: the others ask these. Without pauses the calls of a large
// fleet would also delay the recovery of a store that is overloaded.
type backoff struct {
	pause time.Duration
	until time.Time
}

// allows reports whether the store may be called.
func (b *backoff) allows(now time.Time) bool { return !now.Before(b.until) }

// failed records a call that failed. jitter, from 0 to below 1, varies the pause between half
// and one and a half times its length, so that entries don't call in step.
func (b *backoff) failed(now time.Time, longest time.Duration, jitter float64) {
	b.pause = min(longest, max(minStorePause, 2*b.pause))
	b.until = now.Add(time.Duration((0.5 + jitter) * float64(b.pause)))
}

// succeeded ends the pauses.
func (b *backoff) succeeded() { *b = backoff{} }

const (
	// minRetryPause is the pause after a refresh of the snapshot that failed.
	minRetryPause = 150 * time.Millisecond
	// maxRetryPause is the longest pause of an entry that has no snapshot yet.
	maxRetryPause = time.Second
)

// pollTimer decides how soon the snapshot is refreshed again, from the store or from other entries.
//
// It answers a store that returns after an outage that was longer than a configuration may be used.
// All entries then refuse requests until they have a newer one. One of them reaches the store
// first, and the others learn from it as fast as they ask, so an entry that knows others keeps
// asking often. One that starts knows only the seeds. There the pauses grow, as a fleet that
// starts at once would keep the seeds busy.
type pollTimer struct {
	// retry is the base of the next pause after a failure at the start.
	retry time.Duration
}

// pause returns the time until the next refresh. jitter, from 0 to below 1, varies pauses after
// failures, so that a fleet doesn't retry in step.
func (t *pollTimer) pause(refreshed, hasSnapshot bool, jitter float64) time.Duration {
	if refreshed {
		t.retry = 0
		return pollPeriod
	}
	t.retry = min(maxRetryPause, max(minRetryPause, 2*t.retry))
	base := t.retry
	if hasSnapshot {
		base = minRetryPause
	}
	return time.Duration((0.5 + jitter) * float64(base))
}
