package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// smallMemoryMB is the memory of a front machine of ard-review.
	smallMemoryMB = 134
	// largeBody is the largest body that the configuration allows.
	largeBody = 4194304
	// linkBytes is what the clients send together at most, in bytes a second: four fifths of the link of a front machine.
	linkBytes = 100_000_000
	// usualUploads is the number of clients that send large bodies at usual times, and burstUploads that in a burst of
	// 2.2 times as many.
	usualUploads = 10
	burstUploads = 22
	// smallClients is the number of clients that send small requests all the time.
	smallClients = 12
	// usualTime and burstTime are how long they send.
	usualTime = 5 * time.Second
	burstTime = 10 * time.Second
	// uploadTimeout is the time limit of clients and of the route.
	uploadTimeout = 4 * time.Second
	// maxLost is the number of requests that the rule allows.
	maxLost = 3
)

// playMemory lets many clients send large bodies at once to one entry. The platform kills a process whose memory is above
// its limit.
func playMemory(w *world) error {
	w.configure(
		[]map[string]any{{
			"name": "r-record", "host": host, "prefix": "/record/", wire.Kind: "unsafe", "timeout-ms": uploadTimeout.Milliseconds(),
			"target-latency-ms": 300, "priority": 2, "service": "portal", "max-attempts": 1,
		}},
		[]map[string]any{{"name": "portal", "health-path": "/healthz", "max-connections": 110}},
		[]map[string]any{{"name": "workspace", wire.Keys: []string{"key-1"}}},
	)
	u := &uploads{world: w}
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "portal", version: "v1", slots: 14, work: 100 * time.Millisecond, address: w.address(101+i, runnerPort)}
		if err := w.startRunner(r); err != nil {
			return err
		}
		u.runners = append(u.runners, r)
	}
	if err := w.startEntries(2, smallMemoryMB); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stopGuard := make(chan struct{})
	var guard sync.WaitGroup
	guard.Go(func() { u.guardMemory(w.entries[0], stopGuard) })
	stopSmall := time.Now().Add(usualTime + burstTime)
	var small sync.WaitGroup
	for range smallClients {
		small.Go(func() { u.sendUntil(stopSmall, []byte("small")) })
	}
	u.run(usualUploads, usualTime)
	w.add("%d clients at once: at most %d MB", usualUploads, u.resetPeak())
	if w.trouble {
		u.run(burstUploads, burstTime)
		w.add("%d clients at once: at most %d MB", burstUploads, u.resetPeak())
	} else {
		u.run(usualUploads, burstTime)
		w.add("%d clients at once: at most %d MB", usualUploads, u.resetPeak())
	}
	small.Wait()
	close(stopGuard)
	guard.Wait()
	w.add("%d answers; the platform has killed the process %d times; %d requests had run and their kept connections were closed without an answer", u.answered, u.kills, u.lost)
	switch {
	case u.lost > maxLost:
		return fmt.Errorf("%w: LOST: %d requests were passed on and their kept connections closed without an answer; the process was %d times over its memory", errBroken, u.lost, u.kills)
	case u.answered == 0:
		return fmt.Errorf("no request was answered")
	}
	return nil
}

// uploads counts what came of the clients' requests.
type uploads struct {
	*world
	runners []*runner

	mu       sync.Mutex
	next     int
	clients  int
	peak     int
	kills    int
	answered int
	lost     int
}

// guardMemory kills the process while its memory is above the limit, as the platform does.
func (u *uploads) guardMemory(p *process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		pid := p.pid()
		mb := anonymousMB(pid)
		u.mu.Lock()
		u.peak = max(u.peak, mb)
		u.mu.Unlock()
		if mb <= smallMemoryMB {
			continue
		}
		u.add("platform: %s uses %d MB of %d", p.name, mb, smallMemoryMB)
		p.signal(syscall.SIGKILL)
		u.mu.Lock()
		u.kills++
		u.mu.Unlock()
		time.Sleep(restartPause)
	}
}

// anonymousMB returns the memory of a process that isn't backed by a file.
func anonymousMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb / 1024
		}
	}
	return 0
}

func (u *uploads) resetPeak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.peak
	u.peak = 0
	return n
}

// run lets some clients send for a time.
func (u *uploads) run(clients int, d time.Duration) {
	u.mu.Lock()
	u.clients = clients
	u.mu.Unlock()
	stop := time.Now().Add(d)
	var wait sync.WaitGroup
	body := make([]byte, largeBody)
	for range clients {
		wait.Go(func() { u.sendUntil(stop, body) })
	}
	wait.Wait()
}

// sendUntil sends requests with a body up to a time.
func (u *uploads) sendUntil(stop time.Time, body []byte) {
	for time.Now().Before(stop) {
		if !u.useConnection(stop, body) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// useConnection sends requests on one connection until it is closed. It returns false if there was none to be had.
func (u *uploads) useConnection(stop time.Time, body []byte) bool {
	c, err := openConnection(u.entries[0].clients())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	for n := 0; time.Now().Before(stop); n++ {
		u.mu.Lock()
		u.next++
		q := request{method: http.MethodPost, path: "/record/x", id: fmt.Sprintf("u-%d", u.next), key: "key-1", body: body, timeout: uploadTimeout}
		u.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(q.timeout))
		_, err := io.WriteString(c, q.head())
		if err == nil {
			err = c.writePaced(q.body, u.pace())
		}
		a := answer{err: err}
		if err == nil {
			a = c.read(q, time.Now().Add(q.timeout))
		}
		ran := u.hasRun(q.id)
		u.add("client: %s (%d bytes), request %d on its connection, ran %t: %s", q.id, len(body), n, ran, a)
		u.mu.Lock()
		switch {
		case a.status != 0 && a.complete:
			u.answered++
		case n > 0 && ran && a.isClosed():
			u.lost++
		}
		u.mu.Unlock()
		if a.status == 0 || !a.complete || a.header.Get("Connection") == "close" {
			return true
		}
	}
	return true
}

// writePaced writes a body at a rate in bytes a second.
func (c *connection) writePaced(body []byte, perSecond int) error {
	const piece = 32 << 10
	began := time.Now()
	for at := 0; at < len(body); at += piece {
		if _, err := c.Write(body[at:min(len(body), at+piece)]); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(at) / float64(perSecond) * float64(time.Second)))))
	}
	return nil
}

// pace returns the part of the link that one of the clients has which send large bodies, in bytes a second.
func (u *uploads) pace() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return linkBytes / max(1, u.clients)
}

// hasRun reports whether a request ran.
func (u *uploads) hasRun(id string) bool {
	for _, r := range u.runners {
		if r.timesRun(id) > 0 {
			return true
		}
	}
	return false
}
