package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Weights is a weight store: it gives out models at a limited rate over all readers.
type Weights struct {
	// rate is in bytes a second.
	rate int64
	size int64

	mu   sync.Mutex
	free time.Time
	read int64
}

// partBytes is the size of the parts in which a model is given out.
const partBytes = 64 << 10

// NewWeights returns a store whose models all have a size in bytes, and which gives out
// rate bytes a second.
func NewWeights(size, rate int64) *Weights {
	return &Weights{rate: rate, size: size}
}

// Read returns how many bytes were given out.
func (w *Weights) Read() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read
}

// Handler returns the HTTP interface: GET /v1/weights/MODEL.
func (w *Weights) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/weights/{model}", w.serve).Methods(http.MethodGet)
	return m
}

func (w *Weights) serve(out http.ResponseWriter, q *http.Request) {
	part := make([]byte, partBytes)
	for left := w.size; left > 0; left -= partBytes {
		p := part[:min(left, partBytes)]
		if !sleep(q.Context(), time.Until(w.turn(int64(len(p))))) {
			return
		}
		if _, err := out.Write(p); err != nil {
			return
		}
	}
}

// turn returns when some bytes may be given out.
func (w *Weights) turn(n int64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	at := w.free
	w.free = w.free.Add(rate(n, w.rate))
	w.read += n
	return at
}
