// Package limits is the reducer that keeps a workspace's rate and burst over all entries.
//
// Requests are large against a workspace's burst: one stream can be a tenth of it. Shares
// of a limit would refuse streams that are within it, so each workspace has one bucket,
// at the live entry that ranks first for it, and the others ask there. Nothing has to be
// remembered: when the owner changes, the new bucket starts with a part of the burst. An
// entry that reaches no owner uses a bucket of its own with a part of an equal share.
//
// An entry that hears too few of the others doesn't grant as an owner, and forgets what it
// held as one.
//
// It answers one workspace that sends many times its rate, while entries die, are cut off
// or start anew. What two owners grant at once while lists of entries differ is paid for
// out of what operators tolerate beyond the limit.
package limits

import (
	"maps"
	"time"
)

const (
	// overShare is the part of what operators tolerate beyond a rate that an owner grants; the
	// rest pays for two owners at once.
	overShare = 0.5
	// first is the part of the burst that a new bucket holds.
	first = 0.1
	// standInRate is the part of a rate that the second in rank earns while the first, which
	// may be cut off from some and grant to others, still counts as live: with overShare
	// it makes up what operators tolerate. standInBurst is the part of the burst that is there
	// at once, so that workspaces of an owner that died are served until others take over.
	standInRate  = 0.1
	standInBurst = 0.5
	// aloneShare is the part of an equal share that an entry grants without an owner.
	aloneShare = 0.5
	// slackShare is the part of the tolerated overdraft that one bucket uses.
	slackShare = 0.4
	// advanceTerm is how long an entry keeps tokens that it took in advance.
	advanceTerm = time.Second
)

// Limit are a workspace's limit over all entries.
type Limit struct {
	// Rate is in tokens a second; 0 is no limit.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Overage is the part of the rate that operators tolerate beyond it.
	Overage float64
	// Slack is the overdraft in tokens that they tolerate besides.
	Slack float64
	// Version is that of the configuration that the terms stand in.
	Version uint64
	// full makes a new bucket hold the whole burst.
	full bool
}

// OwnerlessShare returns the terms of one of some entries that grants without an owner.
func (t Limit) OwnerlessShare(entries int) Limit { return t.withPart(aloneShare / float64(max(1, entries))) }

// ForStandIn returns the terms of an entry that grants in place of the owner.
func (t Limit) ForStandIn() Limit {
	b := standInBurst * t.Burst
	t = t.withPart(standInRate)
	t.Burst, t.full = b, true
	return t
}

// earned returns the tokens that a bucket earns in a second.
func (t Limit) earned() float64 { return t.Rate * (1 + overShare*t.Overage) }

func (t Limit) withPart(f float64) Limit {
	t.Rate *= f
	t.Burst *= f
	t.Slack *= f
	return t
}

type bucket struct {
	terms   Limit
	level   float64
	updated time.Time
}

// Limiter is the reducer. Use New.
type Limiter struct {
	buckets map[string]*bucket
}

// New returns limits from which nothing was taken.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// Take takes tokens from a workspace's bucket. A bucket may be overdrawn by one request,
// so that large ones aren't passed by small ones for ever. Otherwise wait is the time
// until the request may be granted.
func (l *Limiter) Take(now time.Time, workspace string, t Limit, tokens int64) (ok bool, wait time.Duration) {
	b := l.bucket(now, workspace, t)
	if b.terms.Rate <= 0 {
		return true, 0
	}
	need := float64(tokens) - slackShare*b.terms.Slack
	need = min(max(need, 1), b.terms.Burst)
	if b.level < need {
		return false, time.Duration((need - b.level) / b.terms.earned() * float64(time.Second))
	}
	b.level -= float64(tokens)
	return true, 0
}

// bucket returns a workspace's bucket filled up to now, under the newest terms.
func (l *Limiter) bucket(now time.Time, workspace string, t Limit) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{terms: t, level: first * t.Burst, updated: now}
		if t.full {
			b.level = t.Burst
		}
		l.buckets[workspace] = b
	}
	if t.Version >= b.terms.Version {
		b.terms = t
	}
	passed := max(0, now.Sub(b.updated))
	b.updated = now
	b.level = min(b.terms.Burst, b.level+b.terms.earned()*passed.Seconds())
	return b
}

// Keep forgets the buckets of workspaces for which own is false: others grant their tokens
// now, and a bucket that went on to fill would be granted besides if they come back.
func (l *Limiter) Keep(own func(workspace string) bool) {
	maps.DeleteFunc(l.buckets, func(w string, _ *bucket) bool { return !own(w) })
}

// Return gives back tokens of a request that didn't run.
func (l *Limiter) Return(workspace string, tokens int64) {
	if b := l.buckets[workspace]; b != nil {
		b.level += float64(tokens)
	}
}

// HasQuorum reports whether an entry may grant as an owner: it hears more entries, itself
// included, than are missing. One that is cut off alone would otherwise grant a whole limit
// beside those who go on without it. Entries that said that they leave aren't missing, or a
// fleet that is restarted in turn would refuse most of what is within its limits.
func HasQuorum(heard, missing int) bool { return heard > missing }

type advance struct {
	tokens int64
	until  time.Time
}

// Prefetched are tokens that an entry took from owners for small requests to come, so
// that not each of them asks. The zero value holds none.
type Prefetched struct {
	held map[string]advance
}

// Use takes tokens from what is held for a workspace, if there are enough.
func (a *Prefetched) Use(now time.Time, workspace string, tokens int64) bool {
	h, ok := a.held[workspace]
	if !ok || now.After(h.until) || h.tokens < tokens {
		return false
	}
	h.tokens -= tokens
	a.held[workspace] = h
	return true
}

// Set holds tokens for a workspace in place of what was held.
func (a *Prefetched) Set(now time.Time, workspace string, tokens int64) {
	if a.held == nil {
		a.held = map[string]advance{}
	}
	a.held[workspace] = advance{tokens, now.Add(advanceTerm)}
}
