// Package limits implements the rate limiter that enforces a workspace's rate and burst
// across all entries, the processes that admit requests.
//
// Requests are large compared with a workspace's burst: one stream can be a tenth of it.
// Splitting a limit among the entries would refuse streams that are within it. Each
// workspace therefore has one token bucket, held by its owner: the live entry that ranks
// first for the workspace. The other entries ask the owner for tokens. No state is
// persisted: after a change of owner the new bucket starts with a part of the burst. An
// entry that reaches no owner uses a bucket of its own with a part of an equal share.
//
// An entry without a quorum doesn't grant tokens as an owner and discards the buckets that
// it held as one.
//
// The design bounds what one workspace can get when it sends many times its rate while
// entries crash, are partitioned or restart. While the entries' member lists differ, two
// owners may grant at once; the overage and slack that operators tolerate cover this.
//
// Time is passed in by the caller, and nothing here locks or does I/O.
package limits

import (
	"maps"
	"time"
)

const (
	// ownerOverageShare is the part of the tolerated overage that an owner grants. The rest
	// covers two owners that grant at once.
	ownerOverageShare = 0.5
	// initialFill is the part of the burst that a new bucket holds.
	initialFill = 0.1
	// standInRateShare is the part of the rate that the second-ranked entry grants while the
	// first still counts as live. The first may be unreachable for some entries and grant to
	// others; ownerOverageShare and standInRateShare together use up the tolerated overage.
	standInRateShare = 0.1
	// standInBurstShare is the part of the burst that a stand-in can grant at once, so that
	// workspaces of an owner that crashed are served until another entry takes over.
	standInBurstShare = 0.5
	// ownerlessShare is the part of an equal share that an entry grants without an owner.
	ownerlessShare = 0.5
	// bucketSlackShare is the part of the tolerated slack that one bucket uses.
	bucketSlackShare = 0.4
	// prefetchTTL is how long an entry keeps prefetched tokens.
	prefetchTTL = time.Second
)

// Limit is the limit of a workspace across all entries, or a part of it.
type Limit struct {
	// Rate is in tokens per second; 0 means no limit.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Overage is the excess over the rate that operators tolerate, as a fraction of the rate.
	Overage float64
	// Slack is the overdraft in tokens that they tolerate in addition.
	Slack float64
	// Version is the version of the configuration that sets the limit.
	Version uint64
	// startFull makes a new bucket hold the whole burst.
	startFull bool
}

// OwnerlessShare returns the limit that one of a number of entries applies on its own when
// it reaches no owner.
func (t Limit) OwnerlessShare(entries int) Limit {
	return t.scaled(ownerlessShare / float64(max(1, entries)))
}

// ForStandIn returns the limit that an entry applies in place of an unreachable owner.
func (t Limit) ForStandIn() Limit {
	b := standInBurstShare * t.Burst
	t = t.scaled(standInRateShare)
	t.Burst, t.startFull = b, true
	return t
}

// refillRate returns the refill rate of a bucket, in tokens per second.
func (t Limit) refillRate() float64 { return t.Rate * (1 + ownerOverageShare*t.Overage) }

func (t Limit) scaled(f float64) Limit {
	t.Rate *= f
	t.Burst *= f
	t.Slack *= f
	return t
}

type bucket struct {
	limit   Limit
	level   float64
	updated time.Time
}

// Limiter holds one token bucket per workspace. Use New.
type Limiter struct {
	buckets map[string]*bucket
}

// New returns a limiter without buckets.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// Take takes tokens from a workspace's bucket. One request may overdraw the bucket, so that
// small requests don't starve large ones. If the request is refused, wait is the time until
// it can be granted.
func (l *Limiter) Take(now time.Time, workspace string, t Limit, tokens int64) (ok bool, wait time.Duration) {
	b := l.bucket(now, workspace, t)
	if b.limit.Rate <= 0 {
		return true, 0
	}
	need := float64(tokens) - bucketSlackShare*b.limit.Slack
	need = min(max(need, 1), b.limit.Burst)
	if b.level < need {
		return false, time.Duration((need - b.level) / b.limit.refillRate() * float64(time.Second))
	}
	b.level -= float64(tokens)
	return true, 0
}

// bucket returns a workspace's bucket, refilled up to now under the newest limit.
func (l *Limiter) bucket(now time.Time, workspace string, t Limit) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limit: t, level: initialFill * t.Burst, updated: now}
		if t.startFull {
			b.level = t.Burst
		}
		l.buckets[workspace] = b
	}
	if t.Version >= b.limit.Version {
		b.limit = t
	}
	elapsed := max(0, now.Sub(b.updated))
	b.updated = now
	b.level = min(b.limit.Burst, b.level+b.limit.refillRate()*elapsed.Seconds())
	return b
}

// Keep discards the buckets of workspaces for which owned is false. Another entry grants
// their tokens now; if a kept bucket went on refilling, its tokens would be granted in
// addition once the workspace came back.
func (l *Limiter) Keep(owned func(workspace string) bool) {
	maps.DeleteFunc(l.buckets, func(w string, _ *bucket) bool { return !owned(w) })
}

// Return gives back the tokens of a request that didn't run.
func (l *Limiter) Return(workspace string, tokens int64) {
	if b := l.buckets[workspace]; b != nil {
		b.level += float64(tokens)
	}
}

// HasQuorum reports whether an entry may grant tokens as an owner: it hears more entries,
// itself included, than are missing. An entry that is cut off from all others would otherwise
// grant a whole limit in addition to what the rest of the cluster grants. Entries that
// announced that they leave don't count as missing, or a rolling restart would make the
// entries refuse most requests that are within their limits.
func HasQuorum(heard, missing int) bool { return heard > missing }

type prefetch struct {
	tokens  int64
	expires time.Time
}

// Prefetched holds tokens that an entry took from owners ahead of small requests, so that
// not every small request has to ask. The zero value holds none.
type Prefetched struct {
	byWorkspace map[string]prefetch
}

// Use takes tokens from those held for a workspace. It reports false and takes none if too
// few are held or they have expired.
func (p *Prefetched) Use(now time.Time, workspace string, tokens int64) bool {
	h, ok := p.byWorkspace[workspace]
	if !ok || now.After(h.expires) || h.tokens < tokens {
		return false
	}
	h.tokens -= tokens
	p.byWorkspace[workspace] = h
	return true
}

// Set holds tokens for a workspace and discards those held before.
func (p *Prefetched) Set(now time.Time, workspace string, tokens int64) {
	if p.byWorkspace == nil {
		p.byWorkspace = map[string]prefetch{}
	}
	p.byWorkspace[workspace] = prefetch{tokens, now.Add(prefetchTTL)}
}
