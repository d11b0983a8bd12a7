package poison

import "time"

// maxSound bounds the parts of one generation of answered.
const maxSound = 4096

// answered remembers when requests with a part were last answered. It holds two generations: the newer
// one takes the place of the older when it is full or has lasted for soundTime.
type answered struct {
	newer, older map[string]time.Time
	// newerUntil is when the newer generation becomes the older one.
	newerUntil time.Time
}

func newAnswered() *answered {
	return &answered{newer: map[string]time.Time{}, older: map[string]time.Time{}}
}

// add records that a request with a part was answered.
func (a *answered) add(now time.Time, part string) {
	if len(a.newer) >= maxSound || !now.Before(a.newerUntil) {
		a.newer, a.older = map[string]time.Time{}, a.newer
		a.newerUntil = now.Add(soundTime)
	}
	a.newer[part] = now
}

// last returns when a request with a part was last answered, as far as that is remembered; zero if not.
func (a *answered) last(part string) time.Time {
	if t, ok := a.newer[part]; ok {
		return t
	}
	return a.older[part]
}
