package upconn

import (
	"io"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// maxResponseBytes bounds the bytes that are read from the connection until the head of the
	// response is complete. Whole responses that are skipped before it count too.
	maxResponseBytes = 256 << 10
	// maxHeadBytes and maxHeadLines bound the head of one response. A parsed line takes far more
	// memory than the few bytes that it may have.
	maxHeadBytes = 32 << 10
	maxHeadLines = 512
)

// errHeadTooLarge means that the head of a response exceeds a bound.
var errHeadTooLarge = eris.New("the head of the answer is too large")

// headReader reads from a connection and bounds the heads of responses. An upstream in trouble may send bytes
// without end, which a parser would keep.
type headReader struct {
	io.Reader
	// left is how many bytes may still be read.
	left int64
	// inHead is true from begin until the head has ended.
	inHead bool
	// bytes and lines are the size of the head so far, and lineBytes that of its current line, without its end.
	bytes, lines, lineBytes int
}

// begin bounds the next head, of which the bytes in buffered have been read already.
func (h *headReader) begin(buffered []byte) error {
	h.inHead, h.bytes, h.lines, h.lineBytes = true, 0, 0, 0
	return h.scan(buffered)
}

// lift ends all bounds.
func (h *headReader) lift() { h.inHead, h.left = false, math.MaxInt64 }

// Read reads from the connection. The error is errHeadTooLarge if a bound is exceeded.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	p = p[:min(int64(len(p)), h.left)]
	n, err := h.Reader.Read(p)
	h.left -= int64(n)
	if e := h.scan(p[:n]); e != nil {
		return 0, e
	}
	return n, err
}

// scan counts the bytes and lines of a head up to its end, which is an empty line.
func (h *headReader) scan(b []byte) error {
	for _, c := range b {
		if !h.inHead {
			return nil
		}
		h.bytes++
		switch c {
		case '\n':
			h.lines++
			h.inHead = h.lineBytes > 0
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
		}
		if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
			return errHeadTooLarge
		}
	}
	return nil
}
