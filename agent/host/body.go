package host

import (
	"io"
	"sync"

	"cranberrypoint.example/coord/wire"
)

// body buffers a request body between the stream from the entry and the call to the upstream.
// The entry limits its size by the max-body setting of the route, and memory the sum of what is buffered.
type body struct {
	memory *memory

	mu     sync.Mutex
	cond   *sync.Cond
	pieces [][]byte
	// buffered is the size of pieces in bytes, and reserved the memory that was taken for what is yet to arrive.
	buffered, reserved int64
	// complete is true once all of the body has arrived or Close was called.
	complete bool
	// err is the error with which the body ends early, nil for none.
	err error
}

func newBody(m *memory) *body {
	b := &body{memory: m}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// reserve records that memory was taken for what is yet to arrive.
func (b *body) reserve(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved += n
}

// add appends a part of the body. If it can't be held, the body ends early.
func (b *body) add(m *wire.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.cond.Broadcast()
	n := int64(len(m.Data))
	switch {
	case b.err != nil:
		return
	case n > b.reserved && !b.memory.take(n-b.reserved):
		b.end(errNoMemory)
		return
	}
	b.reserved = max(0, b.reserved-n)
	if n > 0 {
		b.pieces = append(b.pieces, m.Data)
		b.buffered += n
	}
	b.complete = b.complete || m.End
}

// end ends the body early. b.mu must be held.
func (b *body) end(err error) {
	b.err = err
	b.memory.release(b.buffered + b.reserved)
	b.pieces, b.buffered, b.reserved = nil, 0, 0
}

// streamEnded ends the body early unless it is complete.
func (b *body) streamEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete && b.err == nil {
		b.end(io.ErrUnexpectedEOF)
	}
	b.cond.Broadcast()
}

// Close marks the body as complete, even if parts of it have not arrived: a waiting Read
// returns, and no Read waits any more. The upstream client calls it when it needs no more of
// the body, and bodyOfRun to make an empty body. It never fails.
func (b *body) Close() error {
	b.add(&wire.Body{End: true})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.release(b.buffered + b.reserved)
	b.pieces, b.buffered, b.reserved = nil, 0, 0
	return nil
}

// Read waits for data. After the last byte it returns io.EOF, or io.ErrUnexpectedEOF if the
// stream ended before.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pieces) == 0 && !b.complete && b.err == nil {
		b.cond.Wait()
	}
	switch {
	case b.err != nil:
		return 0, b.err
	case len(b.pieces) == 0:
		return 0, io.EOF
	}
	n := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][n:]; len(b.pieces[0]) == 0 {
		b.pieces = b.pieces[1:]
	}
	b.buffered -= int64(n)
	b.memory.release(int64(n))
	return n, nil
}
