package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// reader is an engine that reads prompts one after the other.
type reader struct {
	busy time.Duration
	// perToken is the time of a prompt token.
	perToken time.Duration
}

func (r *reader) read(now time.Duration, tokens int) (done time.Duration) {
	r.busy = max(r.busy, now) + time.Duration(tokens)*r.perToken
	return r.busy
}

// TestPromptsFasterThanTheyAreRead replays prompts that come at one and a half times the
// speed of the only prefill engine, while four engines of answers have places: nearly all
// begin in time, with the backlog alone hardly any, and no answer pauses for too long.
func TestPromptsFasterThanTheyAreRead(t *testing.T) {
	const (
		target   = 840 * time.Millisecond
		pause    = 300 * time.Millisecond
		perToken = 18 * time.Microsecond
		prompts  = 150
		// gap is the mean time between two prompts of 5,000 tokens on average.
		gap = 60 * time.Millisecond
	)
	play := func(own bool) (timely int) {
		r := rand.New(rand.NewPCG(3, 4))
		apart := &reader{perToken: perToken}
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
				Remote: max(0, apart.busy-now) + time.Duration(tokens)*perToken,
				Local:   2 * time.Duration(tokens) * perToken,
				Slack: target,
				MaxPause: pause,
			}
			done := time.Duration(0)
			if own && q.PreferLocal() && engines[e].Begin(epoch.Add(now), "x", 11) {
				if q.Local > pause {
					t.Errorf("answers pause for %s", q.Local)
				}
				done = now + q.Local
				until[e] = done
			} else {
				done = apart.read(now, tokens)
			}
			if done-now <= target {
				timely++
			}
		}
		return timely
	}
	if n := play(true); n < prompts*9/10 {
		t.Errorf("%d of %d prompts were read in time", n, prompts)
	}
	if n := play(false); n > prompts/2 {
		t.Errorf("%d of %d prompts were read in time by the prefill engine alone: the load is no test", n, prompts)
	}
}

// TestOneReadAtATime covers when an engine may read.
func TestOneReadAtATime(t *testing.T) {
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
			t.Errorf("%s at %d ms: begins %v", s.name, s.at, got)
		}
	}
}

// TestReadsApartInACalm leaves prompts to the prefill engines while these are in time, and
// where reading here would make others pause for too long.
func TestReadsApartInACalm(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		r    PrefillEstimate
		want bool
	}{
		"calm":        {PrefillEstimate{ms(120), ms(220), ms(800), ms(300)}, false},
		"backlog":     {PrefillEstimate{ms(1200), ms(220), ms(800), ms(300)}, true},
		"long prompt": {PrefillEstimate{ms(1200), ms(240), ms(800), ms(300)}, false},
		"no bound":    {PrefillEstimate{ms(1200), ms(240), ms(800), 0}, true},
		"late anyway": {PrefillEstimate{ms(1200), ms(220), ms(100), ms(300)}, false},
	} {
		if got := c.r.PreferLocal(); got != c.want {
			t.Errorf("%s: by itself %v", name, got)
		}
	}
}
