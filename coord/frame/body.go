package frame

import (
	"io"
	"mime"
	"net/http"

	"github.com/rotisserie/eris"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// Errors of a body that ends without an error of its connection and yet is not complete.
var (
	errInsideEvent = eris.Wrap(io.ErrUnexpectedEOF, "the stream ends inside an event")
	errNoEvent     = eris.Wrap(io.ErrUnexpectedEOF, "the stream ends with its connection before the first event")
)

// Body reads the body of a response. It returns io.EOF only at an end that a complete body can
// have; what the connection alone shows as an end may be that of a sender that crashed.
type Body struct {
	io.ReadCloser
	// Length is the length in bytes, or -1 if that doesn't prove the end of the body.
	Length  int64
	framing Framing
	// events is nil if the body isn't a stream of events.
	events *eventScanner
}

// NewBody returns the body of a response that the standard library has parsed.
func NewBody(r *http.Response) *Body {
	b := &Body{ReadCloser: r.Body, Length: r.ContentLength, framing: Of(r)}
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err == nil && t == eventStream && r.Body != http.NoBody {
		b.events = newEventScanner()
		b.Length = -1
	}
	return b
}

// Read reads from the body. The end of a stream of events inside an event is
// io.ErrUnexpectedEOF, wrapped, whatever the framing says. So is the end of its connection before
// the first event.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.events == nil {
		return n, err
	}
	b.events.scan(p[:n])
	switch {
	case err != io.EOF:
		return n, err
	case b.events.insideEvent():
		return n, errInsideEvent
	case b.framing == Connection && b.events.count == 0:
		return n, errNoEvent
	}
	return n, err
}
