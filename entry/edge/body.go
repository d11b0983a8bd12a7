package edge

import (
	"context"
	"io"
	"net/http"
	"sync"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/wire"
)

// maxPrereadBodyBytes is the Content-Length up to which a body is read in full before its
// request starts. See openBody for larger bodies and those of unknown length.
const maxPrereadBodyBytes = 64 << 10

// readBufferBytes is the most that is read at once of a body that is forwarded while it arrives.
const readBufferBytes = 8 << 10

// requestBody is the body of a request to a plain service. It stays in memory until the request
// ends, so that a retry can send it again; the max-body setting of the route bounds it.
type requestBody struct {
	maxBytes int64

	mu sync.Mutex
	// cond is signalled when pieces, complete or err changes.
	cond   *sync.Cond
	pieces intake.Body
	// complete is true if pieces are the whole body.
	complete bool
	// err is the error that ended the reading early.
	err *fault.Error
}

// newRequestBody returns a body that begins with pieces that have already been
// read. If complete is true, they are the whole body.
func newRequestBody(maxBytes int64, pieces intake.Body, complete bool) *requestBody {
	b := &requestBody{maxBytes: maxBytes, pieces: pieces, complete: complete}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// readFrom reads the body while its request runs. It calls onError if a read fails, and reports whether none did.
func (b *requestBody) readFrom(r io.Reader, onError func()) (ok bool) {
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(chunk)
		b.mu.Lock()
		b.pieces = b.pieces.Append(chunk[:n])
		b.complete = err == io.EOF
		if err != nil && err != io.EOF {
			b.err = faultOfReadError(err)
		}
		b.cond.Broadcast()
		b.mu.Unlock()
		switch {
		case err == io.EOF:
			return true
		case err != nil:
			onError()
			return false
		}
	}
}

// readError returns the error that ended the reading early, or nil. Whether the request
// ran is unknown, because the upstream may have received part of the body. So an error that promises that it didn't is
// replaced.
func (b *requestBody) readError() *fault.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		return nil
	}
	err := *b.err
	if err.Code == fault.NoRoom || err.Code == fault.RequestTimeout {
		err.Code = fault.OutcomeUnknown
	}
	return err.WithRan(wire.Ran_RAN_UNKNOWN)
}

// nextChunk waits for data past offset, in bytes, and returns a part of it; last is true if the body ends there. ok is false
// if the context ended or reading the body failed.
func (b *requestBody) nextChunk(ctx context.Context, offset int) (chunk []byte, last, ok bool) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cond.Broadcast()
	})
	defer stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.pieces.Len() <= offset && !b.complete && b.err == nil && ctx.Err() == nil {
		b.cond.Wait()
	}
	if b.err != nil || ctx.Err() != nil {
		return nil, false, false
	}
	chunk = b.pieces.At(offset)
	return chunk, b.complete && offset+len(chunk) == b.pieces.Len(), true
}

// size returns the size of the body in bytes, from the Content-Length header if the body
// is incomplete, or -1 if it is unknown.
func (b *requestBody) size(q *http.Request) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return int64(b.pieces.Len())
	}
	return q.ContentLength
}
