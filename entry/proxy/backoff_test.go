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

// TestFleetLearnsOfStoreReturn replays the end of an outage that was longer than a configuration
// may be used, in a fleet of 25 entries. Each asks the store as its backoff allows, and at each
// refresh two store readers and one more entry. All must have a new configuration within 1.5 s:
// the longest pause of a store reader, one call that hangs and a few refreshes.
func TestFleetLearnsOfStoreReturn(t *testing.T) {
	const (
		entries  = 25
		outage   = 5 * time.Second
		hangTime = 800 * time.Millisecond
		want     = 1500 * time.Millisecond
	)
	began := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 4))
		var fresh [entries]bool
		var next [entries]time.Duration
		var timers [entries]pollTimer
		var stores [entries]backoff
		last := time.Duration(0)
		for d := time.Duration(0); d < outage+10*time.Second; d += time.Millisecond {
			now := began.Add(d)
			for i := range entries {
				if fresh[i] || d < next[i] {
					continue
				}
				learned := fresh[0] || fresh[1] || fresh[r.IntN(entries)]
				var hang time.Duration
				if !learned && stores[i].allows(now) {
					longest := maxStorePause
					if i < maxStoreReaders {
						longest = maxReaderPause
					}
					learned = d >= outage
					if !learned {
						hang = hangTime
						stores[i].failed(now.Add(hang), longest, r.Float64())
					}
				}
				if learned {
					fresh[i], last = true, d
					continue
				}
				next[i] = d + hang + timers[i].pause(false, true, r.Float64())
			}
		}
		if last-outage > want {
			t.Errorf("seed %d: the last entry has a new configuration %s after the store's return, want at most %s", seed, last-outage, want)
		}
	}
}
