package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
)

// maxPrereadBodyBytes is the Content-Length up to which a body is read in full before its
// request starts. See openBody for larger bodies and those of unknown length.
const maxPrereadBodyBytes = 64 << 10

// requestBody is the body of a request to a plain service. It stays in memory until the request
// ends, so that a retry can send it again; the max-body setting of the route bounds it.
type requestBody struct {
	maxBytes int64

	mu sync.Mutex
	// cond is signalled when data, complete or err changes.
	cond *sync.Cond
	data []byte
	// complete is true if data is the whole body.
	complete bool
	// err is the error that ended the reading early.
	err *fault.Error
}

// newRequestBody returns a body that begins with the bytes of data, which have already been
// read. If complete is true, they are the whole body.
func newRequestBody(maxBytes int64, data []byte, complete bool) *requestBody {
	b := &requestBody{maxBytes: maxBytes, data: data, complete: complete}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// readFrom reads the body while its request runs. It calls onError if a read fails.
func (b *requestBody) readFrom(r io.Reader, onError func()) {
	chunk := make([]byte, bodyChunkBytes)
	for {
		n, err := r.Read(chunk)
		b.mu.Lock()
		b.data = append(b.data, chunk[:n]...)
		b.complete = err == io.EOF
		if err != nil && err != io.EOF {
			b.err = faultOfReadError(err)
		}
		b.cond.Broadcast()
		b.mu.Unlock()
		switch {
		case err == io.EOF:
			return
		case err != nil:
			onError()
			return
		}
	}
}

// faultOfReadError converts an error from reading a body to the error for the caller.
func faultOfReadError(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return fault.NotRun(fault.BadRequest, "the body broke off")
}

// readError returns the error that ended the reading early, or nil. Whether the request
// ran is unknown, because the upstream may have received part of the body.
func (b *requestBody) readError() *fault.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		return nil
	}
	return b.err.WithRan(wire.Ran_RAN_UNKNOWN)
}

// nextChunk waits for data past offset, in bytes, and returns at most bodyChunkBytes of
// it; last is true if the body ends there. ok is false if the context ended or reading
// the body failed.
func (b *requestBody) nextChunk(ctx context.Context, offset int) (chunk []byte, last, ok bool) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cond.Broadcast()
	})
	defer stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) <= offset && !b.complete && b.err == nil && ctx.Err() == nil {
		b.cond.Wait()
	}
	if b.err != nil || ctx.Err() != nil {
		return nil, false, false
	}
	end := min(len(b.data), offset+bodyChunkBytes)
	return b.data[offset:end], b.complete && end == len(b.data), true
}

// size returns the size of the body in bytes, from the Content-Length header if the body
// is incomplete, or -1 if it is unknown.
func (b *requestBody) size(q *http.Request) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return int64(len(b.data))
	}
	return q.ContentLength
}
