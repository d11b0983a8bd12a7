// Package limits is the reducer that keeps a workspace's rate and burst over all entries
// by a local bucket with a share that follows the demand.
//
// It answers one workspace that sends many times its rate through few or many entries,
// while entries die, are cut off or start anew. Each entry tells the others what its
// callers offer; its share of a limit is its part of that demand, but never below a part
// that is equal for all, so that a first request needs no one's word. An entry that
// can't hear others falls back to the equal share. Nothing has to be remembered: a new
// entry starts with an empty bucket and an equal share.
package limits

import (
	"math"
	"time"
)

const (
	// even is the part of a limit that is divided equally, whatever the demand.
	even = 0.3
	// over is what the entries grant together beyond the rate. The operators tolerate more;
	// the difference pays for shares that lag behind the demand.
	over = 1.1
	// window is the time over which demand is averaged.
	window = 2 * time.Second
	// unknownEntries is the number of entries that a new entry counts with until it has
	// been told how many there are.
	unknownEntries = 8
	// settle is how long after its start an entry counts with unknownEntries.
	settle = 3 * time.Second
)

// Terms are a workspace's limit over all entries.
type Terms struct {
	// Rate is in tokens a second; 0 is no limit.
	Rate int64
	// Burst is in tokens.
	Burst int64
}

// View is what an entry knows of the others.
type View struct {
	// Entries is the number of entries known lately, with this one.
	Entries int
	// Others is the demand that live others tell, by workspace, in tokens a second.
	Others map[string]int64
}

type bucket struct {
	level   float64
	updated time.Time
	// offered is the averaged demand in tokens a second.
	offered float64
}

// Limits is the reducer. Use New.
type Limits struct {
	started time.Time
	view    View
	buckets map[string]*bucket
}

// New returns the limits of an entry that starts.
func New(now time.Time) *Limits {
	return &Limits{started: now, view: View{Entries: 1}, buckets: map[string]*bucket{}}
}

// SetView takes in what is known of other entries.
func (l *Limits) SetView(v View) { l.view = v }

// entries returns the number of entries to divide by.
func (l *Limits) entries(now time.Time) float64 {
	n := max(1, l.view.Entries)
	if now.Sub(l.started) < settle {
		n = max(n, unknownEntries)
	}
	return float64(n)
}

// share returns this entry's part of a workspace's limit.
func (l *Limits) share(now time.Time, workspace string, b *bucket) float64 {
	n := l.entries(now)
	others := float64(l.view.Others[workspace])
	if b.offered+others <= 0 || now.Sub(l.started) < settle {
		return 1 / n
	}
	return even/n + (1-even)*b.offered/(b.offered+others)
}

// Admit reports whether a request of some tokens is within the limit, and takes them if
// so. The bucket may be overdrawn by one request: a request that is larger than a share
// of the burst must pass too. Otherwise wait is the time until one may be admitted.
func (l *Limits) Admit(now time.Time, workspace string, t Terms, tokens int64) (ok bool, wait time.Duration) {
	if t.Rate <= 0 {
		return true, 0
	}
	b := l.bucket(now, workspace)
	s := l.share(now, workspace, b)
	rate := over * s * float64(t.Rate)
	burst := s * float64(t.Burst)
	passed := now.Sub(b.updated)
	b.updated = now
	b.level = min(burst, b.level+rate*passed.Seconds())
	b.offered = b.offered*decay(passed) + float64(tokens)/window.Seconds()
	if b.level <= 0 {
		return false, time.Duration(-b.level / rate * float64(time.Second))
	}
	b.level -= float64(tokens)
	return true, 0
}

// Refund gives back the tokens of a request that didn't run.
func (l *Limits) Refund(workspace string, tokens int64) {
	if b := l.buckets[workspace]; b != nil {
		b.level += float64(tokens)
	}
}

func (l *Limits) bucket(now time.Time, workspace string) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		// The time since the start fills a new bucket, so that it isn't full at once.
		b = &bucket{updated: l.started}
		l.buckets[workspace] = b
	}
	return b
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / window.Seconds()) }

// Offered returns the demand of this entry's callers by workspace, in tokens a second.
func (l *Limits) Offered(now time.Time) map[string]int64 {
	r := map[string]int64{}
	for n, b := range l.buckets {
		if v := int64(b.offered * decay(now.Sub(b.updated))); v > 0 {
			r[n] = v
		}
	}
	return r
}
