package proxy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestStoreOutageOfLargeFleet replays an outage of 10 s in a fleet of 300 entries that each look
// at the store every minRetryPause. No entry may call it more often than its longest pause
// allows after the first doublings, and each must have called it again within one and a half
// times that pause after the outage.
func TestStoreOutageOfLargeFleet(t *testing.T) {
	const (
		entries = 300
		readers = maxStoreReaders
		outage  = 10 * time.Second
	)
	r := rand.New(rand.NewPCG(1, 2))
	began := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range entries {
		longest := maxStorePause
		if i < readers {
			longest = maxReaderPause
		}
		var b backoff
		calls, doublings := 0, 1
		for d := minStorePause; d < longest; d *= 2 {
			doublings++
		}
		back := time.Duration(-1)
		for d := time.Duration(0); back < 0; d += minRetryPause {
			now := began.Add(d)
			if !b.allows(now) {
				continue
			}
			if d >= outage {
				back = d - outage
				break
			}
			calls++
			b.failed(now, longest, r.Float64())
		}
		// A pause lasts at least half of its length.
		if most := doublings + int(outage/(longest/2)); calls > most {
			t.Errorf("entry %d calls the store %d times in the outage, at most %d are allowed", i, calls, most)
		}
		if most := longest*3/2 + minRetryPause; back > most {
			t.Errorf("entry %d calls the store %s after its return, at most %s are allowed", i, back, most)
		}
	}
}
