package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
)

const (
	// bodyTimeout bounds the time in which a body must arrive that is read before the route of its request is known.
	bodyTimeout = time.Minute
	// maxDrainedBytes is the largest body that is read although its request was refused, to keep the connection.
	maxDrainedBytes = 64 << 10
	// promptCopies is how many times a prompt is in memory while its request runs: the prompt, and the messages to the agents of
	// both stages.
	promptCopies = 3
)

// withRoom refuses requests for which there is no room.
func (e *Edge) withRoom(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c := intake.FromContext(q.Context())
		if q.ContentLength != 0 {
			setBodyDeadline(w, time.Now().Add(bodyTimeout))
		}
		if !c.Begin() {
			e.refuseUnread(w, q, noRoomFault())
			return
		}
		if q.ContentLength == 0 {
			c.Arrived()
		}
		// A body that hasn't come by the end of a drain isn't awaited any longer.
		defer context.AfterFunc(e.cutOff, func() { setBodyDeadline(w, time.Now()) })()
		h.ServeHTTP(w, q)
	})
}

// setBodyDeadline bounds the time for reading the body of a request, which isn't empty. The server lifts the bound at the end
// of the body.
func setBodyDeadline(w http.ResponseWriter, t time.Time) {
	// An error means that the connection is closed, or that the writer is a test's.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// noRoomFault returns the fault for a request that this entry can't hold for now.
func noRoomFault() *fault.Error {
	return fault.NotRun(fault.NoRoom, "the entry holds as much for its callers as it may").WithRetryAt(time.Now().Add(intake.RetryAfter))
}

// refuseUnread answers a request with an error whose body may not have been read. The connection is closed if the body is large
// or can't be held. The server reads others, and keeps the connection.
func (e *Edge) refuseUnread(w http.ResponseWriter, q *http.Request, err *fault.Error) {
	if n := q.ContentLength; n > maxDrainedBytes || n < 0 && err.Code == fault.NoRoom {
		closeConnection(w, q)
	}
	e.writeError(w, err)
}

// closeConnection closes the connection of a request after the answer.
func closeConnection(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Connection", "close")
	intake.FromContext(q.Context()).Refuse()
}

// setOwner records whose request a connection carries. It reports whether the request may go on.
func (e *Edge) setOwner(w http.ResponseWriter, q *http.Request) bool {
	workspace, _, _ := e.settingsTree().Authenticate(keyHash(q))
	if intake.FromContext(q.Context()).SetOwner(workspace) {
		return true
	}
	closeConnection(w, q)
	e.writeError(w, noRoomFault())
	return false
}

// readBody reads a body of at most limit bytes, or as many as can be held.
func (e *Edge) readBody(w http.ResponseWriter, q *http.Request, limit int64) (intake.Body, *fault.Error) {
	limit = min(limit, e.intake.MaxBodyBytes())
	if q.ContentLength > limit {
		return nil, tooLargeFault(limit)
	}
	c := intake.FromContext(q.Context())
	b, err := c.ReadBody(http.MaxBytesReader(w, q.Body, limit), q.ContentLength)
	if err != nil && e.cutOff.Err() != nil {
		return nil, fault.NotRun(fault.Leaving, "the entry has stopped before the body came").WithRetryAt(time.Now().Add(intake.RetryAfter))
	}
	if err != nil {
		return nil, faultOfReadError(err)
	}
	c.Arrived()
	return b, nil
}

func tooLargeFault(limit int64) *fault.Error {
	return fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", limit)
}

// faultOfReadError converts an error from reading a body to the error for the caller.
func faultOfReadError(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return tooLargeFault(tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.NotRun(fault.RequestTimeout, "the body didn't come in time")
	case errors.Is(err, intake.ErrNoRoom):
		return noRoomFault()
	}
	return fault.NotRun(fault.BadRequest, "the body broke off")
}

// bodyReader reads the body of a request. If its length isn't known, it takes memory for what it reads.
type bodyReader struct {
	io.Reader
	conn        *intake.Conn
	knowsLength bool
}

// Read reads the next part of the body. The error is intake.ErrNoRoom if it can't be held.
func (r bodyReader) Read(b []byte) (int, error) {
	if r.knowsLength {
		n, err := r.Reader.Read(b)
		return n, r.conn.ReadError(err)
	}
	if !r.conn.Grow(int64(len(b))) {
		return 0, intake.ErrNoRoom
	}
	n, err := r.Reader.Read(b)
	r.conn.Shrink(int64(len(b) - n))
	return n, r.conn.ReadError(err)
}
