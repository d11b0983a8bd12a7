package intake

import "time"

// Begin records that a request was begun whose head has been read. It returns false if there is no room for it; the request
// must then be refused.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	c.setPhase(PhaseBody)
	return c.Grow(requestBytes)
}

// SetOwner records whose request the connection carries, by the name of a workspace. It returns false if the request must be
// refused: there is little room, and connections of the owner have lately held what ordinary callers don't.
func (c *Conn) SetOwner(owner string) (ok bool) {
	if c == nil || owner == "" {
		return true
	}
	c.guard.mu.Lock()
	ok = c.guard.table.SetOwner(time.Now(), c.id, owner)
	c.guard.mu.Unlock()
	if !ok {
		c.guard.noteRefusal()
	}
	return ok
}

// Arrived records that the whole request has arrived.
func (c *Conn) Arrived() { c.setPhase(PhaseRunning) }

// Refuse records that the request was refused and the connection will be closed. The request holds nothing any more.
func (c *Conn) Refuse() { c.setPhase(PhaseRefused) }

func (c *Conn) setPhase(p Phase) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetPhase(time.Now(), c.id, p)
}

// SetServed records that a request on the connection was answered.
func (c *Conn) SetServed() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetServed(c.id)
}

// Grow takes memory for the request, in bytes. It returns false if there is no room, and then has taken none.
func (c *Conn) Grow(n int64) (ok bool) {
	if c == nil {
		return true
	}
	c.guard.decide(func(now time.Time) (victims []ID) {
		victims, ok = c.guard.table.Grow(now, c.id, n)
		return victims
	})
	if !ok {
		c.guard.noteRefusal()
	}
	return ok
}

// Held returns the memory of the request, in bytes.
func (c *Conn) Held() int64 {
	if c == nil {
		return 0
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.table.HeldBy(c.id)
}

// Shrink returns memory of the request, in bytes.
func (c *Conn) Shrink(n int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Shrink(c.id, n)
}
