package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// rewriteTime is the time from the store's return to the operator's writing again.
	rewriteTime = 2 * time.Second
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 6500 * time.Millisecond
	// sendPause is the time between two requests of the client.
	sendPause = 15 * time.Millisecond
)

// playRestore takes a key away, and 6 seconds later lets the store come back from a copy that still has it, while a
// process is killed and starts again.
func playRestore(w *world) error {
	routes := []map[string]any{{
		"name": "r-menu", "host": host, "prefix": "/menu/", wire.Kind: "safe", "timeout-ms": 2000,
		"target-latency-ms": 300, "priority": 2, "service": "orders", "max-attempts": 2,
	}}
	services := []map[string]any{{"name": "orders", "health-path": "/healthz", "max-connections": 96}}
	workspace := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "workspace", wire.Keys: keys}}
	}
	w.configure(routes, services, workspace("key-kept", "key-revoked"))
	r := &runner{id: "i-one", service: "orders", version: "v1", slots: 30, work: 5 * time.Millisecond, address: w.address(101, runnerPort)}
	if err := w.startRunner(r); err != nil {
		return err
	}
	if err := w.startEntries(3, memoryMB); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	before := w.store.backup()
	time.Sleep(200 * time.Millisecond)
	confirmed := w.configure(routes, services, workspace("key-kept"))
	var wait sync.WaitGroup
	var mu sync.Mutex
	ran, late := make([]int, len(w.entries)), make([]int, len(w.entries))
	stop := confirmed.Add(copyAge + rewriteTime + 2*time.Second)
	wait.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			q := request{method: http.MethodGet, path: "/menu/today", id: fmt.Sprintf("q-%d", n), key: "key-revoked", timeout: 2 * time.Second}
			sent := time.Now()
			wait.Go(func() {
				e := n % len(w.entries)
				a := w.send(w.entries[e].clients(), q)
				if sent.Before(confirmed.Add(revokeTime)) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				late[e]++
				if r.timesRun(q.id) > 0 {
					ran[e]++
					w.add("%s was sent %v after the confirmation and ran: %s", q.id, sent.Sub(confirmed), a)
				}
			})
			time.Sleep(sendPause)
		}
	})
	time.Sleep(time.Until(confirmed.Add(copyAge - 200*time.Millisecond)))
	if w.trouble {
		w.entries[0].signal(syscall.SIGKILL)
		w.store.restore(before)
		w.add("store: back from a copy that is %v old", copyAge)
		time.Sleep(rewriteTime)
		w.rewrite(routes, services, workspace("key-kept"))
	}
	wait.Wait()
	total := 0
	for i, p := range w.entries {
		w.add("%s: %d of %d requests with a revoked key ran that were sent %v after the confirmation or later", p.name, ran[i], late[i], revokeTime)
		total += ran[i]
	}
	if total > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests with a revoked key ran", errBroken, total)
	}
	return nil
}
