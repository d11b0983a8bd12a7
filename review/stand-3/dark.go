package main

import (
	"fmt"
	"time"
)

const (
	// darkEvents is the length of a stream, and darkPause the time between the beginnings of two streams.
	darkEvents = 120
	darkPause  = 50 * time.Millisecond
	// darkRunners is the number of runners, of which one loses its power.
	darkRunners = 6
	// darkCalm is how long streams begin before a runner loses its power, and darkTime how long it is down.
	darkCalm = 7 * time.Second
	darkTime = 2 * time.Second
	// darkAfter is how long streams begin after that.
	darkAfter = 6 * time.Second
	// minResumed is the least number of streams that count, and minShare the share of them that must go on, as a part of the share of
	// new streams that begin.
	minResumed = 12
	minShare   = 0.5
)

// playDark plays the case in which a runner loses its power and comes back under its id with another version.
func playDark(w *world) (verdict, error) {
	x, runners, err := newVersions(w, darkRunners, darkEvents, darkPause)
	if err != nil {
		return verdict{}, err
	}
	last := runners[len(runners)-1]
	stop := x.beginStreams()
	time.Sleep(darkCalm)
	if w.trouble {
		w.record.add("runner %s loses its power", last.id)
		last.goDark()
	}
	time.Sleep(darkTime)
	if w.trouble {
		if _, err := w.startRunner(last.id, "v2", last.address, x.serve); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(darkAfter)
	stop()
	return x.judgeResumed(), nil
}

// judgeResumed checks LOST: how many of the streams that clients take up go on, against the new ones that begin meanwhile.
func (x *versions) judgeResumed() verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	var resumed, goOn, fresh, begin int
	for _, t := range x.tries {
		switch {
		case t.isResumed:
			resumed++
			goOn += count(t.hasEvent)
		case resumed > 0:
			fresh++
			begin += count(t.hasEvent)
		}
	}
	text := fmt.Sprintf("%d streams were taken up, %d of them went on; %d streams were new since then, %d of them began", resumed, goOn, fresh, begin)
	isBroken := resumed >= minResumed && fresh > 0 && float64(goOn)/float64(resumed) < minShare*float64(begin)/float64(fresh)
	return verdict{isBroken, text}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
