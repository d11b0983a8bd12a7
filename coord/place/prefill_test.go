package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// prefillEngine simulates an engine that prefills prompts one after the other.
type prefillEngine struct {
	busyUntil time.Duration
	// perToken is the prefill time of one prompt token.
	perToken time.Duration
}

func (r *prefillEngine) prefill(now time.Duration, tokens int) (done time.Duration) {
	r.busyUntil = max(r.busyUntil, now) + time.Duration(tokens)*r.perToken
	return r.busyUntil
}

// TestLocalPrefillUnderBacklog simulates prompts that arrive at one and a half times the
// rate of the only prefill engine, while four decode engines have free places. At least
// nine tenths must be prefilled in time, without a decode engine pausing its other answers
// for too long. With the prefill engine alone its backlog makes more than half of them late.
func TestLocalPrefillUnderBacklog(t *testing.T) {
	const (
		target   = 840 * time.Millisecond
		pause    = 300 * time.Millisecond
		perToken = 18 * time.Microsecond
		prompts  = 150
		// gap is the mean time between two prompts of 5,000 tokens on average.
		gap = 60 * time.Millisecond
	)
	run := func(local bool) (timely int) {
		r := rand.New(rand.NewPCG(3, 4))
		remote := &prefillEngine{perToken: perToken}
		var engines [4]PrefillLimiter
		var until [4]time.Duration
		var now time.Duration
		for i := range prompts {
			now += time.Duration(r.Float64() * 2 * float64(gap))
			tokens := 3000 + r.IntN(4000)
			e := i % len(engines)
			if until[e] > 0 && until[e] <= now {
				engines[e].End(epoch.Add(until[e]), "x")
				until[e] = 0
			}
			q := PrefillEstimate{
				Remote:   max(0, remote.busyUntil-now) + time.Duration(tokens)*perToken,
				Local:    2 * time.Duration(tokens) * perToken,
				Slack:    target,
				MaxPause: pause,
			}
			done := time.Duration(0)
			if local && q.PreferLocal() && engines[e].Begin(epoch.Add(now), "x", 11) {
				if q.Local > pause {
					t.Errorf("answers pause for %s", q.Local)
				}
				done = now + q.Local
				until[e] = done
			} else {
				done = remote.prefill(now, tokens)
			}
			if done-now <= target {
				timely++
			}
		}
		return timely
	}
	if n := run(true); n < prompts*9/10 {
		t.Errorf("%d of %d prompts were prefilled in time", n, prompts)
	}
	if n := run(false); n > prompts/2 {
		t.Errorf("%d of %d prompts were prefilled in time by the prefill engine alone, so the load is too low for this test", n, prompts)
	}
}

// TestOnePrefillAtATime checks that no prefill begins during another one, nor beside other
// answers until as much time has passed as the last prefill took.
func TestOnePrefillAtATime(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var r PrefillLimiter
	for _, s := range []struct {
		name   string
		at     int
		others int
		end    bool
		want   bool
	}{
		{"a", 0, 5, false, true},
		{"b", 50, 5, false, false},
		{"b", 60, 0, true, false},
		{"a", 100, 5, true, false},
		{"c", 150, 5, false, false},
		{"c", 200, 5, false, true},
		{"c", 300, 5, true, false},
		{"d", 301, 0, false, true},
	} {
		if s.end {
			r.End(at(s.at), s.name)
			continue
		}
		if got := r.Begin(at(s.at), s.name, s.others); got != s.want {
			t.Errorf("%s at %d ms: Begin returned %v", s.name, s.at, got)
		}
	}
}

// TestPreferLocal checks that prompts are left to the prefill engines while these are in
// time, and where a local prefill would be late itself or pause other answers for too long.
func TestPreferLocal(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		r    PrefillEstimate
		want bool
	}{
		"no backlog":  {PrefillEstimate{ms(120), ms(220), ms(800), ms(300)}, false},
		"backlog":     {PrefillEstimate{ms(1200), ms(220), ms(800), ms(300)}, true},
		"long prompt": {PrefillEstimate{ms(1200), ms(240), ms(800), ms(300)}, false},
		"no bound":    {PrefillEstimate{ms(1200), ms(240), ms(800), 0}, true},
		"late anyway": {PrefillEstimate{ms(1200), ms(220), ms(100), ms(300)}, false},
	} {
		if got := c.r.PreferLocal(); got != c.want {
			t.Errorf("%s: PreferLocal returned %v", name, got)
		}
	}
}
