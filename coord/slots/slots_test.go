package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	entries       = 8
	upstreams     = 4
	upstreamSlots = 6
	workTime      = 60 * time.Millisecond
	targetLatency = 300 * time.Millisecond
	// perWorkspace is a sixteenth of what the upstreams serve in a second.
	perWorkspace = 25.0
	maxTries     = 4
	// usualPart is the part of its share that a workspace usually uses.
	usualPart = 0.7
)

// call is a request of the replayed load.
type call struct {
	workspace int
	entry     int
	arrived   time.Time
	tries     int
	endsAt    time.Time
	sentAt    time.Time
	upstream  int
}

// fleet replays a load on entries and upstreams that refuse what exceeds their slots. Without limiters a refused
// request is sent to the next upstream at once.
type fleet struct {
	rand     *rand.Rand
	limiters []*Limiter[*call]
	busy     [upstreams]int
	active   []*call
	weight   func(workspace int) int64
	// answered counts the requests of each workspace that were answered within their target, refusals the
	// sends that upstreams refused.
	answered, sent []int
	refusals       int
}

func (f *fleet) request(c *call) Request[*call] {
	return Request[*call]{Workspace: fmt.Sprint(c.workspace), Weight: f.weight(c.workspace), ExpiresAt: c.arrived.Add(targetLatency - workTime), Value: c}
}

// enter lets a request ask the limiter of its entry.
func (f *fleet) enter(now time.Time, c *call) {
	if f.limiters == nil || f.limiters[c.entry].Enter(now, f.request(c)) == Admitted {
		f.send(now, c)
	}
}

// send sends a request to an upstream, and as long as it may be sent again, to another one.
func (f *fleet) send(now time.Time, c *call) {
	c.upstream = f.rand.IntN(upstreams)
	if o := f.rand.IntN(upstreams); f.busy[o] < f.busy[c.upstream] {
		c.upstream = o
	}
	c.tries++
	if f.busy[c.upstream] < upstreamSlots {
		f.busy[c.upstream]++
		c.sentAt, c.endsAt = now, now.Add(workTime/2+time.Duration(f.rand.Int64N(int64(workTime))))
		f.active = append(f.active, c)
		return
	}
	f.refusals++
	if f.limiters != nil {
		f.limiters[c.entry].Refused(now, f.request(c))
	}
	if c.tries < maxTries {
		f.enter(now, c)
	}
}

// step ends what is due and lets waiting requests go.
func (f *fleet) step(now time.Time) {
	var left []*call
	for _, c := range f.active {
		if now.Before(c.endsAt) {
			left = append(left, c)
			continue
		}
		f.busy[c.upstream]--
		if now.Sub(c.arrived) <= targetLatency {
			f.answered[c.workspace]++
		}
		if f.limiters != nil {
			f.limiters[c.entry].Answered(now, now.Sub(c.sentAt))
		}
	}
	f.active = left
	for i, g := range f.limiters {
		for w := range len(f.sent) {
			name := fmt.Sprint(w)
			g.queue.Drop(func(c *call) bool {
				isExpired := fmt.Sprint(c.workspace) == name && now.After(c.arrived.Add(targetLatency-workTime))
				if isExpired {
					g.forget(name)
				}
				return isExpired
			})
		}
		for {
			c, ok := f.limiters[i].Next(now)
			if !ok {
				break
			}
			f.send(now, c)
		}
	}
}

// run replays ten seconds. multiple is what the first workspace sends, in shares; the others use usualPart of theirs.
func run(seed uint64, multiple float64, isLimited bool, weight func(workspace int) int64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 3)), weight: weight, answered: make([]int, 16), sent: make([]int, 16)}
	if isLimited {
		for range entries {
			f.limiters = append(f.limiters, &Limiter[*call]{})
		}
	}
	var mean float64
	for w := range 16 {
		mean += float64(weight(w)) / 16
	}
	arrivals := rand.New(rand.NewPCG(seed, 4))
	for n := range 10000 {
		now := epoch.Add(time.Duration(n) * time.Millisecond)
		f.step(now)
		for w := range 16 {
			rate := usualPart * perWorkspace * float64(weight(w)) / mean
			if w == 0 {
				rate *= multiple / usualPart
			}
			if arrivals.Float64() < rate/1000 {
				f.sent[w]++
				f.enter(now, &call{workspace: w, entry: arrivals.IntN(entries), arrived: now})
			}
		}
	}
	return f
}

// others returns the part of the requests of all workspaces but the first that were answered in time, and the least
// of any of them.
func (f *fleet) others() (part, least float64) {
	var sent, answered int
	least = 1
	for w := 1; w < len(f.sent); w++ {
		sent += f.sent[w]
		answered += f.answered[w]
		least = min(least, float64(f.answered[w])/float64(f.sent[w]))
	}
	return float64(answered) / float64(sent), least
}

// TestHotWorkspaceTakesNoSlots lets one workspace send 6 to 10 times its share of the slots beside 15 others, which
// still get nine tenths of what they get without it. Trying upstream after upstream they don't.
func TestHotWorkspaceTakesNoSlots(t *testing.T) {
	for name, weight := range map[string]func(int) int64{
		"equal":  func(int) int64 { return 100 },
		"uneven": func(w int) int64 { return int64(10 + 30*((w+2)%4)) },
	} {
		for _, multiple := range []float64{6, 10} {
			alone, _ := run(1, 0, false, weight).others()
			f := run(1, multiple, true, weight)
			got, least := f.others()
			b := run(1, multiple, false, weight)
			before, leastBefore := b.others()
			if got < 0.9*alone {
				t.Errorf("%s, %v times: %.3f of the others' requests in time, %.3f without the hot workspace", name, multiple, got, alone)
			}
			if multiple == 10 && before >= 0.9*alone {
				t.Errorf("%s, %v times: %.3f in time without limiters, so the load is too low for this test", name, multiple, before)
			}
			t.Logf("%s %v: alone %.3f, with limiters %.3f (least %.3f, hot %.3f, %d refusals); without %.3f (%.3f, hot %.3f, %d)", name, multiple, alone,
				got, least, float64(f.answered[0])/float64(f.sent[0]), f.refusals, before, leastBefore, float64(b.answered[0])/float64(b.sent[0]), b.refusals)
		}
	}
}

// TestLimiterWithoutRefusals checks that a limiter holds nothing until an upstream has refused, and nothing again once
// slots aren't short.
func TestLimiterWithoutRefusals(t *testing.T) {
	var g Limiter[int]
	for n := range 1000 {
		if d := g.Enter(epoch, Request[int]{Value: n}); d != Admitted {
			t.Fatalf("request %d: decision %d", n, d)
		}
	}
	g.refusedShare = 1
	g.Refused(epoch, Request[int]{})
	if d := cmp.Diff(999.0, g.Limit()); d != "" {
		t.Errorf("limit after a refusal (-want +got):\n%s", d)
	}
	for range 999 {
		g.Answered(epoch, time.Millisecond)
	}
	g.Enter(epoch.Add(limitTTL), Request[int]{})
	if g.IsLimited() {
		t.Errorf("limit of %v after %s without a refusal", g.Limit(), limitTTL)
	}
}

// TestHopelessRequestIsTurnedAway checks that a workspace is turned away by the queue before its own requests, while
// another one is still queued, and that its times to wait follow its queue.
func TestHopelessRequestIsTurnedAway(t *testing.T) {
	g := Limiter[int]{refusedShare: 1}
	request := func(workspace string, n int) Request[int] {
		return Request[int]{Workspace: workspace, Weight: 1, Value: n, ExpiresAt: epoch.Add(500 * time.Millisecond)}
	}
	g.Enter(epoch, request("hot", 0))
	g.Enter(epoch, request("hot", 1))
	g.Answered(epoch, 100*time.Millisecond)
	g.Enter(epoch, request("hot", 2))
	g.Refused(epoch, request("hot", 2))
	var got []Decision
	for n := range 12 {
		got = append(got, g.Enter(epoch, request("hot", 3+n)))
	}
	got = append(got, g.Enter(epoch, request("cool", 20)))
	if d := cmp.Diff([]Decision{Queued, Rejected, Queued}, []Decision{got[0], got[11], got[12]}); d != "" {
		t.Errorf("decisions on the first and last request, and on one of another workspace (-want +got):\n%s", d)
	}
	if hot, cool := g.ExpectedWait(epoch, request("hot", 30)), g.ExpectedWait(epoch, request("cool", 31)); hot <= 2*cool {
		t.Errorf("waits: %s, other workspace %s", hot, cool)
	}
	g.Answered(epoch, 100*time.Millisecond)
	v, _ := g.Next(epoch)
	if d := cmp.Diff(3, v); d != "" {
		t.Errorf("sent when a slot comes free (-want +got):\n%s", d)
	}
	if !g.Drop("hot", 4) || g.Drop("hot", 4) {
		t.Error("a request must leave the queue once")
	}
}

// TestHangingSendHoldsNobodyUp lets one send hang while others are refused. The queue moves on.
func TestHangingSendHoldsNobodyUp(t *testing.T) {
	g := Limiter[int]{refusedShare: 1}
	request := func(n int) Request[int] { return Request[int]{Value: n, ExpiresAt: epoch.Add(time.Second)} }
	g.Enter(epoch, request(0))
	g.Enter(epoch, request(1))
	g.Refused(epoch, request(1))
	if d := g.Enter(epoch, request(1)); d != Queued {
		t.Fatalf("decision %d on a refused request", d)
	}
	if _, ok := g.Next(epoch); ok {
		t.Error("a request goes although the limit is used up")
	}
	at, ok := g.NextAt()
	if !ok || at.Sub(epoch) > maxPause {
		t.Fatalf("the next goes in %s, %t", at.Sub(epoch), ok)
	}
	if v, ok := g.Next(at); !ok || v != 1 {
		t.Errorf("at that time goes %d, %t", v, ok)
	}
}

// TestFewRefusalsLimitNothing replays callers who come again after each answer, while one in twenty of
// their sends meets a full upstream and the others meet idle ones, as where one region is full. The
// limiter must leave them what they get without it.
func TestFewRefusalsLimitNothing(t *testing.T) {
	const (
		callers     = 80
		serviceTime = 100 * time.Millisecond
		steps       = 2000
		stepTime    = 10 * time.Millisecond
		refused     = 0.05
	)
	var g Limiter[int]
	r := rand.New(rand.NewPCG(1, 1))
	now, answered := epoch, 0
	ends := map[int]time.Time{}
	send := func(n int) {
		if r.Float64() < refused {
			g.Refused(now, Request[int]{Value: n})
			return
		}
		ends[n] = now.Add(serviceTime)
	}
	queued := map[int]bool{}
	for range steps {
		now = now.Add(stepTime)
		for n, at := range ends {
			if !now.Before(at) {
				delete(ends, n)
				answered++
				g.Answered(now, serviceTime)
			}
		}
		for v, ok := g.Next(now); ok; v, ok = g.Next(now) {
			delete(queued, v)
			send(v)
		}
		for n := range callers {
			if _, isSent := ends[n]; isSent || queued[n] {
				continue
			}
			switch g.Enter(now, Request[int]{Value: n, ExpiresAt: now.Add(time.Hour)}) {
			case Admitted:
				send(n)
			case Queued:
				queued[n] = true
			}
		}
	}
	ideal := callers * int(steps*stepTime/serviceTime)
	if answered < ideal*9/10 {
		t.Errorf("%d of %d requests were answered", answered, ideal)
	}
}
