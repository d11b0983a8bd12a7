package intake

import (
	"time"
)

// ID names a connection.
type ID uint64

// Phase is what a connection is used for.
type Phase int

// Phases of a connection.
const (
	// PhaseIdle means that no byte of the next request has arrived.
	PhaseIdle Phase = iota
	// PhaseHead means that a part of a head has arrived.
	PhaseHead
	// PhaseBody means that a request was begun whose body is awaited.
	PhaseBody
	// PhaseRunning means that the whole request has arrived.
	PhaseRunning
	// PhaseRefused means that the request was refused, and that the connection will be closed.
	PhaseRefused
)

const (
	// stallTime is how long a connection may bring nothing before it counts as stalled.
	stallTime = 500 * time.Millisecond
	// minProgressBytes is what a connection must bring within stallTime, and progressDivisor the part of what it holds: one
	// that holds much must bring more.
	minProgressBytes = 1 << 10
	progressDivisor  = 128
	// slowTime is how long a caller may take nothing of an answer before its connection may be given up for others.
	slowTime = 100 * time.Millisecond
	// keptTime is how long a connection that was served may be idle before it may be given up for others.
	keptTime = 2 * time.Second
	// misuseTime is how long requests of an owner are refused while there is little room, after minMisuses connections of the
	// owner were given up that had held what ordinary callers don't. A single one may be a bad link.
	misuseTime = 5 * time.Second
	minMisuses = 4
	// scarceRatio is the part of the connections that are open when there is little room.
	scarceRatio = 0.75
	// maxUnreadBytes is how much may have arrived behind a request that is being served before it counts against the
	// connection.
	maxUnreadBytes = 16 << 10
)

// account is what is known of a connection.
type account struct {
	phase Phase
	// owner is whose request it is; empty if it isn't known.
	owner string
	// served is true once a request on the connection was answered.
	served bool
	// held is the memory of the request, in bytes, and unread what was last found to wait for being read.
	held, unread int64
	// movedAt is when the connection last brought something, and moved what it has brought since, in bytes.
	movedAt time.Time
	moved   int64
	// blockedSince is when the write began for which the caller takes nothing; zero for none.
	blockedSince time.Time
	// evicted is true once the connection was given up. It no longer counts.
	evicted bool
}

func (a *account) cost() int64 { return connBytes + a.held + a.unread }

// Table decides which connections are open and how much they hold. Use NewTable. It isn't safe for concurrent use.
type Table struct {
	limits   Limits
	accounts map[ID]*account
	// open is the number of connections that count, and total what they hold in bytes.
	open  int
	total int64
	// unread is the part of total that waits to be read.
	unread int64
	// misuses holds the owners whose connections were given up that had held what ordinary callers don't.
	misuses map[string]misuse
}

// misuse counts the connections of an owner that were given up one after the other, each within misuseTime of the last.
type misuse struct {
	count int
	last  time.Time
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, accounts: map[ID]*account{}, misuses: map[string]misuse{}}
}

// Open adds a connection. The victims must be closed. If ok is false, the connection was not added and must be closed itself.
// Connections that were served are given up only if anyway is true.
func (t *Table) Open(now time.Time, id ID, anyway bool) (victims []ID, ok bool) {
	r := forConn
	if anyway {
		r = forConnAnyway
	}
	for t.open >= t.limits.Conns {
		v, found := t.giveUp(now, id, r)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
	}
	more, ok := t.makeRoom(now, id, connBytes, t.limits.MemoryBytes, forSmall)
	victims = append(victims, more...)
	if !ok {
		return victims, false
	}
	t.accounts[id] = &account{movedAt: now}
	t.open++
	t.total += connBytes
	return victims, true
}

// Close removes a connection.
func (t *Table) Close(id ID) {
	t.evict(id)
	delete(t.accounts, id)
}

// giveUp evicts the connection that goes first for some room; ok is false if none does.
func (t *Table) giveUp(now time.Time, newcomer ID, r room) (id ID, ok bool) {
	id, k, ok := t.victim(now, newcomer, r)
	if !ok {
		return 0, false
	}
	if a := t.accounts[id]; k.class.isMisuse() && a.owner != "" {
		t.noteMisuse(now, a.owner)
	}
	t.evict(id)
	return id, true
}

// SetOwner records whose request a connection carries. It returns false if the request is to be refused: there is little
// room, and connections of the owner have lately held what ordinary callers don't.
func (t *Table) SetOwner(now time.Time, id ID, owner string) (ok bool) {
	a := t.accounts[id]
	if a == nil {
		return false
	}
	a.owner = owner
	m, ok := t.misuses[owner]
	if ok && now.Sub(m.last) >= misuseTime {
		delete(t.misuses, owner)
		m = misuse{}
	}
	return m.count < minMisuses || float64(t.open) < scarceRatio*float64(t.limits.Conns)
}

// noteMisuse records that a connection of an owner was given up that had held what ordinary callers don't.
func (t *Table) noteMisuse(now time.Time, owner string) {
	m := t.misuses[owner]
	if now.Sub(m.last) >= misuseTime {
		m.count = 0
	}
	t.misuses[owner] = misuse{m.count + 1, now}
}

// evict takes a connection out of the sums.
func (t *Table) evict(id ID) {
	a := t.accounts[id]
	if a == nil || a.evicted {
		return
	}
	t.total -= a.cost()
	t.unread -= a.unread
	t.open--
	a.evicted, a.held, a.unread = true, 0, 0
}

// Grow takes memory for a request, in bytes. If ok is false, nothing was taken, and the request is to be refused.
func (t *Table) Grow(now time.Time, id ID, n int64) (victims []ID, ok bool) {
	a := t.accounts[id]
	if a == nil || a.evicted {
		return nil, false
	}
	limit, room := t.limits.MemoryBytes, forSmall
	if a.held+n > smallBytes {
		limit, room = t.limits.largeBytes(), forLarge
	}
	victims, ok = t.makeRoom(now, id, n, limit, room)
	if ok {
		a.held += n
		t.total += n
	}
	return victims, ok
}

// Shrink returns memory of a request, in bytes.
func (t *Table) Shrink(id ID, n int64) {
	if a := t.accounts[id]; a != nil && !a.evicted {
		a.held -= n
		t.total -= n
	}
}

// SetPhase records what a connection is used for from now on. In PhaseIdle and PhaseRefused it holds nothing.
func (t *Table) SetPhase(now time.Time, id ID, p Phase) {
	a := t.accounts[id]
	if a == nil {
		return
	}
	a.phase, a.movedAt, a.moved = p, now, 0
	if p == PhaseIdle {
		a.owner = ""
	}
	if p == PhaseIdle || p == PhaseRefused {
		t.Shrink(id, a.held)
	}
}

// Phase returns what a connection is used for.
func (t *Table) Phase(id ID) Phase {
	if a := t.accounts[id]; a != nil {
		return a.phase
	}
	return PhaseRefused
}

// SetServed records that a request on a connection was answered.
func (t *Table) SetServed(id ID) {
	if a := t.accounts[id]; a != nil {
		a.served = true
	}
}

// Move records that a connection has brought some bytes, or taken them.
func (t *Table) Move(now time.Time, id ID, n int64) {
	a := t.accounts[id]
	if a == nil {
		return
	}
	if a.moved += n; a.moved >= max(minProgressBytes, a.held/progressDivisor) {
		a.movedAt, a.moved = now, 0
	}
}

// SetBlocked records since when a write to a connection has taken nothing; zero for none.
func (t *Table) SetBlocked(id ID, since time.Time) {
	if a := t.accounts[id]; a != nil {
		a.blockedSince = since
	}
}

// BlockedSince returns what SetBlocked recorded.
func (t *Table) BlockedSince(id ID) time.Time {
	if a := t.accounts[id]; a != nil {
		return a.blockedSince
	}
	return time.Time{}
}

// SetUnread records how many bytes wait to be read on account of a connection.
func (t *Table) SetUnread(id ID, n int64) {
	if a := t.accounts[id]; a != nil && !a.evicted {
		t.total += n - a.unread
		t.unread += n - a.unread
		a.unread = n
	}
}

// Trim gives connections up until the limit of memory is kept, as far as possible.
func (t *Table) Trim(now time.Time) (victims []ID) {
	victims, _ = t.makeRoom(now, 0, 0, t.limits.MemoryBytes, forSmall)
	return victims
}

// Conns returns the number of connections that count.
func (t *Table) Conns() int { return t.open }

// Held returns the memory that the connections use, in bytes.
func (t *Table) Held() int64 { return t.total }

// HeldBy returns the memory of the request on a connection, in bytes.
func (t *Table) HeldBy(id ID) int64 {
	if a := t.accounts[id]; a != nil {
		return a.held
	}
	return 0
}

// NeedsCheck reports whether what waits to be read must be counted: the limit of memory could be exceeded if some bytes waited
// on account of each connection, or what was counted last may have been read since.
func (t *Table) NeedsCheck(unread int64) bool {
	return t.unread > 0 || t.total+int64(t.open)*unread > t.limits.MemoryBytes
}

// makeRoom gives connections up until n more bytes fit in a limit. ok is false if they don't.
func (t *Table) makeRoom(now time.Time, newcomer ID, n, limit int64, r room) (victims []ID, ok bool) {
	if n > limit {
		return nil, false
	}
	for t.total+n > limit {
		v, found := t.giveUp(now, newcomer, r)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
	}
	return victims, true
}
