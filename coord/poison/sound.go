package poison

import "time"

// maxSound bounds the keys of one generation of answered.
const maxSound = 4096

// answered remembers when requests with a key were last answered. It holds two generations: the newer
// one takes the place of the older when it is full or has lasted for soundTime.
type answered struct {
	newer, older map[Key]time.Time
	// newerUntil is when the newer generation becomes the older one.
	newerUntil time.Time
}

func newAnswered() *answered {
	return &answered{newer: map[Key]time.Time{}, older: map[Key]time.Time{}}
}

// add records that a request with a key was answered.
func (a *answered) add(now time.Time, k Key) {
	if len(a.newer) >= maxSound || !now.Before(a.newerUntil) {
		a.newer, a.older = map[Key]time.Time{}, a.newer
		a.newerUntil = now.Add(soundTime)
	}
	a.newer[k] = now
}

// last returns when a request with a key was last answered, as far as that is remembered; zero if not.
func (a *answered) last(k Key) time.Time {
	if t, ok := a.newer[k]; ok {
		return t
	}
	return a.older[k]
}
