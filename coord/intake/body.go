package intake

import "io"

const (
	// maxPieceBytes is the size of the pieces of a large body, and minPieceBytes that of the first piece of a body whose length
	// isn't known.
	maxPieceBytes = 32 << 10
	minPieceBytes = 1 << 10
)

// Body is the body of a request, in pieces. A large body in one piece would be copied while it grows.
type Body [][]byte

// Len returns the size in bytes.
func (b Body) Len() (n int) {
	for _, p := range b {
		n += len(p)
	}
	return n
}

// Append returns the body with more bytes at its end. The last piece may get them, so only the result may be used.
func (b Body) Append(p []byte) Body {
	for len(p) > 0 {
		last := len(b) - 1
		if last < 0 || len(b[last]) == cap(b[last]) {
			b = append(b, make([]byte, 0, max(minPieceBytes, min(b.Len(), maxPieceBytes))))
			continue
		}
		n := min(len(p), cap(b[last])-len(b[last]))
		b[last] = append(b[last], p[:n]...)
		p = p[n:]
	}
	return b
}

// At returns what follows an offset in its piece; nothing at the end of the body.
func (b Body) At(offset int) []byte {
	for _, p := range b {
		if offset < len(p) {
			return p[offset:]
		}
		offset -= len(p)
	}
	return nil
}

// Join returns the body in one piece.
func (b Body) Join() []byte {
	if len(b) == 1 {
		return b[0]
	}
	r := make([]byte, 0, b.Len())
	for _, p := range b {
		r = append(r, p...)
	}
	return r
}

// ReadBody reads a body to its end, and takes memory for it. The length is that which the caller has announced, or -1. The
// error is ErrNoRoom if the body can't be held, or that of the reader; no memory is taken then.
func (c *Conn) ReadBody(r io.Reader, length int64) (b Body, err error) {
	held := c.Held()
	defer func() {
		if err != nil {
			c.Shrink(c.Held() - held)
		}
	}()
	if length > 0 && !c.Grow(length) {
		return nil, ErrNoRoom
	}
	if b, err = c.readPieces(r, length); err == io.EOF {
		return b, nil
	}
	return nil, err
}

// readPieces reads a body to its end. The error is never nil; it is io.EOF at the end.
func (c *Conn) readPieces(r io.Reader, length int64) (b Body, err error) {
	for size := 0; err == nil; size += len(b[len(b)-1]) {
		var p []byte
		p, err = c.readPiece(r, int64(size), length)
		b = append(b, p)
	}
	return b, err
}

// ReadError returns the error of a read of the connection's request, which is ErrNoRoom once the connection is given up.
func (c *Conn) ReadError(err error) error {
	if c.isEvicted() {
		return ErrNoRoom
	}
	return err
}

// readPiece reads the next piece of a body of which some bytes are read. The error is io.EOF if the body ends with it.
func (c *Conn) readPiece(r io.Reader, size, length int64) (p []byte, err error) {
	n := max(minPieceBytes, min(size, maxPieceBytes))
	switch {
	case length >= 0:
		// One byte more than was announced shows the end.
		n = max(1, min(length-size, maxPieceBytes))
	case !c.Grow(n):
		return nil, ErrNoRoom
	}
	p = make([]byte, n)
	k := 0
	for k < len(p) && err == nil {
		var m int
		m, err = r.Read(p[k:])
		k += m
	}
	if c.isEvicted() {
		return nil, ErrNoRoom
	}
	return p[:k], err
}
