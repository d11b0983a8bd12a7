package place

import "time"

// PrefillEstimate holds the estimates and limits from which the engine that prefills a
// prompt is chosen: a separate prefill engine, or the decode engine that makes the answer.
type PrefillEstimate struct {
	// Remote is the expected time until a prefill engine has processed the prompt, the time
	// in its queue included.
	Remote time.Duration
	// Local is the expected time in which the decode engine processes the prompt.
	Local time.Duration
	// Slack is the time that is left for the prefill if the answer is to begin in time.
	Slack time.Duration
	// MaxPause is the longest allowed pause between two events of the other answers on the
	// decode engine; 0 for no limit.
	MaxPause time.Duration
}

const (
	// maxPauseFraction is the fraction of MaxPause that a local prefill may take. The rest is
	// for the pause that there is between two events anyway.
	maxPauseFraction = 0.75
	// maxRemoteSlackFraction is the fraction of Slack that the prefill engines may use up
	// before prompts are prefilled locally. The rest is for prompts that are too long to be
	// prefilled beside other answers.
	maxRemoteSlackFraction = 0.5
)

// PreferLocal reports whether the decode engine should prefill the prompt itself.
//
// When prompts arrive faster than the prefill engines process them while the decode engines
// have free places, the backlog of the prefill engines would make every answer late. A
// decode engine prefills more slowly, and its other answers pause meanwhile, so it does so
// only if that lets the answer begin in time and makes no other answer late.
func (r PrefillEstimate) PreferLocal() bool {
	if r.Remote <= time.Duration(maxRemoteSlackFraction*float64(r.Slack)) || r.Local > r.Slack {
		return false
	}
	return r.MaxPause <= 0 || r.Local <= time.Duration(maxPauseFraction*float64(r.MaxPause))
}

// Expected returns the expected prefill time on the engine that PreferLocal chooses.
func (r PrefillEstimate) Expected() time.Duration {
	if r.PreferLocal() {
		return r.Local
	}
	return r.Remote
}

// PrefillLimiter limits the prefills of a decode engine to one at a time, and to at most
// half of the time while the engine makes other answers. The zero value is ready for use.
type PrefillLimiter struct {
	// active is the ID of the request whose prompt is being processed; empty if none is.
	active    string
	startedAt time.Time
	// nextStart is the earliest start of the next prefill beside other answers.
	nextStart time.Time
}

// Begin reports whether the engine may prefill the prompt of a request now, while it makes
// a number of other answers. If so, the prefill is in progress until End.
func (l *PrefillLimiter) Begin(now time.Time, id string, others int) bool {
	if l.active != "" || others > 0 && now.Before(l.nextStart) {
		return false
	}
	l.active, l.startedAt = id, now
	return true
}

// End ends the prefill of a request's prompt, if it is in progress.
func (l *PrefillLimiter) End(now time.Time, id string) {
	if l.active != id {
		return
	}
	l.active = ""
	l.nextStart = now.Add(now.Sub(l.startedAt))
}
