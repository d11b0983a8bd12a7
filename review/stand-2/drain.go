package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func init() { cases["drain"] = drain }

// drain stops an entry by SIGTERM, as in a planned restart, while streams wait for a place at engines that are full. Each
// request that the entry has read must be answered.
func drain(w *world) int {
	const (
		grace      = 8
		slots      = 12
		memory     = 78413
		target     = 2000 * time.Millisecond
		lossSlack  = 200 * time.Millisecond
		perSecond  = 32
		length     = 26 * time.Second
		stopAfter  = 10 * time.Second
		streamTime = 14 * time.Second
	)
	w.bounds, w.limits = boundsOf(4000, 3000, 3000, grace, 98), machine(0.8, 536, 8192)
	for i := range 4 {
		c := Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: engines, Version: "v1", Host: 101 + i, Phase: "decode", Slots: slots, Queue: 2, Memory: memory, Gap: 50 * time.Millisecond, PerToken: 18 * time.Microsecond}
		if i == 0 {
			c.Phase = "prefill"
		}
		if _, err := w.addRunner(c); err != nil {
			w.record.say("error: %v", err)
			return failed
		}
	}
	r := stream(route("r-tta828m", "/pufi791/", "streaming", engines, int(streamTime.Milliseconds()), int(target.Milliseconds()), 2, 2), true)
	if err := w.start(2, config(slots, memory, 284, r)); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	var l calls
	var stopped time.Time
	if trouble() {
		time.AfterFunc(stopAfter, func() {
			stopped = time.Now()
			w.entries[0].signal(syscall.SIGTERM)
		})
	}
	l.run(w, perSecond, length, func(n int) *call {
		return &call{
			id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/pufi791/2f", tokens: fmt.Sprintf("400,%d", 15+rand.IntN(30)), body: "prompt", limit: streamTime,
			gap: 4 * target,
		}
	})
	served, refused, other, cut, silent, unplanned := 0, 0, 0, 0, 0, 0
	for _, c := range l.all {
		switch {
		case c.complete && c.status == 200:
			served++
		case c.complete && c.status == 503:
			refused++
		case c.complete:
			other++
		case c.sent.IsZero():
			// The channel wasn't opened.
		case c.left:
			silent++
		case w.ledger.count(c.id, "arrives") > 0:
			// Its runner may have been at work in the last sixth of the grace.
			w.record.line("%s was cut off after it was passed on to a runner", c.id)
		case stopped.IsZero() || c.entry != w.entries[0].name || c.ended.Before(stopped) || c.ended.After(stopped.Add((grace+1)*time.Second)):
			// It isn't the planned stop that has ended the channel.
			unplanned++
			w.record.say("%s at %s has no answer, outside the planned stop", c.id, c.entry)
		case c.ended.Sub(c.sent) > lossSlack && c.ended.Sub(c.sent) < c.limit:
			cut++
			w.record.say("LOST: %s, sent %+.2f s from the SIGTERM and never passed on, has its channel closed without an answer after %.2f s", c.id, c.sent.Sub(stopped).Seconds(), c.ended.Sub(c.sent).Seconds())
		}
	}
	w.record.say("%d requests: %d served, %d answered 503, %d otherwise; %d left by their clients; %d that waited were cut off without an answer, %d outside the planned stop", len(l.all), served, refused, other, silent, cut, unplanned)
	if served == 0 {
		return failed
	}
	if cut > 0 {
		return broken
	}
	return held
}
