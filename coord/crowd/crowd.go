// Package crowd plays callers that misbehave, and measures the process that they connect to. Only tests use it.
package crowd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxConnections bounds the connections that one client opens, one after the other.
	maxConnections = 40
	// reconnectPause is the time between the end of a client's connection and its next one.
	reconnectPause = 100 * time.Millisecond
	// settleTime is how long no client of a crowd has sent or received anything once it counts as settled.
	settleTime = 700 * time.Millisecond
	// settlePoll is the time between two looks at what the clients have sent.
	settlePoll = 20 * time.Millisecond
)

// Client is what one client of a crowd does on each of its connections.
type Client struct {
	// Send writes to the connection. The connection stays open after it has returned. The number differs for each
	// connection of a crowd.
	Send func(w io.Writer, number int64) error
	// Unread is true if the client never reads.
	Unread bool
}

// Crowd is a number of clients that send at once. Use Start.
type Crowd struct {
	address string
	client  Client
	// sent and received count bytes.
	sent, received atomic.Int64
	number         atomic.Int64
	stopped        chan struct{}
	wait           sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start lets some clients connect to an address. A client whose connection is closed opens another one. The function that
// it returns closes all connections.
func Start(address string, clients int, c Client) (w *Crowd, stop func()) {
	w = &Crowd{address: address, client: c, stopped: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range clients {
		w.wait.Go(w.run)
	}
	return w, sync.OnceFunc(w.stop)
}

func (w *Crowd) stop() {
	w.mu.Lock()
	close(w.stopped)
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.wait.Wait()
}

// run is one client.
func (w *Crowd) run() {
	for range maxConnections {
		if !w.connect() {
			return
		}
		select {
		case <-time.After(reconnectPause):
		case <-w.stopped:
			return
		}
	}
}

// connect uses one connection until it is closed. It returns false if the crowd has been stopped.
func (w *Crowd) connect() bool {
	c, err := net.Dial("tcp", w.address)
	if err != nil {
		return true
	}
	defer func() { _ = c.Close() }()
	if !w.add(c) {
		return false
	}
	defer w.remove(c)
	closed := make(chan struct{})
	if !w.client.Unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(counter{io.Discard, &w.received}, c)
		}()
	}
	if err := w.client.Send(counter{c, &w.sent}, w.number.Add(1)); err != nil {
		return true
	}
	select {
	case <-closed:
		return true
	case <-w.stopped:
		return false
	}
}

// add keeps a connection to be closed by stop. It returns false if the crowd has been stopped.
func (w *Crowd) add(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return false
	default:
	}
	w.conns[c] = true
	return true
}

func (w *Crowd) remove(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// Settle waits until no client has sent or received anything for settleTime, at most for some time: clients that are turned
// away come again.
func (w *Crowd) Settle(most time.Duration) {
	last, at := w.sent.Load(), time.Now()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(settlePoll) {
		if n := w.sent.Load() + w.received.Load(); n != last || n == 0 {
			last, at = n, time.Now()
		}
		if time.Since(at) > settleTime {
			return
		}
	}
}

// Sent returns the number of bytes that the clients have sent.
func (w *Crowd) Sent() int64 { return w.sent.Load() }

// counter counts the bytes that are written.
type counter struct {
	io.Writer
	n *atomic.Int64
}

func (c counter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}
