package intake

import (
	"cmp"
	"time"
)

// room is what a connection would have to make room for.
type room int

const (
	// forConn is room for a new connection, and forConnAnyway the same after forConn has found nobody. forSmall is room for
	// memory of a small request, forLarge for that of another one.
	forConn room = iota
	forConnAnyway
	forSmall
	forLarge
)

// class says how readily a connection is given up; higher ones go first.
type class int

const (
	// never is the class of connections that are not given up.
	never class = iota
	// kept is that of connections that were served and have been idle for a while.
	kept
	// receiving is that of connections whose body is arriving.
	receiving
	// slow is that of connections that have been taking nothing of their answer for slowTime.
	slow
	// fresh is that of connections that have just been opened, or have just begun a head.
	fresh
	// unread is that of connections that leave answers unread, or send more behind a request.
	unread
	// silent is that of connections that have brought no request.
	silent
	// refused is that of connections that are about to be closed.
	refused
	// stalled is that of connections that have stopped within a request.
	stalled
)

// rank is the class of a connection, and its weight within the class.
type rank struct {
	class  class
	weight int64
}

// isMisuse reports whether connections of the class hold what ordinary callers don't.
func (c class) isMisuse() bool { return c == stalled || c == unread || c == slow }

// victim returns the connection to be given up for a newcomer.
func (t *Table) victim(now time.Time, newcomer ID, r room) (id ID, first rank, ok bool) {
	for i, a := range t.accounts {
		if i == newcomer {
			continue
		}
		k := a.rank(now, r)
		if k.class == never {
			continue
		}
		if c := cmp.Or(cmp.Compare(k.class, first.class), cmp.Compare(k.weight, first.weight), cmp.Compare(id, i)); !ok || c > 0 {
			id, first, ok = i, k, true
		}
	}
	return id, first, ok
}

// rank returns how readily a connection is given up for some room.
func (a *account) rank(now time.Time, r room) rank {
	quiet := now.Sub(a.movedAt)
	isStalled := quiet >= stallTime
	var blocked time.Duration
	if !a.blockedSince.IsZero() {
		blocked = now.Sub(a.blockedSince)
	}
	forAnyConn := r == forConn || r == forConnAnyway
	sends := a.phase == PhaseHead || a.phase == PhaseBody
	waits := a.phase == PhaseIdle && !a.served
	switch {
	case a.evicted:
		return rank{}
	case sends && isStalled:
		return rank{stalled, a.cost()}
	case a.phase == PhaseRefused && forAnyConn:
		return rank{refused, int64(quiet)}
	case waits && isStalled && r != forLarge:
		return rank{silent, int64(quiet)}
	case blocked >= stallTime, a.phase == PhaseRunning && a.unread > maxUnreadBytes:
		return rank{unread, a.cost()}
	case r == forLarge:
		return rank{}
	case waits, a.phase == PhaseHead:
		return rank{fresh, int64(quiet)}
	case blocked >= slowTime:
		return rank{slow, a.cost()}
	case a.phase == PhaseBody && (forAnyConn || a.held > smallBytes):
		return rank{receiving, a.cost()}
	case a.phase == PhaseIdle && quiet >= keptTime && r == forConnAnyway:
		return rank{kept, int64(quiet)}
	}
	return rank{}
}
