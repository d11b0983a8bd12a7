package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/cost"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// newPlainEntry returns an entry with two upstreams of a plain service, and a request for it.
func newPlainEntry() (*Proxy, func() *exchange) {
	p := &Proxy{metrics: newMetrics(), pauses: pause.New(), pacer: pacer.New(nil), picker: picker.New("", 1), costs: cost.NewTable(), log: discard()}
	p.snapshot.Store(&snapshot{services: map[string][]roster.Upstream{"api": {{Instance: "a", Slots: 4}, {Instance: "b", Slots: 4}}}})
	return p, func() *exchange {
		r, _ := http.NewRequest(http.MethodGet, "/", nil)
		return &exchange{r: r, arrived: time.Now(), service: &rules.Service{Name: "api"}, route: &rules.Route{Name: "read", TargetLatency: time.Second}}
	}
}

func discard() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// answer is a successful answer with a load.
func answer(percent int) calls.ResponseInfo {
	return calls.ResponseInfo{Signed: true, Load: &calls.Load{Running: 1, Slots: 4, SlownessPercent: percent}}
}

// TestPlainRequestsAreLearnedFrom checks that work is learned from answers that name a slowness, slowness and queue
// taken off, and that later requests are placed by it and say so.
func TestPlainRequestsAreLearnedFrom(t *testing.T) {
	p, request := newPlainEntry()
	u := p.snapshot.Load().services["api"][0]
	for range 50 {
		p.observeSlowness(u, answer(250))
		i := answer(250)
		i.Load.Waiting = 4
		p.learnWork(request(), u, i, 100*time.Millisecond)
	}
	x := request()
	picked, ok := p.pickUpstream(x, nil)
	if !ok || picked.Instance != "b" {
		t.Errorf("picked %q, want the upstream that isn't slow", picked.Instance)
	}
	if w := x.placement.expected.Work; w < 18*time.Millisecond || w > 22*time.Millisecond {
		t.Errorf("expected work %v, want about 20ms", w)
	}
	p.notePlacement(time.Now(), x, picked)
	l, hook := test.NewNullLogger()
	p.log = l
	p.finish(x)
	for _, k := range []string{"work-ms", "work-error-ms", "work-samples", "slowness", "slowness-age-ms"} {
		if _, ok := hook.LastEntry().Data[k]; !ok {
			t.Errorf("the last line of the request doesn't name %s", k)
		}
	}
}

// TestEvenServiceKeepsNothing checks that without a figure nothing is learned, nor said of a placement.
func TestEvenServiceKeepsNothing(t *testing.T) {
	p, request := newPlainEntry()
	u := p.snapshot.Load().services["api"][0]
	for range 50 {
		x := request()
		p.observeSlowness(u, answer(0))
		p.learnWork(x, u, answer(0), 100*time.Millisecond)
	}
	x := request()
	p.pickUpstream(x, nil)
	p.notePlacement(time.Now(), x, u)
	if d := cmp.Diff(placement{}, x.placement, cmp.AllowUnexported(placement{})); d != "" {
		t.Errorf("placement (-want +got):\n%s", d)
	}
	if f, _ := p.picker.Slowness(time.Now(), u.Instance); f != 1 {
		t.Errorf("slowness %v", f)
	}
}

// uneven returns the test's entry with engines of a stage that report states.
func uneven(t *testing.T, states map[string]*wire.PlaceState) (*Proxy, *exchange) {
	p, x := newTestEntry(t, 0, 1, 0)
	var l []roster.Upstream
	for n, s := range states {
		s.Sound = true
		l = append(l, roster.Upstream{Instance: n, Address: n, Stage: s.Stage})
		p.subscriptions[n] = &subscription{receivedAt: time.Now(), state: s}
	}
	p.snapshot.Store(&snapshot{services: map[string][]roster.Upstream{"llm": l}})
	x.route = &rules.Route{TargetGap: 100 * time.Millisecond}
	return p, x
}

// TestPrefillGoesByTime checks that prefill engines are ordered by the expected time of their backlog: the one with the
// longer backlog is first if it is faster, by its figure or by its own prefills.
func TestPrefillGoesByTime(t *testing.T) {
	states := func(percent int32) map[string]*wire.PlaceState {
		return map[string]*wire.PlaceState{
			"short": {Stage: wire.Stage_STAGE_PREFILL, Backlog: 3000, SlownessPercent: percent},
			"long":  {Stage: wire.Stage_STAGE_PREFILL, Backlog: 5000},
		}
	}
	for percent, want := range map[int32]string{0: "short", 100: "short", 250: "long"} {
		p, x := uneven(t, states(percent))
		if c, _, _ := p.pickPrefill(x, "", nil); c.upstream.Instance != want {
			t.Errorf("slowness %d: %s is first, want %s", percent, c.upstream.Instance, want)
		}
	}
	for percent, want := range map[int32]string{0: "short", 100: "long"} {
		p, x := uneven(t, states(percent))
		for n, d := range map[string]time.Duration{"short": 90 * time.Millisecond, "long": 30 * time.Millisecond} {
			for range 20 {
				p.recordPrefill(candidate{upstream: roster.Upstream{Instance: n}}, 1000, d)
			}
		}
		if c, _, _ := p.pickPrefill(x, "", nil); c.upstream.Instance != want {
			t.Errorf("speeds of their own, slowness %d: %s is first, want %s", percent, c.upstream.Instance, want)
		}
	}
}

// TestSlowDecodeEngine checks the order of decode engines with room: a slow one comes later, for a long run more so, one
// with pauses above the route's target last, but before those without room.
func TestSlowDecodeEngine(t *testing.T) {
	state := func(room int64, percent int32) *wire.PlaceState {
		return &wire.PlaceState{Stage: wire.Stage_STAGE_DECODE, Room: room, Memory: testMemory, Slots: 12, SlownessPercent: percent, AgainMicros: 1000}
	}
	order := func(p *Proxy, x *exchange) (l []string) {
		tried := map[string]bool{}
		for {
			c, _, ok := p.pickDecode(x, tried)
			if !ok {
				return l
			}
			l = append(l, c.upstream.Instance)
			tried[c.upstream.Instance] = true
		}
	}
	engines := func(slow int32) map[string]*wire.PlaceState {
		return map[string]*wire.PlaceState{"free": state(80000, slow), "half": state(45000, 0), "full": state(0, 0)}
	}
	for _, c := range []struct {
		name   string
		slow   int32
		tokens int64
		gap    time.Duration
		want   []string
	}{
		{"none has named its slowness", 0, 17000, 90 * time.Millisecond, []string{"free", "half", "full"}},
		{"slow", 250, 17000, 10 * time.Millisecond, []string{"half", "free", "full"}},
		{"a little slow, long run", 130, 17000, 10 * time.Millisecond, []string{"half", "free", "full"}},
		{"a little slow, short run", 130, 2000, 10 * time.Millisecond, []string{"free", "half", "full"}},
		{"pauses too long", 120, 2000, 90 * time.Millisecond, []string{"half", "free", "full"}},
	} {
		p, x := uneven(t, engines(c.slow))
		x.call.PromptTokens, x.call.MaxTokens = c.tokens/2, c.tokens/2
		for range 5 {
			p.engineStats.recordGap("llm", accessRecord{parts: 11, firstEvent: time.Second, lastPart: time.Second + 10*c.gap})
		}
		if d := cmp.Diff(c.want, order(p, x)); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}
