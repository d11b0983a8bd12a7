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

// ReadBody reads a body to its end. The length is that which the caller has announced, or -1. The error is ErrNoRoom if the
// body can't be held, or that of the reader.
func (c *Conn) ReadBody(r io.Reader, length int64) (b Body, err error) {
	if length > 0 && !c.Grow(length) {
		return nil, ErrNoRoom
	}
	for size := 0; err == nil; size += len(b[len(b)-1]) {
		var p []byte
		if p, err = c.readPiece(r, int64(size), length); err != nil && err != io.EOF {
			return nil, err
		}
		b = append(b, p)
	}
	return b, nil
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
