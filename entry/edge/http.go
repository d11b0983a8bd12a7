package edge

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/entry/oai"
	"github.com/gorilla/mux"
)

// Headers of the callers' interface.
const (
	requestIDHeader   = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
)

func (e *Edge) handler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, q *http.Request) {
		e.generate(w, q, true)
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", func(w http.ResponseWriter, q *http.Request) {
		e.generate(w, q, false)
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", e.models).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(e.forward)
	return m
}

func (e *Edge) tree() *tree.Tree {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.Tree()
}

func (e *Edge) models(w http.ResponseWriter, q *http.Request) {
	t := e.tree()
	if _, _, ok := t.Authenticate(keyHash(q)); !ok {
		e.refuse(w, fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn"))
		return
	}
	l := oai.ModelList{Object: "list", Data: []oai.Model{}}
	for _, n := range t.Models() {
		l.Data = append(l.Data, oai.Model{ID: n, Object: "model", OwnedBy: "cranberrypoint"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, *fault.Error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return nil, fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, fault.NotRun(fault.BadRequest, "the body broke off")
	}
	return b, nil
}

// authorized reports whether a request without a known route may be told more than
// that its key is wrong.
func (e *Edge) authorized(q *http.Request) bool {
	_, _, ok := e.tree().Authenticate(keyHash(q))
	return ok
}

func (e *Edge) generate(w http.ResponseWriter, q *http.Request, chat bool) {
	arrived := time.Now()
	t := e.tree()
	b, err := readBody(w, q, t.MaxBody())
	if err != nil {
		e.refuse(w, err)
		return
	}
	r, err := oai.Parse(b, chat)
	if err != nil {
		e.refuse(w, err)
		return
	}
	route, _ := t.RouteOfModel(r.Model)
	if v, ok := t.OfRoute(route); ok && int64(len(b)) > v.MaxBody {
		e.refuse(w, fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", v.MaxBody))
		return
	}
	p := r.PromptText()
	c := router.Call{
		KeyHash:      keyHash(q),
		Route:        route,
		Name:         newName(),
		Prompt:       []byte(p),
		PromptTokens: wire.Tokens(len(p)),
		MaxTokens:    r.MaxOutputTokens(),
	}
	a := &generated{w: w, request: r, chat: chat, arrived: arrived, metrics: e.metrics}
	e.serveCall(w, q, c, nil, a)
}

func (e *Edge) forward(w http.ResponseWriter, q *http.Request) {
	t := e.tree()
	route, ok := t.RouteOfPath(q.URL.Path)
	if !ok && !e.authorized(q) {
		e.refuse(w, fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn"))
		return
	}
	if !ok {
		e.refuse(w, fault.NotRun(fault.NoRoute, "no route serves %s", q.URL.Path))
		return
	}
	v, _ := t.OfRoute(route)
	b, digest, err := e.takeBody(w, q, v.MaxBody)
	if err != nil {
		e.refuse(w, err)
		return
	}
	key := presented(q)
	c := router.Call{
		KeyHash:        keyHash(q),
		Route:          route,
		Name:           newName(),
		IdempotencyKey: q.Header.Get(idempotencyHeader),
		Method:         q.Method,
		Path:           cleanPath(q, key),
		Headers:        cleanHeaders(q, key, b.declared(q)),
		Digest:         digest,
	}
	e.serveCall(w, q, c, b, &forwarded{w: w})
}

// takeBody reads a small body, or one whose content identifies the request; a larger one
// goes on to the upstream while it comes.
func (e *Edge) takeBody(w http.ResponseWriter, q *http.Request, limit int64) (b *body, content string, err *fault.Error) {
	if q.ContentLength > limit {
		return nil, "", fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", limit)
	}
	small := q.ContentLength >= 0 && q.ContentLength <= smallBody
	if !small && q.Header.Get(idempotencyHeader) == "" {
		return newBody(limit, nil, false), "", nil
	}
	data, err := readBody(w, q, limit)
	if err != nil {
		return nil, "", err
	}
	return newBody(limit, data, true), digest(q, data), nil
}

// stream reads the rest of a request's body while it is answered.
func (e *Edge) stream(w http.ResponseWriter, q *http.Request, s *sink) {
	if s.body == nil || s.body.end {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	r := http.MaxBytesReader(w, q.Body, s.body.limit)
	e.tasks.Go(func() { s.body.read(r, s.signal) })
}

// digest identifies the content of a request.
func digest(q *http.Request, b []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, q.Method+" "+q.URL.Path+"\n")
	_, _ = h.Write(b)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// answer writes the answer to one caller. Its methods return an error when the caller
// is gone.
type answer interface {
	head(name string, x router.Head) error
	data(name string, x router.Write) error
	// end finishes a whole answer, or one that failed after begun said true.
	end(name string, x router.Finish) error
	begun() bool
}

// serveCall runs a call and writes its answer.
func (e *Edge) serveCall(w http.ResponseWriter, q *http.Request, c router.Call, body *body, a answer) {
	id, s := e.begin(c, body)
	e.stream(w, q, s)
	name := c.Name
	for {
		for _, x := range s.take() {
			var err error
			switch x := x.(type) {
			case router.Accepted:
				name = x.Name
				w.Header().Set(requestIDHeader, name)
			case router.Head:
				err = a.head(name, x)
			case router.Write:
				if err = a.data(name, x); err == nil {
					e.step(router.Written{ID: id, Offset: x.Offset + int64(len(x.Data))})
				}
			case router.Finish:
				e.end(w, name, a, x)
				return
			}
			if err != nil {
				e.gone(id)
				return
			}
		}
		if err := e.broken(s); err != nil {
			e.gone(id)
			e.cut(w, a, err)
			return
		}
		select {
		case <-s.wake:
		case <-q.Context().Done():
			e.gone(id)
			return
		}
	}
}

// broken returns why a request's body broke off, or nil.
func (e *Edge) broken(s *sink) *fault.Error {
	if s.body == nil {
		return nil
	}
	return s.body.failure()
}

// cut ends the answer to a request that can't go on.
func (e *Edge) cut(w http.ResponseWriter, a answer, err *fault.Error) {
	if a.begun() {
		panic(http.ErrAbortHandler)
	}
	e.refuse(w, err)
}

func (e *Edge) begin(c router.Call, body *body) (router.RequestID, *sink) {
	s := newSink(body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	id := e.lastID
	e.sinks[id] = s
	e.apply(router.Arrived{ID: id, Call: c})
	return id, s
}

func (e *Edge) gone(id router.RequestID) {
	e.metrics.requests.WithLabelValues(string(fault.Cancelled), "").Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sinks, id)
	e.apply(router.CallerDisconnected{ID: id})
}

// end finishes the answer to a caller. An answer that broke off after its start is
// cut, so that the caller can't take it for a whole one.
func (e *Edge) end(w http.ResponseWriter, name string, a answer, x router.Finish) {
	if x.Err == nil {
		e.metrics.requests.WithLabelValues("ok", "yes").Inc()
		_ = a.end(name, x)
		return
	}
	if !a.begun() {
		e.refuse(w, x.Err)
		return
	}
	e.count(x.Err)
	_ = a.end(name, x)
	panic(http.ErrAbortHandler)
}

func (e *Edge) count(err *fault.Error) {
	e.metrics.requests.WithLabelValues(string(err.Code), fault.RanText(err.Ran)).Inc()
}

// refuse answers with an error.
func (e *Edge) refuse(w http.ResponseWriter, err *fault.Error) {
	e.count(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if h.Get(requestIDHeader) == "" {
		h.Set(requestIDHeader, newName())
	}
	if !err.Again.IsZero() {
		s := math.Ceil(time.Until(err.Again).Seconds())
		h.Set("Retry-After", strconv.Itoa(max(int(s), 1)))
	}
	w.WriteHeader(err.Code.Status())
	_ = json.NewEncoder(w).Encode(oai.NewErrorBody(err))
}
