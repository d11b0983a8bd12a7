// Package link dials and serves the drpc connections between own processes.
//
// A connection carries one call or stream at a time, so a silent connection takes one
// request along and answers never wait behind control. A failed call drops the idle
// connections of its address.
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
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Defaults of the pool.
const (
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// CallTimeout bounds a call that isn't a stream.
	CallTimeout = time.Second
	// trusted is how long an idle connection is used without a check.
	trusted = time.Second
	// idleTerm is how long an idle connection is kept.
	idleTerm = 30 * time.Second
	// maxIdle bounds the idle connections of one address.
	maxIdle = 16
)

type idle struct {
	conn  *drpcconn.Conn
	check time.Time
	until time.Time
}

// Ping asks the other end of a connection for a sign of life.
type Ping func(ctx context.Context, c drpc.Conn) error

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	tls  *tls.Config
	ping Ping
	mu   sync.Mutex
	idle map[string][]idle
	shut bool
}

// Option changes a pool.
type Option func(*Pool)

// WithPing replaces the call by which an idle connection is checked.
func WithPing(f Ping) Option { return func(p *Pool) { p.ping = f } }

// NewPool returns a pool and a function that closes it. A nil configuration means
// plain TCP.
func NewPool(c *tls.Config, opts ...Option) (p *Pool, closeAll func()) {
	p = &Pool{tls: c, ping: pingPeer, idle: map[string][]idle{}}
	for _, o := range opts {
		o(p)
	}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for a := range p.idle {
		p.drop(a)
	}
}

// drop closes the idle connections of an address. The lock is held.
func (p *Pool) drop(address string) {
	for _, i := range p.idle[address] {
		_ = i.conn.Close()
	}
	delete(p.idle, address)
}

// Get returns a connection and a function that takes it back. The function's argument
// says whether the connection is fit for another use.
func (p *Pool) Get(ctx context.Context, address string) (c drpc.Conn, release func(fit bool), err error) {
	defer fault.Annotate(&err, "connect to %s", address)
	for {
		i, ok := p.take(address)
		if !ok {
			break
		}
		if time.Now().Before(i.check) || p.alive(ctx, i.conn) {
			return i.conn, p.release(address, i.conn), nil
		}
		p.fail(address, i.conn)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return conn, p.release(address, conn), nil
}

func (p *Pool) alive(ctx context.Context, c drpc.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return p.ping(ctx, c) == nil
}

func pingPeer(ctx context.Context, c drpc.Conn) error {
	_, err := wire.NewDRPCPeerClient(c).Exchange(ctx, &wire.Digest{Ping: true})
	return err
}

func (p *Pool) take(address string) (i idle, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	for len(l) > 0 {
		i = l[len(l)-1]
		l = l[:len(l)-1]
		p.idle[address] = l
		if time.Now().Before(i.until) && !closed(i.conn) {
			return i, true
		}
		_ = i.conn.Close()
	}
	return idle{}, false
}

func closed(c *drpcconn.Conn) bool {
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
		return drpcconn.New(c), nil
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

func (p *Pool) release(address string, c *drpcconn.Conn) func(bool) {
	var once sync.Once
	return func(fit bool) {
		once.Do(func() {
			if !fit {
				p.fail(address, c)
				return
			}
			p.put(address, c)
		})
	}
}

func (p *Pool) fail(address string, c *drpcconn.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(address)
}

func (p *Pool) put(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || closed(c) || len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	now := time.Now()
	p.idle[address] = append(p.idle[address], idle{c, now.Add(trusted), now.Add(idleTerm)})
}

// Call makes a call that isn't a stream within CallTimeout.
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

// Exchange calls a peer's Exchange.
func Exchange(c drpc.Conn, ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	return wire.NewDRPCPeerClient(c).Exchange(ctx, d)
}

// Reserve calls an agent's Reserve.
func Reserve(c drpc.Conn, ctx context.Context, m *wire.ReserveRequest) (*wire.ReserveReply, error) {
	return wire.NewDRPCAgentClient(c).Reserve(ctx, m)
}

// Settle calls an agent's Settle.
func Settle(c drpc.Conn, ctx context.Context, m *wire.SettleRequest) (*wire.SettleReply, error) {
	return wire.NewDRPCAgentClient(c).Settle(ctx, m)
}

// Cancel calls an agent's Cancel.
func Cancel(c drpc.Conn, ctx context.Context, m *wire.CancelRequest) (*wire.CancelReply, error) {
	return wire.NewDRPCAgentClient(c).Cancel(ctx, m)
}

// Gossip calls a member's Gossip.
func Gossip(c drpc.Conn, ctx context.Context, m *wire.GossipRequest) (*wire.GossipReply, error) {
	return wire.NewDRPCMeshClient(c).Gossip(ctx, m)
}

// List calls an entry's List.
func List(c drpc.Conn, ctx context.Context, m *wire.ListRequest) (*wire.ListReply, error) {
	return wire.NewDRPCMeshClient(c).List(ctx, m)
}

// Take calls an entry's Take.
func Take(c drpc.Conn, ctx context.Context, m *wire.TakeRequest) (*wire.TakeReply, error) {
	return wire.NewDRPCMeshClient(c).Take(ctx, m)
}

// Serve serves the peer protocol, and the agent's where agent is not nil, until the
// context ends.
func Serve(ctx context.Context, l net.Listener, c *tls.Config, peer wire.DRPCPeerServer, agent wire.DRPCAgentServer) (err error) {
	defer fault.Annotate(&err, "serve %s", l.Addr())
	m := drpcmux.New()
	if err := wire.DRPCRegisterPeer(m, peer); err != nil {
		return err
	}
	if agent != nil {
		if err := wire.DRPCRegisterAgent(m, agent); err != nil {
			return err
		}
	}
	return serve(ctx, l, c, m)
}

// ServeMesh serves the mesh protocol until the context ends.
func ServeMesh(ctx context.Context, l net.Listener, c *tls.Config, s wire.DRPCMeshServer) (err error) {
	defer fault.Annotate(&err, "serve %s", l.Addr())
	m := drpcmux.New()
	if err := wire.DRPCRegisterMesh(m, s); err != nil {
		return err
	}
	return serve(ctx, l, c, m)
}

func serve(ctx context.Context, l net.Listener, c *tls.Config, m *drpcmux.Mux) error {
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return drpcserver.New(m).Serve(ctx, l)
}
