// Package link dials, pools and serves the drpc connections between the processes of this
// system.
//
// A connection carries one call or stream at a time. A connection that hangs therefore
// affects one request only, and response data never waits behind control messages. A failed
// call closes the idle connections to its address.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
)

const (
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// CallTimeout bounds a unary call, including the time to get a connection. It also bounds
	// each ping on its own.
	CallTimeout = time.Second
	// pingAfter is the idle time after which a connection is pinged before it is reused.
	pingAfter = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxKeptBufferBytes is the largest buffer that a connection keeps.
	maxKeptBufferBytes = 64 << 10
	// maxIdle bounds the idle connections to one address.
	maxIdle = 16
)

// managerOptions are those of both ends of a connection. Without a bound, a connection keeps a buffer of the size of the largest
// message that was sent on it.
var managerOptions = drpcmanager.Options{Stream: drpcstream.Options{MaximumBufferSize: maxKeptBufferBytes}}

// idleConn is an idle connection.
type idleConn struct {
	conn *drpcconn.Conn
	// skipPingUntil is the time until which the connection is reused without a ping.
	skipPingUntil time.Time
	// expiresAt is when the connection is too old to be reused.
	expiresAt time.Time
}

// Ping makes a call that checks that the other end of a connection answers.
type Ping func(ctx context.Context, c drpc.Conn) error

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	tls  *tls.Config
	ping Ping
	mu   sync.Mutex
	// idleConns holds the idle connections to each address, the one used last at the end.
	idleConns map[string][]idleConn
	closed    bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithPing replaces the call that checks idle connections. The default calls the peer
// protocol's Exchange.
func WithPing(f Ping) Option { return func(p *Pool) { p.ping = f } }

// NewPool returns a pool and a function that closes it: idle connections are closed at once,
// and those in use when they are released. A nil configuration means plain TCP.
func NewPool(c *tls.Config, opts ...Option) (p *Pool, closePool func()) {
	p = &Pool{tls: c, ping: pingPeer, idleConns: map[string][]idleConn{}}
	for _, o := range opts {
		o(p)
	}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a := range p.idleConns {
		p.closeIdle(a)
	}
}

// closeIdle closes the idle connections to an address. The caller holds the lock.
func (p *Pool) closeIdle(address string) {
	for _, i := range p.idleConns[address] {
		_ = i.conn.Close()
	}
	delete(p.idleConns, address)
}

// Get returns an idle or a new connection to an address, and a function that must be called
// once the connection is no longer used. It puts the connection back into the pool if
// reusable is true; otherwise it closes this connection and the idle ones to the address.
func (p *Pool) Get(ctx context.Context, address string) (c drpc.Conn, release func(reusable bool), err error) {
	defer fault.Annotate(&err, "connect to %s", address)
	for {
		i, ok := p.takeIdle(address)
		if !ok {
			break
		}
		if time.Now().Before(i.skipPingUntil) || p.responds(ctx, i.conn) {
			return i.conn, p.releaseFunc(address, i.conn), nil
		}
		p.discard(address, i.conn)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return conn, p.releaseFunc(address, conn), nil
}

// responds reports whether a ping on a connection succeeds within CallTimeout.
func (p *Pool) responds(ctx context.Context, c drpc.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return p.ping(ctx, c) == nil
}

func pingPeer(ctx context.Context, c drpc.Conn) error {
	_, err := wire.NewDRPCPeerClient(c).Exchange(ctx, &wire.Digest{Ping: true})
	return err
}

// takeIdle removes and returns the open idle connection that was used last. It drops expired
// or closed connections that were used after that one.
func (p *Pool) takeIdle(address string) (i idleConn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idleConns[address]
	for len(l) > 0 {
		i = l[len(l)-1]
		l = l[:len(l)-1]
		p.idleConns[address] = l
		if time.Now().Before(i.expiresAt) && !isClosed(i.conn) {
			return i, true
		}
		_ = i.conn.Close()
	}
	return idleConn{}, false
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	if p.tls != nil {
		c, err := (&tls.Dialer{Config: p.tls}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// newConn returns a client's connection.
func newConn(c net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions})
}

// releaseFunc returns the release function of Get. Only its first call has an effect.
func (p *Pool) releaseFunc(address string, c *drpcconn.Conn) func(bool) {
	var once sync.Once
	return func(reusable bool) {
		once.Do(func() {
			if !reusable {
				p.discard(address, c)
				return
			}
			p.putIdle(address, c)
		})
	}
}

// discard closes a failed connection and the idle ones to its address.
func (p *Pool) discard(address string, c *drpcconn.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
}

// putIdle keeps a connection for reuse, or closes it if the pool or the connection is closed or
// the pool already holds maxIdle idle connections to the address.
func (p *Pool) putIdle(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(c) || len(p.idleConns[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	now := time.Now()
	p.idleConns[address] = append(p.idleConns[address], idleConn{c, now.Add(pingAfter), now.Add(idleTimeout)})
}

// Call makes a unary call within CallTimeout on a connection of the pool. The function f makes
// the call: Exchange, Reserve, Settle, Cancel, Gossip, List, Take, NoteOrigin or FindOrigin.
func Call[I, O any](ctx context.Context, p *Pool, address string, f func(drpc.Conn, context.Context, I) (O, error), in I) (out O, err error) {
	defer fault.Annotate(&err, "call %s", address)
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c, release, err := p.Get(ctx, address)
	if err != nil {
		return out, err
	}
	out, err = f(c, ctx, in)
	release(err == nil)
	return out, err
}

// Exchange calls Exchange of the peer protocol.
func Exchange(c drpc.Conn, ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	return wire.NewDRPCPeerClient(c).Exchange(ctx, d)
}

// Reserve calls Reserve of the agent protocol.
func Reserve(c drpc.Conn, ctx context.Context, m *wire.ReserveRequest) (*wire.ReserveReply, error) {
	return wire.NewDRPCAgentClient(c).Reserve(ctx, m)
}

// Settle calls Settle of the agent protocol.
func Settle(c drpc.Conn, ctx context.Context, m *wire.SettleRequest) (*wire.SettleReply, error) {
	return wire.NewDRPCAgentClient(c).Settle(ctx, m)
}

// Cancel calls Cancel of the agent protocol.
func Cancel(c drpc.Conn, ctx context.Context, m *wire.CancelRequest) (*wire.CancelReply, error) {
	return wire.NewDRPCAgentClient(c).Cancel(ctx, m)
}

// Gossip calls Gossip of the mesh protocol.
func Gossip(c drpc.Conn, ctx context.Context, m *wire.GossipRequest) (*wire.GossipReply, error) {
	return wire.NewDRPCMeshClient(c).Gossip(ctx, m)
}

// List calls List of the mesh protocol. Only entries, the processes that receive the requests of
// callers, serve this call.
func List(c drpc.Conn, ctx context.Context, m *wire.ListRequest) (*wire.ListReply, error) {
	return wire.NewDRPCMeshClient(c).List(ctx, m)
}

// Take calls Take of the mesh protocol. Only entries serve this call.
func Take(c drpc.Conn, ctx context.Context, m *wire.TakeRequest) (*wire.TakeReply, error) {
	return wire.NewDRPCMeshClient(c).Take(ctx, m)
}

// NoteOrigin calls NoteOrigin of the mesh protocol.
func NoteOrigin(c drpc.Conn, ctx context.Context, m *wire.StreamOrigin) (*wire.OriginNoted, error) {
	return wire.NewDRPCMeshClient(c).NoteOrigin(ctx, m)
}

// FindOrigin calls FindOrigin of the mesh protocol.
func FindOrigin(c drpc.Conn, ctx context.Context, m *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	return wire.NewDRPCMeshClient(c).FindOrigin(ctx, m)
}
