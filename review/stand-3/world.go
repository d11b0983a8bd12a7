package main

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// entryCount is the number of entries, each on a loopback address of its own.
	entryCount = 3
	// startTime is the longest time until all entries are ready.
	startTime = 15 * time.Second
	// heartbeat is the time between two writes of a runner to its registration.
	heartbeat = 1200 * time.Millisecond
	// host and key are those of all requests.
	host = "app.example"
	key  = "key-of-the-customer"
)

// world is what a case runs: the store, the entries and the runners.
type world struct {
	record  *record
	trouble bool
	program string
	dir     string
	// net is the first three numbers of all addresses.
	net     string
	store   *store
	entries []*process
	closers []func()
}

// newWorld starts the store. The world is never nil.
func newWorld(program string, trouble bool) (w *world, err error) {
	w = &world{
		record:  newRecord(),
		trouble: trouble,
		program: program,
		net:     fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	w.closers = append(w.closers, func() { _ = os.RemoveAll(w.dir) })
	s, stop, err := newStore(w.ip(200))
	if err != nil {
		return w, err
	}
	w.store = s
	w.closers = append(w.closers, stop)
	return w, nil
}

// close ends all that was started.
func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net, n) }

// startEntries starts the entries and waits until all are ready.
func (w *world) startEntries() error {
	for i := range entryCount {
		p, err := w.startEntry(i + 1)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.allReady() {
			return nil
		}
	}
	return fmt.Errorf("not all entries are ready within %v", startTime)
}

func (w *world) allReady() bool {
	c := &http.Client{Timeout: time.Second}
	for _, p := range w.entries {
		a, err := c.Get("http://" + p.ip + ":8365/readyz")
		if err != nil {
			return false
		}
		_ = a.Body.Close()
		if a.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// settingsFormat is that of an entry's settings, those of a small deployment.
//
//go:embed settings.txt
var settingsFormat string

// startEntry starts the n-th entry.
func (w *world) startEntry(n int) (*process, error) {
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", w.ip(i+1)+":8367"))
	}
	ip := w.ip(n)
	settings := fmt.Sprintf(settingsFormat, n, ip, ip, ip, ip, strings.Join(seeds, ", "), heartbeat.Milliseconds(), w.store.address)
	path := filepath.Join(w.dir, fmt.Sprintf("front-%d.yaml", n))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p, err := startProcess(ip, path, w.program, "entry", "-metrics-port", "9464")
	if err == nil {
		w.closers = append(w.closers, p.kill)
	}
	return p, err
}
