// Package limits implements the rate limiter that enforces a workspace's rate and burst
// across all entries, the processes that admit requests.
//
// Requests are large compared with a workspace's burst: one stream can be a tenth of it.
// Splitting a limit among the entries would refuse streams that are within it. Each
// workspace therefore has one token bucket, held by its owner: the live entry that ranks
// first for the workspace. The other entries ask the owner for tokens. While the owner is
// unreachable but still counted as live, the second-ranked live entry grants in its place, as
// a stand-in. No state is persisted: after a change of owner the new bucket starts with a part
// of the burst. An entry that reaches neither the owner nor the stand-in uses a bucket of its
// own with a part of an equal share, the limit divided by the number of entries.
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
	// standInRateShare is the part of the rate that a stand-in grants. The owner may be
	// unreachable for some entries and grant to others at the same time, so the excess that
	// ownerOverageShare allows the owner and this rate together must stay within the tolerated
	// overage.
	standInRateShare = 0.1
	// standInBurstShare is the part of the burst that a stand-in can grant at once, so that the
	// workspaces of a crashed owner are served until it no longer counts as live and the next
	// entry becomes the owner.
	standInBurstShare = 0.5
	// equalShareFraction is the part of an equal share of the limit that an entry grants when
	// it reaches no owner.
	equalShareFraction = 0.5
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
	// Overage is the excess over the rate and the burst that operators tolerate, as a fraction
	// of them.
	Overage float64
	// Slack is the number of tokens that operators tolerate in addition to the rate, the burst
	// and the overage.
	Slack float64
	// Version is the version of the configuration that sets the limit.
	Version uint64
	// startFull makes a new bucket hold the whole burst.
	startFull bool
}

// OwnerlessShare returns the limit that one of a number of entries applies on its own when
// it reaches no owner: a part of an equal share.
func (l Limit) OwnerlessShare(entries int) Limit {
	return l.scaled(equalShareFraction / float64(max(1, entries)))
}

// ForStandIn returns the limit that an entry applies in place of an unreachable owner.
func (l Limit) ForStandIn() Limit {
	b := standInBurstShare * l.Burst
	l = l.scaled(standInRateShare)
	l.Burst, l.startFull = b, true
	return l
}

// refillRate returns the refill rate of a bucket, in tokens per second.
func (l Limit) refillRate() float64 { return l.Rate * (1 + ownerOverageShare*l.Overage) }

func (l Limit) scaled(f float64) Limit {
	l.Rate *= f
	l.Burst *= f
	l.Slack *= f
	return l
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

// Take takes tokens from a workspace's bucket. It grants a request if the bucket holds the
// tokens less a part of the slack, or if the bucket is full. The level may then fall below 0;
// later requests are refused until it has been refilled. A request larger than the burst is
// thus granted once the bucket is full. If the request is refused, wait is the time until it
// can be granted.
func (l *Limiter) Take(now time.Time, workspace string, lim Limit, tokens int64) (ok bool, wait time.Duration) {
	b := l.bucket(now, workspace, lim)
	return b.take(tokens, max(b.levelFor(tokens), 1))
}

// TakeToResume is Take for a stream that goes on after a break. It answers breaks that end many streams of a
// workspace at once while it is at its limit: they come back together, find the bucket empty, and what their callers
// have of them is lost. They may use the slack also if the level is below 0. The level falls no lower than by Take.
func (l *Limiter) TakeToResume(now time.Time, workspace string, lim Limit, tokens int64) (ok bool, wait time.Duration) {
	b := l.bucket(now, workspace, lim)
	return b.take(tokens, b.levelFor(tokens))
}

// levelFor returns the level at which a request takes the bucket to its lowest level.
func (b *bucket) levelFor(tokens int64) float64 {
	return min(float64(tokens)-bucketSlackShare*b.limit.Slack, b.limit.Burst)
}

// take takes tokens if the level isn't below one; otherwise wait is the time until it isn't.
func (b *bucket) take(tokens int64, need float64) (ok bool, wait time.Duration) {
	if b.limit.Rate <= 0 {
		return true, 0
	}
	if b.level < need {
		return false, time.Duration((need - b.level) / b.limit.refillRate() * float64(time.Second))
	}
	b.level -= float64(tokens)
	return true, 0
}

// bucket returns a workspace's bucket, refilled up to now under the newest limit.
func (l *Limiter) bucket(now time.Time, workspace string, lim Limit) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limit: lim, level: initialFill * lim.Burst, updated: now}
		if lim.startFull {
			b.level = lim.Burst
		}
		l.buckets[workspace] = b
	}
	if lim.Version >= b.limit.Version {
		b.limit = lim
	}
	elapsed := max(0, now.Sub(b.updated))
	b.updated = now
	b.level = min(b.limit.Burst, b.level+b.limit.refillRate()*elapsed.Seconds())
	return b
}

// Keep keeps the buckets of workspaces for which owned is true and discards the others.
// Another entry grants the tokens of the others now. If their buckets stayed and refilled
// here, the tokens in them would be granted in addition once this entry owned the workspaces
// again.
func (l *Limiter) Keep(owned func(workspace string) bool) {
	maps.DeleteFunc(l.buckets, func(w string, _ *bucket) bool { return !owned(w) })
}

// Return gives back the tokens of a request that didn't run.
func (l *Limiter) Return(workspace string, tokens int64) {
	if b := l.buckets[workspace]; b != nil {
		b.level += float64(tokens)
	}
}

// HasQuorum reports whether an entry may grant tokens as an owner. present is the number of
// entries whose heartbeats arrive at it, itself included; missing is the number of entries
// that it knows but receives no heartbeats from. An entry that is cut off from all others
// would otherwise grant a whole limit in addition to what the rest of the cluster grants.
// Entries that announced that they leave don't count as missing, or a rolling restart would
// make the entries refuse most requests that are within their limits.
func HasQuorum(present, missing int) bool { return present > missing }

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
