package roster

import "time"

const (
	// memoryTime is how long it is remembered that a start of an upstream was leaving or has
	// left. A store is restored from a copy that is seconds old.
	memoryTime = 2 * time.Minute
	// defaultLapse is the time after which a store drops the registration of an upstream that
	// is silent, if no other is set.
	defaultLapse = 4 * time.Second
)

// incarnation identifies one start of an upstream's process. A process that starts again under its
// name is another upstream.
type incarnation struct {
	instance string
	born     int64
}

// departure is what is remembered of a start that was leaving or has left.
type departure struct {
	// announced is true if the upstream itself, or its registration, said that it was leaving.
	// An upstream doesn't take that back.
	announced bool
	// hiddenUntil is the time such that a list read before it doesn't bring the upstream back.
	hiddenUntil time.Time
	// expiresAt is when the departure is forgotten unless it is seen again.
	expiresAt time.Time
}

// departures remembers which upstreams were leaving or have left.
//
// It answers a store that is restored from an older copy: the copy lists upstreams as ready that
// have announced their end since, and others that are gone. Requests must not go there again. The
// registration of one that is gone lapses some time after the restore, and that of a live one is
// renewed, so what is listed after that time is live.
type departures map[incarnation]departure

// Departure is an upstream that has left. A list read before HiddenUntil doesn't bring it back.
type Departure struct {
	Instance    string
	Born        int64
	HiddenUntil time.Time
}

// hidden returns the departures that are hidden at a time.
func (d departures) hidden(now time.Time) (l []Departure) {
	for s, x := range d {
		if now.Before(x.hiddenUntil) {
			l = append(l, Departure{s.instance, s.born, x.hiddenUntil})
		}
	}
	return l
}

// hide records departures that another process knows.
func (d departures) hide(now time.Time, l []Departure) {
	for _, h := range l {
		s := incarnation{h.Instance, h.Born}
		x := d[s]
		if x.hiddenUntil.Before(h.HiddenUntil) {
			d[s] = departure{announced: x.announced, hiddenUntil: h.HiddenUntil, expiresAt: now.Add(memoryTime)}
		}
	}
}

// announce records that a start is leaving.
func (d departures) announce(now time.Time, s incarnation) {
	d[s] = departure{announced: true, expiresAt: now.Add(memoryTime)}
}

// left records that a start is no longer listed.
func (d departures) left(now time.Time, s incarnation) {
	x := d[s]
	x.expiresAt = now.Add(memoryTime)
	d[s] = x
}

// restored hides all that had left in an earlier epoch of the store, until a time.
func (d departures) restored(until time.Time) {
	for s, x := range d {
		x.hiddenUntil = until
		d[s] = x
	}
}

// apply returns a list as it counts: without the upstreams that are hidden, and with those
// leaving that have announced it. It forgets the departures that have expired, and those of
// upstreams that have come back.
func (d departures) apply(now time.Time, l List) (effective []Upstream) {
	for _, u := range l.Upstreams {
		s := incarnation{u.Instance, u.Born}
		x, ok := d[s]
		switch {
		case u.Leaving || x.announced:
			u.Leaving = true
			d.announce(now, s)
		case l.ReadAt.Before(x.hiddenUntil):
			continue
		case ok:
			delete(d, s)
		}
		effective = append(effective, u)
	}
	for s, x := range d {
		if !now.Before(x.expiresAt) {
			delete(d, s)
		}
	}
	return effective
}
