// Package heads checks the heads of HTTP/1.1 responses as they are read, and bounds them.
//
// The parser of the standard library is lenient: it takes a status of 000 and names with blanks in them, and skips or passes on
// what it doesn't understand. From an upstream in trouble that is no answer. What RFC 9112 lets a recipient tolerate is accepted only
// where it can't change what the head says: a line feed as the end of a line, more blanks before the status and none after it.
package heads

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// MaxBytes and MaxLines bound the head of one response. A parsed line takes far more memory than the few bytes that it may have.
const (
	MaxBytes = 32 << 10
	MaxLines = 512
)

// ErrTooLarge means that the head of a response exceeds a bound.
var ErrTooLarge = eris.New("the head of the answer is too large")

// Checker checks heads and bounds them. The zero value checks nothing until Begin is called.
type Checker struct {
	// inHead is true from Begin until the head of a final response has ended.
	inHead bool
	// bytes and lines are the size of the head so far.
	bytes, lines int
	// line is the part of the current line that has come.
	line []byte
	// first is the first line of the head, and framing what its fields say of the body's end.
	first   statusLine
	framing framing
	// err is the first error of the head.
	err error
}

// Begin checks the head that comes next. After the head of an interim response, the one that follows is checked.
func (c *Checker) Begin() {
	*c = Checker{inHead: true, line: c.line[:0]}
}

// End ends the check.
func (c *Checker) End() { c.inHead, c.err = false, nil }

// InHead reports whether the head of a final response is still to end.
func (c *Checker) InHead() bool { return c.inHead }

// Add checks the next bytes up to the end of the head. Once a head has an error, all bytes that follow have it: a parser may take an error in
// the middle of a line for the end of the line, and read on.
func (c *Checker) Add(b []byte) error {
	for c.inHead && c.err == nil && len(b) > 0 {
		b = c.addPart(b)
	}
	return c.err
}

// addPart checks bytes up to the end of a line, and returns those behind it.
func (c *Checker) addPart(b []byte) (rest []byte) {
	part, rest, ended := bytes.Cut(b, []byte("\n"))
	c.bytes += len(b) - len(rest)
	if c.bytes > MaxBytes {
		c.err = ErrTooLarge
		return nil
	}
	c.line = append(c.line, part...)
	if ended {
		c.err = c.endLine()
	}
	return rest
}

// endLine checks a line that has ended.
func (c *Checker) endLine() (err error) {
	line, _ := bytes.CutSuffix(c.line, []byte("\r"))
	c.line = c.line[:0]
	c.lines++
	switch {
	case c.lines > MaxLines:
		return ErrTooLarge
	case c.lines == 1:
		c.first, err = parseStatusLine(line)
	case len(line) == 0:
		err = c.endHead()
	default:
		err = c.addField(line)
	}
	return err
}

// addField checks the line of a field.
func (c *Checker) addField(line []byte) error {
	name, err := checkField(line)
	c.framing = c.framing.WithField(name)
	return err
}

// endHead ends a head. Another one follows that of an interim response.
func (c *Checker) endHead() error {
	if err := c.framing.check(c.first.minor); err != nil {
		return err
	}
	if c.first.isInterim() {
		c.Begin()
		return nil
	}
	c.inHead, c.line = false, nil
	return nil
}
