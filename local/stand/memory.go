package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cranberrypoint.example/agent/engine"
)

// export is a prefilled KV cache that waits for its import.
type export struct {
	request string
	tokens  int64
	timer   *time.Timer
}

// keep holds a KV cache for export until it is fetched or too old.
func (e *Engine) keep(request string, tokens int64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serial++
	e.counts.Prefilled += tokens
	h := fmt.Sprintf("kv-%d", e.serial)
	x := &export{request: request, tokens: tokens}
	x.timer = time.AfterFunc(e.profile.Survival, func() { e.drop(h) })
	e.exports[h] = x
	return h
}

func (e *Engine) drop(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.exports[handle]; x != nil {
		e.counts.Wasted += x.tokens
		delete(e.exports, handle)
	}
}

// handle names an exported KV cache.
type handle struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

func (e *Engine) exportKV(w http.ResponseWriter, q *http.Request) {
	h, ok := accept[handle](w, q)
	if !ok {
		return
	}
	e.mu.Lock()
	x := e.exports[h.Handle]
	delete(e.exports, h.Handle)
	e.mu.Unlock()
	if x == nil || !x.timer.Stop() {
		http.Error(w, "the KV cache is gone", http.StatusGone)
		return
	}
	if !sleep(q.Context(), rate(x.tokens, e.profile.LinkRate)) {
		return
	}
	reply(w, handle{h.Handle, x.tokens})
}

func (e *Engine) importKV(w http.ResponseWriter, q *http.Request) {
	i, ok := accept[engine.Import](w, q)
	if !ok {
		return
	}
	b, _ := json.Marshal(handle{Handle: i.Handle})
	f, err := http.NewRequestWithContext(q.Context(), http.MethodPost, i.Source+"/v1/kv/export", bytes.NewReader(b))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := e.client.Do(f)
	if err != nil {
		http.Error(w, "the transfer failed", http.StatusBadGateway)
		return
	}
	defer func() { _ = a.Body.Close() }()
	var h handle
	if a.StatusCode != http.StatusOK || json.NewDecoder(a.Body).Decode(&h) != nil {
		http.Error(w, "the KV cache is gone", http.StatusGone)
		return
	}
	e.mu.Lock()
	e.imports[i.Request] = h.Tokens
	e.mu.Unlock()
	reply(w, struct{}{})
}
