package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	revision uint64
	// isDown is true while all calls get 503.
	isDown bool
}

// newStore starts a store on a free port.
func newStore(ip string) (s *store, stop func(), err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, nil, err
	}
	s = &store{address: l.Addr().String(), items: map[string]item{}, revision: 1}
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	return s, func() { _ = h.Close() }, nil
}

// put writes a value, as JSON, under a key. It returns false while the store is down.
func (s *store) put(key string, value any) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = item{Key: key, Value: b, Revision: s.revision, Created: created}
	return true
}

// setDown sets whether all calls get 503.
func (s *store) setDown(d bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = d
}

// ServeHTTP answers reads of one key and of a range of keys.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", "0")
	q := r.URL.Query()
	switch {
	case s.isDown:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == name("item path"):
		s.serveKey(w, q.Get("key"))
	case r.URL.Path == name("list path"):
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		AsOf uint64 `json:"as-of"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	l := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": l, "has-more": false, "as-of": s.revision})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
