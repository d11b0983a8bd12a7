package edge

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/entry/oai"
	"github.com/gorilla/mux"
)

// Headers of the HTTP interface for callers. The request ID in the header is the request's
// name (router.Call.Name); a router.RequestID is a number that stays within the process.
const (
	requestIDHeader   = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
)

// handler returns the handler of the HTTP server for callers.
func (e *Edge) handler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, q *http.Request) {
		e.handleCompletion(w, q, true)
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", func(w http.ResponseWriter, q *http.Request) {
		e.handleCompletion(w, q, false)
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", e.handleModels).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(e.handlePlain)
	return m
}

// settingsTree returns the platform's settings in force. The settings of this process, which
// its flags set, are in e.settings.
func (e *Edge) settingsTree() *tree.Tree {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.Tree()
}

// handleModels lists the models that have a route.
func (e *Edge) handleModels(w http.ResponseWriter, q *http.Request) {
	t := e.settingsTree()
	if _, _, ok := t.Authenticate(keyHash(q)); !ok {
		e.writeError(w, fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn"))
		return
	}
	l := oai.ModelList{Object: "list", Data: []oai.Model{}}
	for _, n := range t.Models() {
		l.Data = append(l.Data, oai.Model{ID: n, Object: "model", OwnedBy: "cranberrypoint"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// isAuthenticated reports whether a request has a valid key. handlePlain asks this before it
// answers that there is no route, so that only callers with a key learn which routes exist.
func (e *Edge) isAuthenticated(q *http.Request) bool {
	_, _, ok := e.settingsTree().Authenticate(keyHash(q))
	return ok
}

// handleCompletion answers a chat completion, or a text completion if isChat is false.
func (e *Edge) handleCompletion(w http.ResponseWriter, q *http.Request, isChat bool) {
	arrived := time.Now()
	if !e.setOwner(w, q) {
		return
	}
	c, r, err := e.readCompletion(w, q, isChat)
	if err != nil {
		e.refuseUnread(w, q, err)
		return
	}
	e.serveCall(w, q, c, nil, &completionWriter{w: w, conn: intake.FromContext(q.Context()), request: r, isChat: isChat, arrived: arrived, metrics: e.metrics})
}

// readCompletion reads a request for a completion. The request that it returns has no prompt: the call has it.
func (e *Edge) readCompletion(w http.ResponseWriter, q *http.Request, isChat bool) (c router.Call, r *oai.Request, err *fault.Error) {
	t := e.settingsTree()
	pieces, err := e.readBody(w, q, t.MaxBody())
	if err != nil {
		return c, nil, err
	}
	conn := intake.FromContext(q.Context())
	size := int64(pieces.Len())
	if !conn.Grow(oai.ParseFactor * size) {
		return c, nil, noRoomFault()
	}
	b := pieces.Join()
	pieces = nil
	if r, err = oai.Parse(b, isChat); err != nil {
		return c, nil, err
	}
	route, _ := t.RouteOfModel(r.Model)
	if v, ok := t.RouteValues(route); ok && size > v.MaxBody {
		return c, nil, tooLargeFault(v.MaxBody)
	}
	c = router.Call{
		KeyHash:      keyHash(q),
		Route:        route,
		Name:         newRequestName(),
		Prompt:       r.Prompt,
		PromptTokens: wire.Tokens(len(r.Prompt)),
		MaxTokens:    r.MaxOutputTokens,
	}
	c.PoisonKeys = poison.Keys(poison.Fingerprint(c.KeyHash, q.Method, "", q.URL.Path, b), r.Parts)
	r.Prompt = nil
	conn.Shrink((1+oai.ParseFactor)*size - promptCopies*int64(len(c.Prompt)))
	return c, r, nil
}

// handlePlain forwards a request to the plain service of its route.
func (e *Edge) handlePlain(w http.ResponseWriter, q *http.Request) {
	if !e.setOwner(w, q) {
		return
	}
	t := e.settingsTree()
	route, ok := t.RouteOfPath(q.URL.Path)
	if !ok && !e.isAuthenticated(q) {
		e.refuseUnread(w, q, fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn"))
		return
	}
	if !ok {
		e.refuseUnread(w, q, fault.NotRun(fault.NoRoute, "no route serves %s", q.URL.Path))
		return
	}
	v, _ := t.RouteValues(route)
	if q.ContentLength != 0 {
		setBodyDeadline(w, time.Now().Add(v.Timeout))
	}
	b, digest, err := e.openBody(w, q, v.MaxBody)
	if err != nil {
		e.refuseUnread(w, q, err)
		return
	}
	key := bearerKey(q)
	c := router.Call{
		KeyHash:        keyHash(q),
		Route:          route,
		Name:           newRequestName(),
		IdempotencyKey: q.Header.Get(idempotencyHeader),
		Method:         q.Method,
		Path:           upstreamPath(q, key),
		Headers:        upstreamHeaders(q, key, b.size(q)),
		Digest:         digest,
	}
	if b.complete {
		c.PoisonKeys = poison.Keys(poison.Fingerprint(c.KeyHash, c.Method, "", c.Path, b.pieces...), nil)
	}
	e.serveCall(w, q, c, b, &plainWriter{w: w})
}

// openBody reads the body of a request in full if it is small or the request has an
// idempotency key, because the digest of such a request covers the whole body. Any other
// body is returned empty, to be forwarded while it arrives.
func (e *Edge) openBody(w http.ResponseWriter, q *http.Request, limit int64) (b *requestBody, digest string, err *fault.Error) {
	limit = min(limit, e.intake.MaxBodyBytes())
	if q.ContentLength > limit {
		return nil, "", tooLargeFault(limit)
	}
	small := q.ContentLength >= 0 && q.ContentLength <= maxPrereadBodyBytes
	if !small && q.Header.Get(idempotencyHeader) == "" {
		if q.ContentLength > 0 && !intake.FromContext(q.Context()).Grow(q.ContentLength) {
			return nil, "", noRoomFault()
		}
		return newRequestBody(limit, nil, false), "", nil
	}
	data, err := e.readBody(w, q, limit)
	if err != nil {
		return nil, "", err
	}
	return newRequestBody(limit, data, true), contentDigest(q, data), nil
}

// startReadingBody starts a goroutine that reads a body into s.body, unless openBody has
// read it. It enables full duplex, because the answer may be written before the body ends.
func (e *Edge) startReadingBody(w http.ResponseWriter, q *http.Request, s *effectQueue) {
	if s.body == nil || s.body.complete {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	c := intake.FromContext(q.Context())
	r := bodyReader{http.MaxBytesReader(w, q.Body, s.body.maxBytes), c, q.ContentLength >= 0}
	e.tasks.Go(func() {
		if s.body.readFrom(r, s.signal) {
			c.Arrived()
		}
	})
}

// contentDigest returns the first 16 bytes, in hex, of the SHA-256 hash of the method, the
// path and the body.
func contentDigest(q *http.Request, b intake.Body) string {
	h := sha256.New()
	_, _ = io.WriteString(h, q.Method+" "+q.URL.Path+"\n")
	for _, p := range b {
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// answerWriter writes the answer to one request. The parameter name is the request's name,
// which a completion has as its ID. The methods return an error if the caller has
// disconnected.
type answerWriter interface {
	writeHead(name string, x router.Head) error
	writeData(name string, x router.Write) error
	// finish ends an answer that is complete, or one that failed after it had started.
	finish(name string, x router.Finish) error
	// hasStarted reports whether part of the answer was written.
	hasStarted() bool
}

// serveCall hands a call to the router and writes its answer. It returns when the answer
// is finished or the body can't be read. If the caller has disconnected, it aborts the
// connection: the caller may have closed only its sending side, and would take what it has for
// the whole answer, or an empty one. The name in the answer is that of router.Accepted: a request that repeats an idempotency key may get the name of
// an earlier one instead of c.Name.
func (e *Edge) serveCall(w http.ResponseWriter, q *http.Request, c router.Call, body *requestBody, a answerWriter) {
	if v, ok := e.settingsTree().RouteValues(c.Route); ok {
		limitWrites(w, time.Now().Add(v.Timeout))
	}
	id, s := e.startRequest(c, body)
	e.startReadingBody(w, q, s)
	name := c.Name
	for {
		for _, x := range s.takeAll() {
			var err error
			switch x := x.(type) {
			case router.Accepted:
				name = x.Name
				w.Header().Set(requestIDHeader, name)
			case router.Head:
				err = a.writeHead(name, x)
			case router.Write:
				if err = a.writeData(name, x); err == nil {
					e.step(router.Written{ID: id, Offset: x.Offset + int64(len(x.Data))})
				}
			case router.Finish:
				e.finishAnswer(w, name, a, x)
				if x.Err == nil {
					intake.FromContext(q.Context()).SetServed()
				}
				return
			}
			if err != nil {
				e.dropRequest(id)
				panic(http.ErrAbortHandler)
			}
		}
		if err := e.bodyError(s); err != nil {
			e.dropRequest(id)
			e.failAnswer(w, q, a, err)
			return
		}
		select {
		case <-s.wake:
		case <-q.Context().Done():
			e.dropRequest(id)
			panic(http.ErrAbortHandler)
		}
	}
}

// slowCallerGrace is how long after the deadline of a request the end of its answer may still be on its way to a
// caller on a slow link.
const slowCallerGrace = 3 * time.Second

// limitWrites bounds the time for writing the answer to a caller who doesn't read it. A request that is to be answered
// at deadline would otherwise hold its goroutine, its memory and the end of a drain for ever.
func limitWrites(w http.ResponseWriter, deadline time.Time) {
	// An error means that the connection is closed, or that the writer is a test's.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(slowCallerGrace))
}

// bodyError returns the readError of the request's body, or nil if the request has none.
func (e *Edge) bodyError(s *effectQueue) *fault.Error {
	if s.body == nil {
		return nil
	}
	return s.body.readError()
}

// failAnswer answers with an error, or aborts the connection if the answer has started.
func (e *Edge) failAnswer(w http.ResponseWriter, q *http.Request, a answerWriter, err *fault.Error) {
	if a.hasStarted() {
		panic(http.ErrAbortHandler)
	}
	closeConnection(w, q)
	e.writeError(w, err)
}

// startRequest hands a new request to the router and returns its ID and the queue of its
// effects.
func (e *Edge) startRequest(c router.Call, body *requestBody) (router.RequestID, *effectQueue) {
	s := newEffectQueue(body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	id := e.lastID
	e.queues[id] = s
	e.apply(router.Arrived{ID: id, Call: c})
	return id, s
}

// dropRequest removes the queue of a request whose caller has disconnected or whose body
// can't be read, and has the router end the request. It doesn't close the connection.
func (e *Edge) dropRequest(id router.RequestID) {
	e.metrics.requests.WithLabelValues(string(fault.Cancelled), "").Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queues, id)
	e.apply(router.CallerDisconnected{ID: id})
}

// finishAnswer ends the answer to a caller. If the request failed after the answer had
// started, it aborts the connection, so that the caller can't mistake the answer for a
// complete one.
func (e *Edge) finishAnswer(w http.ResponseWriter, name string, a answerWriter, x router.Finish) {
	if x.Err == nil {
		e.metrics.requests.WithLabelValues("ok", "yes").Inc()
		_ = a.finish(name, x)
		return
	}
	if !a.hasStarted() {
		e.writeError(w, x.Err)
		return
	}
	e.countError(x.Err)
	_ = a.finish(name, x)
	panic(http.ErrAbortHandler)
}

// countError counts a failed request.
func (e *Edge) countError(err *fault.Error) {
	e.metrics.requests.WithLabelValues(string(err.Code), fault.RanText(err.Ran)).Inc()
}

// writeError answers a request with an error and counts it.
func (e *Edge) writeError(w http.ResponseWriter, err *fault.Error) {
	e.countError(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if h.Get(requestIDHeader) == "" {
		h.Set(requestIDHeader, newRequestName())
	}
	if !err.RetryAt.IsZero() {
		s := math.Ceil(time.Until(err.RetryAt).Seconds())
		h.Set("Retry-After", strconv.Itoa(max(int(s), 1)))
	}
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(oai.NewErrorBody(err))
}
