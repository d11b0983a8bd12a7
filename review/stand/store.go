package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// pageSize is the largest number of items in an answer to a range request, and pageBytes about the largest size of their
// values.
const (
	pageSize  = 500
	pageBytes = 1 << 20
)

// storeItem is a key with its value, as an answer of the store shows it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// store is a stand-in of the platform's store, which serves reads.
type store struct {
	address string
	stop    func()

	mu       sync.Mutex
	items    map[string]storeItem
	revision uint64
	era      uint64
}

// storeCopy is what the store held at a time.
type storeCopy struct {
	items    map[string]storeItem
	revision uint64
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]storeItem{}, revision: 1, era: 1}
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	s.stop = func() { _ = h.Close() }
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := s.items[key]
	if i.Created == 0 {
		i.Created = s.revision
	}
	i.Key, i.Value, i.Revision = key, b, s.revision
	s.items[key] = i
}

// backup returns a copy of what the store holds.
func (s *store) backup() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.items), s.revision}
}

// restore lets the store go on from a copy, in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision = maps.Clone(c.items), c.revision
	s.era++
}

// ServeHTTP serves reads of a key and of a range of keys.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	v := q.URL.Query()
	switch q.URL.Path {
	case wire.ItemPath:
		i, ok := s.items[v.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, struct {
			storeItem
			AsOf uint64 `json:"as-of"`
		}{i, s.revision})
	case wire.ItemsPath:
		var l []storeItem
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(k, v.Get("prefix")) && k > v.Get("after") {
				l = append(l, s.items[k])
			}
		}
		n, size := 0, 0
		for n < len(l) && n < pageSize && (n == 0 || size+len(l[n].Value) <= pageBytes) {
			size += len(l[n].Value)
			n++
		}
		writeJSON(w, map[string]any{"items": l[:n], "has-more": n < len(l), "as-of": s.revision})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
