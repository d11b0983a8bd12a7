package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkPeriod is the time between two checks of what waits to be read.
	checkPeriod = 250 * time.Millisecond
	// minCheckPeriod is the least time between two checks for connections that can't be added.
	minCheckPeriod = 20 * time.Millisecond
	// logPeriod is the least time between two log lines on connections that were given up.
	logPeriod = time.Second
	// RetryAfter is the retry delay for callers who were refused for want of room: by then, a connection that has brought
	// nothing meanwhile gives way.
	RetryAfter = stallTime
)

// Guard applies the decisions of a Table to the connections of a listener. Use NewGuard.
type Guard struct {
	log     logrus.FieldLogger
	maxHead func() int
	metrics *metrics

	mu     sync.Mutex
	table  *Table
	conns  map[ID]*Conn
	lastID ID
	// unlogged counts what was done since loggedAt.
	unlogged counts
	loggedAt time.Time
	// checkedAt is when what waits to be read was last counted.
	checkedAt time.Time
}

// counts are the numbers of connections that were given up, and of requests that were refused, for want of room.
type counts struct{ evicted, refused int }

// Option configures a Guard.
type Option func(*Guard)

// WithMaxHead bounds the head of a request, in bytes. The function may be called from any goroutine; it returns 0 for no
// bound.
func WithMaxHead(f func() int) Option { return func(g *Guard) { g.maxHead = f } }

// NewGuard returns a guard without connections.
func NewGuard(l Limits, log logrus.FieldLogger, opts ...Option) *Guard {
	g := &Guard{log: log, maxHead: func() int { return 0 }, table: NewTable(l), conns: map[ID]*Conn{}}
	for _, o := range opts {
		o(g)
	}
	g.metrics = newMetrics(g)
	log.WithFields(logrus.Fields{"event": "intake-limits", "memory-bytes": l.MemoryBytes, "connections": l.Conns}).Info("callers may make this process hold so much")
	return g
}

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(l net.Listener) net.Listener {
	boundBuffers(l)
	return &listener{l, g}
}

// MaxBodyBytes returns the size of the largest body that can be held.
func (g *Guard) MaxBodyBytes() int64 { return g.table.limits.maxBodyBytes() }

// listener guards the connections that it accepts.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room, and closes others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.guard.add(n); ok {
			return c, nil
		}
		_ = n.Close()
	}
}

// add adds a connection; ok is false if there is no room.
func (g *Guard) add(n net.Conn) (c *Conn, ok bool) {
	if c, ok = g.tryAdd(n, false); ok {
		return c, true
	}
	g.checkNow()
	if c, ok = g.tryAdd(n, true); ok {
		return c, true
	}
	g.noteRefusal()
	return nil, false
}

// tryAdd adds a connection if there is room. It gives up connections that were served only if anyway is true.
func (g *Guard) tryAdd(n net.Conn, anyway bool) (c *Conn, ok bool) {
	g.decide(func(now time.Time) (victims []ID) {
		g.lastID++
		c = &Conn{Conn: n, guard: g, id: g.lastID}
		if victims, ok = g.table.Open(now, c.id, anyway); ok {
			g.conns[c.id] = c
		}
		return victims
	})
	return c, ok
}

// decide calls a function that uses the table, and gives up the connections that it returns.
func (g *Guard) decide(f func(now time.Time) (victims []ID)) {
	g.mu.Lock()
	victims := f(time.Now())
	var l []eviction
	for _, id := range victims {
		if c := g.conns[id]; c != nil {
			l = append(l, eviction{c, g.table.Phase(id)})
		}
	}
	g.mu.Unlock()
	for _, e := range l {
		e.conn.evict(e.phase)
	}
	if len(l) > 0 {
		g.metrics.evicted.Add(float64(len(l)))
		g.note(counts{evicted: len(l)})
	}
}

// eviction is a connection to be given up, and what it was used for.
type eviction struct {
	conn  *Conn
	phase Phase
}

// noteRefusal counts a connection or request that was refused.
func (g *Guard) noteRefusal() {
	g.metrics.refused.Inc()
	g.note(counts{refused: 1})
}

// note logs what was done, together with what else was since the last line if that was not long ago.
func (g *Guard) note(c counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged.evicted += c.evicted
	g.unlogged.refused += c.refused
	now := time.Now()
	if g.unlogged == (counts{}) || now.Sub(g.loggedAt) < logPeriod {
		return
	}
	g.log.WithFields(logrus.Fields{
		"event": "intake-full", "evicted": g.unlogged.evicted, "refused": g.unlogged.refused, "connections": g.table.Conns(), "held-bytes": g.table.Held(),
	}).Warn("callers hold as much as they may; connections were closed or requests refused")
	g.unlogged, g.loggedAt = counts{}, now
}

// Run checks at intervals what waits to be read, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	t := time.NewTicker(checkPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.checkIfNeeded()
			g.note(counts{})
		case <-ctx.Done():
			return
		}
	}
}

// checkIfNeeded counts what has arrived and isn't read yet, if that is needed.
func (g *Guard) checkIfNeeded() {
	g.mu.Lock()
	isNeeded := g.table.NeedsCheck(receiveBufferBytes + answerBufferBytes)
	g.mu.Unlock()
	if isNeeded {
		g.check()
	}
}

// checkNow counts what has arrived and isn't read yet, unless that was done just before.
func (g *Guard) checkNow() {
	g.mu.Lock()
	isRecent := time.Since(g.checkedAt) < minCheckPeriod
	g.mu.Unlock()
	if !isRecent {
		g.check()
	}
}

// check counts what has arrived and isn't read yet.
func (g *Guard) check() {
	l := g.connsToCheck()
	unread := make([]int64, len(l))
	for i, c := range l {
		unread[i] = c.unreadBytes()
	}
	g.decide(func(now time.Time) []ID {
		for i, c := range l {
			g.table.SetUnread(c.id, unread[i])
		}
		return g.table.Trim(now)
	})
}

// connsToCheck returns all connections.
func (g *Guard) connsToCheck() (l []*Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkedAt = time.Now()
	for _, c := range g.conns {
		l = append(l, c)
	}
	return l
}

// TrackState records state changes of a guarded connection, as http.Server.ConnState.
func (g *Guard) TrackState(n net.Conn, s http.ConnState) {
	if c, ok := n.(*Conn); ok && s == http.StateIdle {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.SetPhase(time.Now(), c.id, PhaseIdle)
	}
}
