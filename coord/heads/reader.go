package heads

import (
	"io"
	"math"
)

// Reader reads from a connection and checks the heads of responses. An upstream in trouble may send bytes without end, which a
// parser would keep.
type Reader struct {
	r     io.Reader
	check Checker
	// left is how many bytes may still be read.
	left int64
}

// NewReader returns a reader that passes on all bytes of r until Begin is called.
func NewReader(r io.Reader) *Reader { return &Reader{r: r, left: math.MaxInt64} }

// Limit bounds the bytes that may still be read.
func (r *Reader) Limit(n int64) { r.left = n }

// Lift ends the check of a head, and all bounds.
func (r *Reader) Lift() {
	r.check.End()
	r.left = math.MaxInt64
}

// Begin checks the next head, of which the bytes in buffered have been read already.
func (r *Reader) Begin(buffered []byte) error {
	r.check.Begin()
	return r.check.Add(buffered)
}

// InHead reports whether the head of a final response is still to end.
func (r *Reader) InHead() bool { return r.check.InHead() }

// Read reads from the connection. The error is that of the head, in place of the bytes that show it.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.check.Add(nil); err != nil {
		return 0, err
	}
	if r.left <= 0 {
		return 0, ErrTooLarge
	}
	p = p[:min(int64(len(p)), r.left)]
	n, err := r.r.Read(p)
	r.left -= int64(n)
	if e := r.check.Add(p[:n]); e != nil {
		return 0, e
	}
	return n, err
}
