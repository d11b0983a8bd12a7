package upconn

// Option configures a Pool.
type Option func(*Pool)

// WithMaxTotal bounds the connections to all addresses together. Idle ones make room for others.
func WithMaxTotal(n int) Option { return func(p *Pool) { p.maxTotal = n } }

// closeExcess closes an idle connection to any address if all connections that the pool may have are open.
func (p *Pool) closeExcess() {
	p.mu.Lock()
	var c *conn
	if p.maxTotal > 0 && p.total >= p.maxTotal {
		c = p.removeAnyIdle()
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// removeAnyIdle removes and returns the idle connection of some address that was used first; nil if none is idle. p.mu must be
// held.
func (p *Pool) removeAnyIdle() *conn {
	for k, l := range p.idle {
		if len(l) > 0 {
			p.idle[k] = l[1:]
			return l[0]
		}
	}
	return nil
}

// reserveConn counts a connection that is about to be dialed. It returns false if maxConns
// are open already, or as many as the pool may have.
func (p *Pool) reserveConn(address string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxConns > 0 && p.open[address] >= maxConns || p.maxTotal > 0 && p.total >= p.maxTotal {
		return false
	}
	p.open[address]++
	p.total++
	return true
}

// releaseConn removes a closed connection from the count.
func (p *Pool) releaseConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}
