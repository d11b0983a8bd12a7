package place

import "time"

// PrefillEstimate is the input of the choice of the engine that prefills a prompt, that is,
// computes its KV cache: a separate prefill engine (remote), or the decode engine that
// generates the answer (local).
type PrefillEstimate struct {
	// Remote is the expected time until a prefill engine has processed the prompt, the time
	// in its queue included.
	Remote time.Duration
	// Local is the expected time in which the decode engine processes the prompt.
	Local time.Duration
	// Slack is the time that is left for the prefill if the answer is to begin in time.
	Slack time.Duration
	// MaxPause is the longest allowed pause between two streamed events of each other answer
	// on the decode engine; 0 for no limit.
	MaxPause time.Duration
}

const (
	// maxPauseFraction is the fraction of MaxPause that a local prefill may take. The rest
	// allows for the usual time between two events.
	maxPauseFraction = 0.75
	// maxRemoteSlackFraction is the fraction of Slack above which Remote makes a local prefill
	// preferable. This keeps the queues of the prefill engines short enough for prompts that
	// are too long to be prefilled locally beside other answers.
	maxRemoteSlackFraction = 0.5
)

// PreferLocal reports whether the decode engine should prefill the prompt itself.
//
// When prompts arrive faster than the prefill engines process them while the decode engines
// have free places, the backlog of the prefill engines would make every answer late. A
// decode engine prefills more slowly, and its other answers pause meanwhile, so it does so
// only if that lets the answer begin in time and pauses no other answer for too long.
func (e PrefillEstimate) PreferLocal() bool {
	if e.Remote <= time.Duration(maxRemoteSlackFraction*float64(e.Slack)) || e.Local > e.Slack {
		return false
	}
	return e.MaxPause <= 0 || e.Local <= time.Duration(maxPauseFraction*float64(e.MaxPause))
}

// Expected returns the expected prefill time on the engine that PreferLocal chooses.
func (e PrefillEstimate) Expected() time.Duration {
	if e.PreferLocal() {
		return e.Local
	}
	return e.Remote
}

// PrefillLimiter limits the prefills of a decode engine to one at a time. While the engine
// generates other answers, prefills take at most half of its time. The zero value is ready
// for use.
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
