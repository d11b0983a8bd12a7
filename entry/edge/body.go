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

// smallBody is the size in bytes up to which a body is read before its request begins.
const smallBody = 64 << 10

// body is a request's body. It is kept until the request ends, so that another attempt
// can send it again; the route's max-body bounds its size.
type body struct {
	// limit is the largest size in bytes.
	limit int64

	mu   sync.Mutex
	cond *sync.Cond
	data []byte
	end  bool
	err  *fault.Error
}

func newBody(limit int64, data []byte, end bool) *body {
	b := &body{limit: limit, data: data, end: end}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// read takes in a body while its request runs, and calls failed if it breaks off.
func (b *body) read(r io.Reader, failed func()) {
	part := make([]byte, bodyPart)
	for {
		n, err := r.Read(part)
		b.mu.Lock()
		b.data = append(b.data, part[:n]...)
		b.end = err == io.EOF
		if err != nil && err != io.EOF {
			b.err = bodyError(err)
		}
		b.cond.Broadcast()
		b.mu.Unlock()
		switch {
		case err == io.EOF:
			return
		case err != nil:
			failed()
			return
		}
	}
}

func bodyError(err error) *fault.Error {
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", big.Limit)
	}
	return fault.NotRun(fault.BadRequest, "the body broke off")
}

// failure returns why the body broke off, or nil. The upstream may have had a part.
func (b *body) failure() *fault.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		return nil
	}
	return b.err.WithRan(wire.Ran_RAN_UNKNOWN)
}

// next waits for data after an offset and returns some of it, and whether it is the
// last. It returns false when the context ends or the body breaks off.
func (b *body) next(ctx context.Context, from int) (part []byte, last, ok bool) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cond.Broadcast()
	})
	defer stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) <= from && !b.end && b.err == nil && ctx.Err() == nil {
		b.cond.Wait()
	}
	if b.err != nil || ctx.Err() != nil {
		return nil, false, false
	}
	to := min(len(b.data), from+bodyPart)
	return b.data[from:to], b.end && to == len(b.data), true
}

// declared returns the size of the body in bytes, or -1 if it is not known yet.
func (b *body) declared(q *http.Request) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end {
		return int64(len(b.data))
	}
	return q.ContentLength
}
