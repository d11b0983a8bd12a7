package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Ports of the programs; each has an address of its own.
const (
	callersPort = 8360
	readyPort   = 8365
	peersPort   = 8367
	appPort     = 8366
	ownPort     = 7500
	storePort   = 8361
)

// Host is the host name of all routes, key that of the customer.
const (
	host     = "ficu95.example"
	key      = "3d3zji9n73hh2b9wu3fe"
	customer = "huka270"
)

// Names of the services.
const (
	engines = "huvo11a"
	portal  = "wuno96b"
)

// heartbeat is the time between two writes of a runner to its entry.
const heartbeat = 1200 * time.Millisecond

// startTime bounds the time until all entries are ready.
const startTime = 20 * time.Second

// settleTime is the time from then until a case begins.
const settleTime = 3 * time.Second

// world is all that a case runs.
type world struct {
	record  *record
	dir     string
	net     string
	store   *store
	ledger  *ledger
	runners []*runner
	entries []*entry
	agents  []*proc
	closers []func()
	done    chan struct{}
	wait    sync.WaitGroup
	// bounds and limits are those of the settings file.
	bounds map[string]any
	limits map[string]any
}

// entry is an entry process and what the balancer knows of it.
type entry struct {
	*proc
	callers, ready string
	mu             sync.Mutex
	misses         int
}

// trouble reports whether the case is run with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func newWorld(folder string) (w *world, err error) {
	w = &world{done: make(chan struct{})}
	if w.record, err = newRecord(folder); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, w.record.close)
	w.ledger = &ledger{record: w.record, runs: map[string][]ran{}}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		w.closers = append(w.closers, func() { _ = os.RemoveAll(w.dir) })
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.net = freeNet()
	s, stop, err := newStore(w.address(250, storePort))
	if err != nil {
		return nil, err
	}
	w.store = s
	w.closers = append(w.closers, stop)
	return w, nil
}

// freeNet returns the first three bytes of loopback addresses at which nothing listens.
func freeNet() string {
	for {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", n, storePort))
		if err == nil {
			_ = l.Close()
			return n
		}
	}
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.net, host, port) }

// close ends all that was started.
func (w *world) close() {
	close(w.done)
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// start starts entries, and an agent beside each engine, and waits until all entries are ready.
func (w *world) start(entries int, config map[string]any) error {
	w.store.put(name("configuration"), config)
	var seeds []string
	for i := range min(3, entries) {
		seeds = append(seeds, w.address(1+i, peersPort))
	}
	for i := range entries {
		e := &entry{callers: w.address(1+i, callersPort), ready: w.address(1+i, readyPort)}
		f := w.settings(fmt.Sprintf("front-%d", 1+i), "entry", "front", 1+i, seeds)
		f["serves"] = []string{"front", "control"}
		f["listen"] = map[string]any{"front": e.callers, name("ready address"): e.ready, "control": w.address(1+i, peersPort)}
		p, err := w.startProc(fmt.Sprintf("front-%d", 1+i), []string{"entry", "-metrics-port", "9464"}, f)
		if err != nil {
			return err
		}
		e.proc = p
		w.entries = append(w.entries, e)
	}
	for i, r := range w.runners {
		if r.Phase == "" {
			continue
		}
		label := fmt.Sprintf("side-%d", 1+i)
		f := w.settings(label, "agent", "side", r.Host, seeds)
		f["app"], f["service"], f["serves"] = r.Address, r.Service, []string{"side"}
		p, err := w.startProc(label, []string{"agent", "-metrics-port", "9465"}, f)
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
	}
	w.goUntilDone(time.Second, w.checkReady)
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.allReady() {
			time.Sleep(settleTime)
			w.record.say("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries aren't ready")
}

// settings returns the settings file of a process.
func (w *world) settings(label, role, class string, host int, seeds []string) map[string]any {
	return map[string]any{
		name("node"): label, "role": role, "machine-class": class, "ip": fmt.Sprintf("%s.%d", w.net, host),
		name("place"): "dub-a", "region": "eu-dublin", name("places"): map[string]any{"dub-a": "eu-dublin"},
		"port-range": []int{ownPort, ownPort + 15}, "seeds": seeds, "bootstrap": true, "listen": map[string]any{},
		"limits": w.limits, "data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", name("customers"), "quota", "platform"},
		"fault-tolerance": map[string]any{"machines": 2, name("places"): 0, "regions": 0},
		"bounds":          w.bounds,
		"provider":        map[string]any{"address": w.store.address, "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000},
	}
}

// goUntilDone calls a function periodically until the case ends.
func (w *world) goUntilDone(every time.Duration, f func()) {
	go func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f()
			case <-w.done:
				return
			}
		}
	}()
}

var readyClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// checkReady asks all entries whether they are ready, as the platform does once a second.
func (w *world) checkReady() {
	for _, e := range w.entries {
		a, err := readyClient.Get("http://" + e.ready + "/readyz")
		ok := err == nil && a.StatusCode == http.StatusOK
		if err == nil {
			_ = a.Body.Close()
		}
		e.mu.Lock()
		if ok {
			if e.misses >= 2 {
				w.record.line("%s is in rotation again", e.name)
			}
			e.misses = 0
		} else if e.misses++; e.misses == 2 {
			w.record.line("%s is out of rotation", e.name)
		}
		e.mu.Unlock()
	}
}

func (w *world) allReady() bool {
	for _, e := range w.entries {
		a, err := readyClient.Get("http://" + e.ready + "/readyz")
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

// balance returns an entry for a new channel. If fewer than half are in rotation, all are used.
func (w *world) balance() *entry {
	var in []*entry
	for _, e := range w.entries {
		e.mu.Lock()
		if e.misses < 2 {
			in = append(in, e)
		}
		e.mu.Unlock()
	}
	if 2*len(in) < len(w.entries) {
		in = w.entries
	}
	return in[rand.IntN(len(in))]
}
