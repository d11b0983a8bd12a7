package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versions }

// maxTries is how often a client takes up a stream.
const maxTries = 4

// versions lets two engines crash, again and again. They start again under their ids, with a newer version of the software. Clients
// take up the streams that break. No stream may hold events of two versions.
func versions(w *world) int {
	const (
		entries    = 5
		slots      = 12
		memory     = 86766
		perSecond  = 28
		length     = 20 * time.Second
		firstCrash = 6 * time.Second
		crashing   = 2
		crashes    = 3
		downTime   = time.Second
		upTime     = time.Second
		streamTime = 14 * time.Second
	)
	w.bounds, w.limits = boundsOf(3000, 2000, 2000, 8, 58), machine(0.304, 134, 4100)
	var decoders []*child
	for i := range 8 {
		c := Config{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: engines, Version: "v1", Host: 101 + i, Phase: "decode", Slots: slots, Queue: 2, Memory: memory, Gap: 100 * time.Millisecond, PerToken: 18 * time.Microsecond}
		if i < 2 {
			c.Phase = "prefill"
		}
		x, err := w.addChild(c)
		if err != nil {
			w.record.say("error: %v", err)
			return failed
		}
		if c.Phase == "decode" {
			decoders = append(decoders, x)
		}
	}
	r := stream(route("r-tta828m", "/pufi791/", "streaming", engines, int(streamTime.Milliseconds()), 900, 1, 2), true)
	if err := w.start(entries, config(slots, memory, 164, r)); err != nil {
		w.record.say("error: %v", err)
		return failed
	}
	if trouble() {
		go func() {
			time.Sleep(firstCrash)
			for range crashes {
				for _, x := range decoders[:crashing] {
					w.record.say("engine %s crashes", x.ID)
					x.down.Store(true)
					x.kill()
				}
				time.Sleep(downTime)
				for _, x := range decoders[:crashing] {
					if err := w.restart(x, "v2"); err != nil {
						w.record.say("error: %v", err)
					}
					x.down.Store(false)
					w.record.say("engine %s runs again under its id, with version v2", x.ID)
				}
				time.Sleep(upTime)
			}
		}()
	}
	var mu sync.Mutex
	var all [][]*call
	var wait sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		wait.Go(func() {
			l := w.resumeUntilEnd(streamTime)
			mu.Lock()
			all = append(all, l)
			mu.Unlock()
		})
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / perSecond * float64(time.Second)))))
	}
	wait.Wait()
	whole, again, mixed := 0, 0, 0
	for _, l := range all {
		seen := map[string]bool{}
		for _, c := range l {
			for _, v := range []string{"v1", "v2"} {
				if strings.Contains(c.got, "data: "+v+" ") {
					seen[v] = true
				}
			}
		}
		if l[len(l)-1].complete && l[len(l)-1].status == 200 {
			whole++
		}
		if len(l) > 1 {
			again++
		}
		if len(seen) > 1 {
			mixed++
			var ids []string
			for _, c := range l {
				ids = append(ids, fmt.Sprintf("%s (%d events)", c.id, c.events()))
			}
			w.record.say("ORDER: a stream holds events of %v, over %s", slices.Sorted(maps.Keys(seen)), strings.Join(ids, ", "))
		}
	}
	w.record.say("%d streams: %d whole, %d taken up again, %d hold events of two versions", len(all), whole, again, mixed)
	if whole == 0 {
		return failed
	}
	if mixed > 2 {
		return broken
	}
	return held
}

// resumeUntilEnd sends a stream's request and takes the stream up as long as it breaks off.
func (w *world) resumeUntilEnd(limit time.Duration) (l []*call) {
	end := time.Now().Add(limit)
	tokens := fmt.Sprintf("1000,%d", 12+rand.IntN(14))
	c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/pufi791/2f", tokens: tokens, body: "prompt", limit: limit, gap: 3600 * time.Millisecond}
	for {
		w.send(c, w.balance())
		l = append(l, c)
		if c.complete && c.status == 200 || c.left || len(l) > maxTries {
			return l
		}
		left := time.Until(end)
		pause := 50 * time.Millisecond
		if c.status == 503 || c.status == 429 {
			pause = max(pause, min(c.retryAfter, left/3))
		} else if c.status != 200 && c.status != 502 && c.status != 504 && c.status != 0 {
			return l
		}
		time.Sleep(pause)
		n := &call{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: c.path, tokens: tokens, body: "prompt", limit: time.Until(end), gap: c.gap, resumes: c.resumes, lastEvent: c.lastEvent}
		if k := c.events(); c.status == 200 && k > 0 {
			n.lastEvent += k
			if n.resumes == "" {
				n.resumes = c.id
			}
		}
		c = n
	}
}
