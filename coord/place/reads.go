package place

import "time"

// PrefillEstimate is what is known when a prompt is about to be read.
type PrefillEstimate struct {
	// Remote is the expected time until a prefill engine has read it, with what waits there.
	Remote time.Duration
	// Local is the expected time in which the engine of the answer reads it.
	Local time.Duration
	// Slack is the time left in which reading lets the answer begin in time.
	Slack time.Duration
	// MaxPause is the longest pause between events that other answers may have; 0 for any.
	MaxPause time.Duration
}

const (
	// pauseShare is the part of a pause that the reading of a prompt may take up: the rest
	// is that between two events anyway.
	pauseShare = 0.75
	// apartShare is the part of the slack that the way over a prefill engine may take: what
	// is left is for prompts that are too long to be read beside other answers.
	apartShare = 0.5
)

// PreferLocal reports whether the engine of an answer should read the prompt itself.
//
// It answers prompts that come faster than the prefill engines read them while the engines
// of answers have places: their backlog would make each answer late. An engine of answers
// reads more slowly, and its other answers stand still meanwhile, so it does so only where
// that saves an answer, and makes no other late.
func (r PrefillEstimate) PreferLocal() bool {
	if r.Remote <= time.Duration(apartShare*float64(r.Slack)) || r.Local > r.Slack {
		return false
	}
	return r.MaxPause <= 0 || r.Local <= time.Duration(pauseShare*float64(r.MaxPause))
}

// Expected returns the time in which the prompt is expected to be read.
func (r PrefillEstimate) Expected() time.Duration {
	if r.PreferLocal() {
		return r.Local
	}
	return r.Remote
}

// PrefillLimiter is the reducer that lets an engine of answers read prompts, one at a time, and
// for at most half of the time while it makes others' answers. The zero value is ready.
type PrefillLimiter struct {
	request string
	began   time.Time
	// free is when the next may begin beside other answers.
	free time.Time
}

// Begin reports whether the engine may read the prompt of a request now, beside a number of
// other answers.
func (r *PrefillLimiter) Begin(now time.Time, request string, others int) bool {
	if r.request != "" || others > 0 && now.Before(r.free) {
		return false
	}
	r.request, r.began = request, now
	return true
}

// End ends the reading of a request's prompt, if it is in progress.
func (r *PrefillLimiter) End(now time.Time, request string) {
	if r.request != request {
		return
	}
	r.request = ""
	r.free = now.Add(now.Sub(r.began))
}
