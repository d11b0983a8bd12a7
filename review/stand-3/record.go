package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, in the order in which it was noted.
type record struct {
	mu      sync.Mutex
	began   time.Time
	entries []string
}

func newRecord() *record { return &record{began: time.Now()} }

// add notes an event.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, fmt.Sprintf("%9.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the record to a file, with the verdict at its end.
func (r *record) write(path string, v verdict) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(append(r.entries, v.text), "\n")+"\n"), 0o644)
}
