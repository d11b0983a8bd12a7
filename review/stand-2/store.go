package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// pageSize is the largest number of items in a page of a listing.
const pageSize = 500

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
	mu       sync.Mutex
	items    map[string]item
	revision uint64
	address  string
}

func newStore(address string) (*store, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, address: l.Addr().String()}
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	return s, func() { _ = h.Close() }, nil
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
	i, ok := s.items[key]
	if !ok {
		i = item{Key: key, Created: s.revision}
	}
	i.Value, i.Revision = b, s.revision
	s.items[key] = i
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case name("item path"):
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(struct {
			item
			AsOf uint64 `json:"as-of"`
		}{i, s.revision})
	case name("list path"):
		l := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				l = append(l, i)
			}
		}
		slices.SortFunc(l, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		n := min(pageSize, len(l))
		_ = json.NewEncoder(w).Encode(map[string]any{"items": l[:n], "has-more": n < len(l), "as-of": s.revision})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// number parses a decimal number; 0 if it is none.
func number(s string) int {
	n, _ := strconv.Atoi(strings.TrimSpace(s))
	return n
}
