package stand

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/coord/wire"
	"github.com/gorilla/mux"
)

// EngineProfile describes the speed and size of an engine.
type EngineProfile struct {
	// Slots is the number of requests that decode at once.
	Slots int
	// PrefillRate is in uncached prompt tokens a second.
	PrefillRate int64
	// TokenPeriod is the time between two tokens of one answer.
	TokenPeriod time.Duration
	// LinkRate is the speed of KV transfers in tokens a second.
	LinkRate int64
	// Survival is how long an exported KV cache is kept.
	Survival time.Duration
	// BlockTokens is the size of a piece of engine memory.
	BlockTokens int64
	// CacheBlocks is the number of prefix blocks that the cache keeps.
	CacheBlocks int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// Fences refuses orders with an old fencing number.
	Fences bool
	// Weights is the base URL of the weight store; empty loads models at once.
	Weights string
}

// DefaultEngine is a small engine of the brief.
var DefaultEngine = EngineProfile{
	Slots:       20,
	PrefillRate: 40_000,
	TokenPeriod: 15 * time.Millisecond,
	LinkRate:    400_000,
	Survival:    800 * time.Millisecond,
	BlockTokens: 2000,
	CacheBlocks: 64,
	LoadLag:     500 * time.Millisecond,
	Fences:      true,
}

// Engine is a prefill and decode engine.
type Engine struct {
	profile EngineProfile
	turn    chan struct{}
	client  *http.Client

	mu       sync.Mutex
	exports  map[string]*export
	imports  map[string]int64
	decoding map[string]context.CancelFunc
	waiting  map[string]context.CancelFunc
	cache    *cache
	fence    uint64
	models   map[string]bool
	serial   uint64
	counts   EngineCounts
	load     EngineLoad
	loadAt   time.Time
	// script answers calls in place of the engine; nil for none.
	script Script
}

// EngineCounts are totals over an engine's life.
type EngineCounts struct {
	Prefilled int64 `json:"prefilled"`
	// Wasted counts prefilled tokens whose KV cache was never imported.
	Wasted    int64 `json:"wasted"`
	Generated int64 `json:"generated"`
	Orders    int64 `json:"orders"`
}

// EngineLoad is an engine's lagging report.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// NewEngine returns an idle engine.
func NewEngine(p EngineProfile) *Engine {
	return &Engine{
		profile:  p,
		turn:     make(chan struct{}, 1),
		client:   &http.Client{},
		exports:  map[string]*export{},
		imports:  map[string]int64{},
		decoding: map[string]context.CancelFunc{},
		waiting:  map[string]context.CancelFunc{},
		cache:    newCache(p.CacheBlocks, p.BlockTokens),
		models:   map[string]bool{},
	}
}

// Counts returns the totals.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Models returns the models that are loaded, in order.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.models))
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/prefill", e.prefill).Methods(http.MethodPost)
	m.HandleFunc("/v1/kv/import", e.importKV).Methods(http.MethodPost)
	m.HandleFunc("/v1/kv/export", e.exportKV).Methods(http.MethodPost)
	m.HandleFunc("/v1/decode", e.decode).Methods(http.MethodPost)
	m.HandleFunc("/v1/cancel", e.cancel).Methods(http.MethodPost)
	m.HandleFunc("/v1/orders", e.orders).Methods(http.MethodPost)
	m.HandleFunc("/v1/events", e.cacheEvents).Methods(http.MethodGet)
	m.HandleFunc("/v1/held", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Held()) })
	m.HandleFunc("/v1/load", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.lagging()) })
	m.HandleFunc("/control/models", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Models()) })
	m.HandleFunc("/control/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Counts()) })
	return e.scripted(m)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func accept[T any](w http.ResponseWriter, q *http.Request) (v T, ok bool) {
	if err := json.NewDecoder(q.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

// Held lists the requests that hold memory.
func (e *Engine) Held() engine.Allocations {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := engine.Allocations{Requests: []string{}}
	for n, t := range e.imports {
		h.Requests = append(h.Requests, n)
		h.Tokens += t
	}
	return h
}

// lagging returns a load report that is up to LoadLag old.
func (e *Engine) lagging() EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.loadAt) >= e.profile.LoadLag {
		e.loadAt = now
		e.load = EngineLoad{Running: len(e.decoding), Waiting: len(e.waiting)}
	}
	return e.load
}

// cached returns the tokens of a prompt that the cache holds, and adds the prompt.
func (e *Engine) cached(prompt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.use(time.Now(), prompt)
}

func (e *Engine) prefill(w http.ResponseWriter, q *http.Request) {
	p, ok := accept[engine.Prefill](w, q)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	e.mu.Lock()
	e.waiting[p.Request] = cancel
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.waiting, p.Request)
	}()
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	defer func() { <-e.turn }()
	tokens := wire.Tokens(len(p.Prompt)) + p.SkipTokens
	hit := e.cached(p.Prompt)
	if !sleep(ctx, rate(tokens-hit, e.profile.PrefillRate)) {
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	reply(w, engine.PrefillResult{Handle: e.keep(p.Request, tokens), PromptTokens: tokens - p.SkipTokens, CachedTokens: hit})
}

func rate(n, perSecond int64) time.Duration {
	return time.Duration(float64(n) / float64(perSecond) * float64(time.Second))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) decode(w http.ResponseWriter, q *http.Request) {
	d, ok := accept[engine.Decode](w, q)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	if status, text := e.begin(d.Request, cancel); status != 0 {
		http.Error(w, text, status)
		return
	}
	defer e.free(d.Request)
	t := time.NewTicker(e.profile.TokenPeriod)
	defer t.Stop()
	out := json.NewEncoder(w)
	c := http.NewResponseController(w)
	for i := d.SkipTokens; i < d.MaxTokens; i++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		_ = out.Encode(engine.Token{Text: Word(d.Prompt, i)})
		if c.Flush() != nil {
			return
		}
		e.mu.Lock()
		e.counts.Generated++
		e.mu.Unlock()
	}
	_ = out.Encode(engine.Token{End: true})
}

func (e *Engine) begin(request string, cancel context.CancelFunc) (status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.imports[request]; !ok {
		return http.StatusConflict, "the request has no KV cache"
	}
	if len(e.decoding) >= e.profile.Slots {
		return http.StatusTooManyRequests, "all slots are taken"
	}
	e.decoding[request] = cancel
	return 0, ""
}

// free drops what is held for a request.
func (e *Engine) free(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.decoding[request]; c != nil {
		c()
	}
	if c := e.waiting[request]; c != nil {
		c()
	}
	delete(e.decoding, request)
	delete(e.imports, request)
	for h, x := range e.exports {
		if x.request == request && x.timer.Stop() {
			e.counts.Wasted += x.tokens
			delete(e.exports, h)
		}
	}
}

func (e *Engine) cancel(w http.ResponseWriter, q *http.Request) {
	n, ok := accept[engine.Cancel](w, q)
	if !ok {
		return
	}
	e.free(n.Request)
	reply(w, struct{}{})
}

// fetch reads a model's weights from the weight store.
func (e *Engine) fetch(ctx context.Context, model string) bool {
	if e.profile.Weights == "" {
		return true
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, e.profile.Weights+"/v1/weights/"+model, nil)
	if err != nil {
		return false
	}
	a, err := e.client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == http.StatusOK
}

func (e *Engine) orders(w http.ResponseWriter, q *http.Request) {
	o, ok := accept[engine.Order](w, q)
	if !ok {
		return
	}
	if o.Load && !e.fetch(q.Context(), o.Model) {
		http.Error(w, "the weights can't be read", http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.profile.Fences && o.FencingToken < e.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, engine.StaleOrder{NewestFencingToken: e.fence})
		return
	}
	e.fence = max(e.fence, o.FencingToken)
	e.counts.Orders++
	if o.Load {
		e.models[o.Model] = true
	} else {
		delete(e.models, o.Model)
	}
	reply(w, struct{}{})
}
