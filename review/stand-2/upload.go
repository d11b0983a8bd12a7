package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = upload }

// upload stops an entry by SIGTERM while clients on slow links send requests on channels that they have kept: the first bytes
// come before the balancer's time is over, the last ones after it. A request that is sent so late must not be begun and cut off.
func upload(w *world) int {
	const (
		slots      = 12
		memory     = 86766
		clients    = 16
		stopAt     = 4 * time.Second
		sendAfter  = 2700 * time.Millisecond
		uploadTime = 700 * time.Millisecond
		excused    = 3 * time.Second
		// planned is how long a SIGTERM counts as planned work: grace-s and 1 s.
		planned    = 9 * time.Second
		streamTime = 14 * time.Second
		bodyBytes  = 5000
		// shortRate is the rate of short streams, which other clients send all the time.
		shortRate = 5
	)
	w.bounds, w.limits = boundsOf(3000, 2000, 2000, 8, 58), machine(0.304, 134, 4100)
	for i := range 8 {
		c := Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: engines, Version: "v1", Host: 101 + i, Phase: "decode", Slots: slots, Queue: 2, Memory: memory, Gap: 100 * time.Millisecond, PerToken: 18 * time.Microsecond}
		if i < 2 {
			c.Phase = "prefill"
		}
		if _, err := w.addRunner(c); err != nil {
			w.record.say("error: %v", err)
			return failed
		}
	}
	r := stream(route("r-aj3nr26", "/lohu930/", "streaming", engines, int(streamTime.Milliseconds()), 900, 1, 1), false)
	if err := w.start(2, config(slots, memory, 164, r)); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	stop := time.Now().Add(stopAt)
	if trouble() {
		time.AfterFunc(stopAt, func() { w.entries[0].signal(syscall.SIGTERM) })
	}
	var wait sync.WaitGroup
	var short calls
	wait.Go(func() {
		short.run(w, shortRate, stopAt+sendAfter, func(n int) *call {
			return &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: "/lohu930/2f", tokens: "1000,8", body: "prompt", limit: streamTime, gap: 3600 * time.Millisecond}
		})
	})
	all := make([]*call, clients)
	for i := range all {
		c := &call{
			id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: "/lohu930/2f", tokens: fmt.Sprintf("1000,%d", 50+rand.IntN(20)),
			body: strings.Repeat("p", bodyBytes), limit: streamTime, gap: 3600 * time.Millisecond,
		}
		all[i] = c
		wait.Go(func() { w.sendSlowly(c, w.entries[0], stop.Add(sendAfter), uploadTime) })
	}
	wait.Wait()
	whole, refused, cut := 0, 0, 0
	for _, c := range all {
		late := c.sent.Sub(stop)
		switch {
		case c.complete && c.status == http.StatusOK:
			whole++
		case c.complete:
			refused++
		case !c.sent.IsZero() && !c.left && late > excused && c.ended.Before(stop.Add(planned)) && c.ended.Sub(c.sent) < c.limit && w.ledger.count(c.id, "runs") > 0:
			cut++
			w.record.say("LOST: %s, whose last byte was sent %.2f s after the SIGTERM, was passed on and is cut off after %.2f s with %d events", c.id, late.Seconds(), c.ended.Sub(c.sent).Seconds(), c.events())
		}
	}
	w.record.say("%d requests: %d whole, %d refused, %d passed on and cut off", len(all), whole, refused, cut)
	if cut > 0 {
		return broken
	}
	if whole+refused < clients {
		return failed
	}
	return held
}

// sendSlowly opens a channel, and makes a call on it at a time, of which half of the body comes at once and the rest later.
func (w *world) sendSlowly(c *call, e *entry, at time.Time, later time.Duration) {
	defer func() {
		c.ended = time.Now()
		w.record.line("%s is answered by %s: status %d, %d bytes, complete %v, left %v, %v", c.id, c.entry, c.status, len(c.got), c.complete, c.left, c.err)
	}()
	c.entry = e.name
	n, err := net.DialTimeout("tcp", e.callers, connectTime)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = n.Close() }()
	// The channel is kept from an earlier request.
	first := &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: c.method, path: c.path, tokens: "1000,8", body: "prompt", limit: c.limit, gap: c.gap}
	if _, c.err = n.Write(first.text()); c.err != nil {
		return
	}
	first.sent = time.Now()
	if first.read(n); !first.complete || first.status != http.StatusOK {
		c.err = fmt.Errorf("the first request of the channel: status %d, %w", first.status, first.err)
		return
	}
	time.Sleep(time.Until(at))
	b := c.text()
	half := len(b) - len(c.body)/2
	if _, c.err = n.Write(b[:half]); c.err != nil {
		return
	}
	w.record.line("%s begins to be sent to %s", c.id, e.name)
	time.Sleep(later)
	if _, c.err = n.Write(b[half:]); c.err != nil {
		return
	}
	c.sent = time.Now()
	w.record.line("%s is sent to %s", c.id, e.name)
	c.read(n)
}
