// Package heads checks the heads of HTTP/1.1 responses as they are read, and bounds them.
//
// The parser of the standard library is lenient: it takes a status of 000 and names with blanks in them, and skips or passes on
// what it doesn't understand. From an upstream in trouble that is no answer. What RFC 9112 lets a recipient tolerate is accepted only
// where it can't change what the head says: a line feed as the end of a line, more blanks before the status and none after it.
package heads

import (
	"bytes"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// MaxBytes and MaxLines bound the head of one response. A parsed line takes far more memory than the few bytes that it may have.
const (
	MaxBytes = 32 << 10
	MaxLines = 512
)

// ErrTooLarge means that the head of a response exceeds a bound.
var ErrTooLarge = eris.New("the head of the answer is too large")

// Reader reads from a connection and checks the heads of responses. An upstream in trouble may send bytes without end, which a
// parser would keep.
type Reader struct {
	r io.Reader
	// left is how many bytes may still be read.
	left int64
	// inHead is true from Begin until a head of a final response has ended.
	inHead bool
	// bytes and lines are the size of the head so far.
	bytes, lines int
	// line is the part of the current line that has come.
	line []byte
	// first is the first line of the head, and framing what its fields say of the body's end.
	first   statusLine
	framing framing
	// err is the first error of a head. It is that of all reads from then on: a parser may take an error in the middle of a line for
	// the end of the line, and read on.
	err error
}

// NewReader returns a reader that passes on all bytes of r until Begin is called.
func NewReader(r io.Reader) *Reader { return &Reader{r: r, left: math.MaxInt64} }

// Limit bounds the bytes that may still be read.
func (h *Reader) Limit(n int64) { h.left = n }

// Lift ends the check of a head, and all bounds.
func (h *Reader) Lift() { h.inHead, h.left = false, math.MaxInt64 }

// Begin checks the next head, of which the bytes in buffered have been read already. After the head of an interim response, the one
// that follows is checked.
func (h *Reader) Begin(buffered []byte) error {
	h.begin()
	h.err = h.scan(buffered)
	return h.err
}

func (h *Reader) begin() {
	h.inHead, h.bytes, h.lines, h.line, h.framing = true, 0, 0, h.line[:0], framing{}
}

// InHead reports whether the head of a final response is still to end.
func (h *Reader) InHead() bool { return h.inHead }

// Read reads from the connection. The error is that of the head, in place of the bytes that show it.
func (h *Reader) Read(p []byte) (int, error) {
	if h.left <= 0 && h.err == nil {
		h.err = ErrTooLarge
	}
	if h.err != nil {
		return 0, h.err
	}
	p = p[:min(int64(len(p)), h.left)]
	n, err := h.r.Read(p)
	h.left -= int64(n)
	if h.err = h.scan(p[:n]); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// scan checks the lines of heads up to the empty line that ends that of a final response.
func (h *Reader) scan(b []byte) error {
	for h.inHead && len(b) > 0 {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		h.bytes += len(b) - len(rest)
		if h.bytes > MaxBytes {
			return ErrTooLarge
		}
		h.line = append(h.line, part...)
		b = rest
		if !ended {
			break
		}
		if err := h.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// endLine checks a line that has ended.
func (h *Reader) endLine() (err error) {
	line, _ := bytes.CutSuffix(h.line, []byte("\r"))
	h.line = h.line[:0]
	h.lines++
	switch {
	case h.lines > MaxLines:
		return ErrTooLarge
	case h.lines == 1:
		h.first, err = parseStatusLine(line)
	case len(line) == 0:
		err = h.endHead()
	default:
		err = h.addField(line)
	}
	return err
}

// addField checks the line of a field.
func (h *Reader) addField(line []byte) error {
	name, err := checkField(line)
	h.framing = h.framing.WithField(name)
	return err
}

// endHead ends a head. Another one follows that of an interim response.
func (h *Reader) endHead() error {
	if err := h.framing.check(h.first.minor); err != nil {
		return err
	}
	if h.first.isInterim() {
		h.begin()
		return nil
	}
	h.inHead, h.line = false, nil
	return nil
}
