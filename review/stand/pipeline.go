package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// pipelineClients is the number of clients of each kind.
	pipelineClients = 8
	// slowPath is that of requests whose work takes slowWork.
	slowPath = "/menu/slow"
	slowWork = 4500 * time.Millisecond
)

// playPipeline stops an entry by SIGTERM while clients wait for the second of two requests that they have sent at once.
func playPipeline(w *world) error {
	w.configure(
		[]map[string]any{{
			"name": "r-menu", "host": host, "prefix": "/menu/", wire.Kind: "safe", "timeout-ms": 8000,
			"target-latency-ms": 300, "priority": 2, "service": "orders", "max-attempts": 1,
		}},
		[]map[string]any{{"name": "orders", "health-path": "/healthz", "max-connections": 96}},
		[]map[string]any{{"name": "workspace", wire.Keys: []string{"key-1"}}},
	)
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "orders", version: "v1", slots: 40, work: 20 * time.Millisecond, address: w.address(101+i, runnerPort)}
		if err := w.startRunner(r); err != nil {
			return err
		}
	}
	if err := w.startEntries(2, memoryMB); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	first := sync.WaitGroup{}
	first.Add(2 * pipelineClients)
	var wait sync.WaitGroup
	answers := make([]answer, 2*pipelineClients)
	for i := range answers {
		wait.Go(func() { answers[i] = w.sendTwo(i, i < pipelineClients, first.Done) })
	}
	first.Wait()
	if w.trouble {
		w.entries[0].signal(syscall.SIGTERM)
	}
	wait.Wait()
	var lost [2]int
	for i, a := range answers {
		if a.status == 0 || !a.complete {
			lost[i/pipelineClients]++
		}
	}
	w.add("lost: %d of %d requests that were sent together with the one before, %d of %d others", lost[0], pipelineClients, lost[1], pipelineClients)
	if lost[0]+lost[1] > 0 {
		return fmt.Errorf("%w: LOST: %d requests that were read and passed on got no answer", errBroken, lost[0]+lost[1])
	}
	return nil
}

// sendTwo sends a short request and a long one on a connection, both at once or the second after the answer to the first, and
// returns the answer to the second. It calls begun once the first was answered and the second sent.
func (w *world) sendTwo(number int, atOnce bool, begun func()) (a answer) {
	short := request{method: http.MethodGet, path: "/menu/short", id: fmt.Sprintf("p-%d-short", number), key: "key-1", timeout: 8 * time.Second}
	long := short
	long.path, long.id = slowPath, fmt.Sprintf("p-%d-long", number)
	c, err := openConnection(w.entries[0].clients())
	if err != nil {
		begun()
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	until := time.Now().Add(short.timeout)
	if atOnce {
		w.add("client: sends %s and %s at once", short.id, long.id)
		_, _ = io.WriteString(c, short.head()+long.head())
		w.add("client: %s: %s", short.id, c.read(short, until))
	} else {
		w.add("client: sends %s", short.id)
		_, _ = io.WriteString(c, short.head())
		w.add("client: %s: %s", short.id, c.read(short, until))
		w.add("client: sends %s", long.id)
		_, _ = io.WriteString(c, long.head())
	}
	time.Sleep(200 * time.Millisecond)
	begun()
	a = c.read(long, until)
	w.add("client: %s: %s", long.id, a)
	return a
}
