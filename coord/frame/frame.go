// Package frame describes how the body of an HTTP response is framed, that is, what tells its
// reader where it ends, and how reading it ended.
package frame

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
)

// Framing is what marks the end of a body. Its text is used in logs and metrics.
type Framing string

// Framings of a body.
const (
	// Length means that the head states the length. Responses without a body count too.
	Length Framing = "length"
	// Chunked means that the body comes in chunks, the last of which marks the end.
	Chunked Framing = "chunked"
	// Connection means that the body ends with its connection. If the sender fails in the
	// middle, its kernel may close the connection in the same way.
	Connection Framing = "connection"
)

// Of returns the framing of a response that the standard library has parsed.
func Of(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return Chunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return Length
	}
	return Connection
}

// End is how reading a body ended. Its text is used in logs and metrics.
type End string

// Ends of a body.
const (
	// Complete means that the body was read to the end that its framing marks.
	Complete End = "complete"
	// Closed means that the connection was closed before that end.
	Closed End = "closed"
	// Reset means that the connection was reset.
	Reset End = "reset"
	// Abandoned means that the reader gave up: it closed the connection, or its time was up.
	Abandoned End = "abandoned"
	// Failed means any other error, such as a malformed chunk.
	Failed End = "failed"
)

// EndOf returns the end that the error of the last read means. io.EOF and nil are Complete.
func EndOf(err error) End {
	switch {
	case err == nil || err == io.EOF:
		return Complete
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Closed
	case errors.Is(err, syscall.ECONNRESET):
		return Reset
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return Abandoned
	}
	return Failed
}
