package main

import (
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
	key  = "key-of-the-tenant"
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
		p, err := w.startEntry(i+1, true)
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

// startEntry starts the n-th entry with the settings of a small deployment. isFirst is true only while the whole system starts for
// the first time.
func (w *world) startEntry(n int, isFirst bool) (*process, error) {
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", w.ip(i+1)+":8367"))
	}
	ip := w.ip(n)
	settings := fmt.Sprintf(`
node-name: "front-%d"
role: "entry"
machine-class: "front"
serves: ["front", "control"]
ip: %q
zone: "zone-a"
region: "region"
zones: {zone-a: "region"}
listen: {front: "%s:8360", ready-addr: "%s:8365", control: "%s:8367"}
port-range: [7500, 7515]
seeds: [%s]
bootstrap: %t
limits: {cpu-share: 0.304, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
heartbeat-ms: %d
bounds:
  seed-lag-s: 3
  reuse-after-s: 2
  contact-ms: 3000
  drain-ms: 2000
  grace-s: 8
  config-apply-ms: 2000
  outer-ms: 5000
  revoke-strict: true
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  budget-min-retries: 52
  quota-window-s: 8
  quota-overage: 0.25
  quota-slack: 73000
  recover-s: 12
  lease-ms: 3000
provider: {address: %q, form: "read", reads-per-s: 2000, history-s: 20, value-bytes: 1048576}
`, n, ip, ip, ip, ip, strings.Join(seeds, ", "), isFirst, heartbeat.Milliseconds(), w.store.address)
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
