package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// contest is a load of several workspaces on six engines, which serve about 17 requests a second.
type contest struct {
	// perSecond holds the arrivals of each workspace in a second, weights their shares.
	perSecond []float64
	weights   []int64
	priority  func(workspace int) int
	// isNamed reports whether a request names its workspace; nil for all.
	isNamed func(n int) bool
	// restartAt is when each engine's manager loses what it knows; 0 for never.
	restartAt time.Duration
	// countFrom is the time from which requests are counted that are granted then or not at all.
	countFrom time.Duration
}

// tally counts what became of the requests of a workspace.
type tally struct {
	sent, granted, inTime int
	// work is what the granted requests cost.
	work float64
	// named and namedInTime count the requests that name their workspace.
	named, namedInTime int
	// large and largeInTime count the tenth of the requests with the largest prompts.
	large, largeInTime int
}

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

func (y tally) rate() float64          { return ratio(y.inTime, y.sent) }
func (y tally) largeRate() float64     { return ratio(y.largeInTime, y.large) }
func (y tally) namedRate() float64     { return ratio(y.namedInTime, y.named) }
func (y tally) anonymousRate() float64 { return ratio(y.inTime-y.namedInTime, y.sent-y.named) }

// add counts the parts of a job that apply.
func (y *tally) add(j *job) {
	y.sent++
	inTime := j.granted && j.grantedAt.Before(j.request.StartBy)
	if j.granted {
		y.granted++
		y.work += j.request.cost()
	}
	y.inTime += count(inTime)
	isLarge, isNamed := j.request.PromptTokens >= largestTenth, j.request.Workspace != ""
	y.large += count(isLarge)
	y.largeInTime += count(isLarge && inTime)
	y.named += count(isNamed)
	y.namedInTime += count(isNamed && inTime)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

const (
	contestTime   = 6 * time.Second
	startTime     = 700 * time.Millisecond
	largestTenth  = 7700
	contestEngine = 3
)

// play returns what became of the requests of each workspace. The same seed gives the same requests,
// whichever of the workspaces take part.
func (c contest) play(seed uint64, takesPart func(workspace int) bool) []tally {
	r := &replay{moves: true, jobs: map[string]*job{}}
	for range contestEngine {
		r.engines = append(r.engines, newContestEngine())
	}
	rands := make([]*rand.Rand, len(c.perSecond))
	for w := range rands {
		rands[w] = rand.New(rand.NewPCG(seed, uint64(w)))
	}
	all := make([][]*job, len(c.perSecond))
	for n := range int(contestTime / time.Millisecond) {
		now := epoch.Add(time.Duration(n) * time.Millisecond)
		for _, e := range r.engines {
			c.lose(now, e)
		}
		for w, perSecond := range c.perSecond {
			if rands[w].Float64() >= perSecond/1000 {
				continue
			}
			j := c.newJob(rands[w], now, w, n)
			if !takesPart(w) {
				continue
			}
			r.jobs[j.request.ID] = j
			all[w] = append(all[w], j)
			j.engine, _ = r.best(now, j.request)
			r.apply(now, r.engines[j.engine].Submit(now, j.request))
		}
		r.step(now)
	}
	got := make([]tally, len(c.perSecond))
	for w, l := range all {
		for _, j := range l {
			if !j.granted || j.grantedAt.Sub(epoch) >= c.countFrom {
				got[w].add(j)
			}
		}
	}
	return got
}

// lose lets the manager of an engine lose what it knows of workspaces when it is time.
func (c contest) lose(now time.Time, s *Scheduler) {
	if c.restartAt > 0 && now.Sub(epoch) == c.restartAt {
		s.accounts = accounts{byWorkspace: map[string]*account{}}
		s.classes = classes{credit: map[int]float64{}}
	}
}

func newContestEngine() *Scheduler {
	s := New()
	s.SetSlots(12)
	s.Observe(epoch, Report{MemoryTokens: 60000, StartUnixMillis: 1})
	return s
}

func (c contest) newJob(x *rand.Rand, now time.Time, workspace, n int) *job {
	m := 500 + x.Int64N(2000)
	j := &job{arrived: now, length: 1 + x.Int64N(m)}
	j.request = Request{
		ID:           fmt.Sprintf("%06d-%02d", n, workspace),
		PromptTokens: 500 + x.Int64N(8000),
		MaxTokens:    m,
		StartBy:      now.Add(startTime),
		ExpiresAt:    now.Add(3 * time.Second),
	}
	if c.priority != nil {
		j.request.Priority = c.priority(workspace)
	}
	if c.isNamed == nil || c.isNamed(n) {
		j.request.Workspace = fmt.Sprint("w", workspace)
		j.request.Weight = 100
		if c.weights != nil {
			j.request.Weight = c.weights[workspace]
		}
	}
	return j
}

func (c contest) withoutNames() contest {
	c.isNamed = func(int) bool { return false }
	return c
}

// sum plays several seeds.
func (c contest) sum(takesPart func(workspace int) bool) []tally {
	total := make([]tally, len(c.perSecond))
	for seed := range uint64(2) {
		for w, y := range c.play(seed, takesPart) {
			total[w] = merge([]tally{total[w], y})
		}
	}
	return total
}

func merge(l []tally) (m tally) {
	for _, y := range l {
		m.sent += y.sent
		m.granted += y.granted
		m.work += y.work
		m.inTime += y.inTime
		m.named += y.named
		m.namedInTime += y.namedInTime
		m.large += y.large
		m.largeInTime += y.largeInTime
	}
	return m
}

func everyone(int) bool   { return true }
func butFirst(w int) bool { return w > 0 }

// leastOfAlone is the part of what a workspace gets without the hot one that it gets beside it.
const leastOfAlone = 0.9

// shareOfEngines is what each of 16 workspaces of equal weight can have of the engines, in requests a second.
const shareOfEngines = 2.5

// contestOf returns a load of 16 workspaces that use most of their shares, but for the first, which sends a
// multiple of its share.
func contestOf(times float64, weights func(workspace int) int64) contest {
	c := contest{perSecond: make([]float64, 16), weights: make([]int64, 16)}
	var mean float64
	for w := range c.weights {
		c.weights[w] = weights(w)
		mean += float64(c.weights[w]) / float64(len(c.weights))
	}
	for w := range c.perSecond {
		c.perSecond[w] = 0.8 * shareOfEngines * float64(c.weights[w]) / mean
	}
	c.perSecond[0] *= times / 0.8
	return c
}

func equalWeights(int) int64    { return 100 }
func unevenWeights(w int) int64 { return int64(10 + 30*((w+2)%4)) }

// TestHotWorkspaceTakesNoShares lets one workspace send 6 to 10 times its share beside 15 others, whose requests
// then still start in time, also those with the largest prompts, and after the managers have lost what they know.
// Without sharing they don't.
func TestHotWorkspaceTakesNoShares(t *testing.T) {
	for name, weights := range map[string]func(int) int64{"equal": equalWeights, "uneven": unevenWeights} {
		for _, times := range []float64{6, 10} {
			c := contestOf(times, weights)
			alone := merge(c.sum(butFirst)[1:])
			shared := c.sum(everyone)
			got := merge(shared[1:])
			restarting := c
			restarting.restartAt = contestTime / 2
			for n, y := range map[string]tally{"": got, " with a restart": merge(restarting.sum(everyone)[1:])} {
				if y.rate() < leastOfAlone*alone.rate() {
					t.Errorf("%s, %v times%s: %.3f of the others' requests in time, %.3f without the hot workspace", name, times, n, y.rate(), alone.rate())
				}
				if y.largeRate() < leastOfAlone*alone.largeRate() {
					t.Errorf("%s, %v times%s: %.3f of the largest prompts in time, %.3f without the hot workspace", name, times, n, y.largeRate(), alone.largeRate())
				}
			}
			before := c.withoutNames().sum(everyone)
			if r := merge(before[1:]).rate(); times == 10 && r >= leastOfAlone*alone.rate() {
				t.Errorf("%s, %v times: %.3f of the others' requests in time without sharing, so the load is too low for this test", name, times, r)
			}
			least := 1.0
			for _, y := range shared[1:] {
				least = min(least, y.rate())
			}
			t.Logf("%s %v: alone %.3f, shared %.3f (least %.3f, large %.3f of %.3f), hot %.3f; without sharing %.3f, hot %.3f",
				name, times, alone.rate(), got.rate(), least, got.largeRate(), alone.largeRate(), shared[0].rate(), merge(before[1:]).rate(), before[0].rate())
		}
	}
}

// TestLessUrgentClassKeepsItsShare lets more urgent requests come at twice the rate that the engines serve. The less
// urgent ones keep a tenth of the granted work.
func TestLessUrgentClassKeepsItsShare(t *testing.T) {
	c := contest{perSecond: []float64{80, 30}, weights: []int64{100, 100}, priority: func(w int) int { return 2 * w }, countFrom: 2 * time.Second}
	got := c.sum(everyone)
	if share := got[1].work / (got[0].work + got[1].work); share < 0.1 || share > 0.2 {
		t.Errorf("the less urgent class got %.3f of the granted work, %d of its %d requests; %d of %d of the others", share, got[1].granted, got[1].sent, got[0].granted, got[0].sent)
	}

}

// TestWorkspaceAloneGetsAll checks that a workspace without others to share with is served exactly as if there
// were no shares.
func TestWorkspaceAloneGetsAll(t *testing.T) {
	c := contest{perSecond: []float64{60}, weights: []int64{1}}
	want, got := c.withoutNames().play(1, everyone)[0], c.play(1, everyone)[0]
	want.named, want.namedInTime = want.sent, want.inTime
	if d := cmp.Diff(want, got, cmp.AllowUnexported(tally{})); d != "" {
		t.Errorf("served (-without shares +with):\n%s", d)
	}
}

// TestFleetBetweenReleases lets half of the requests come from entries of an earlier release, which name no
// workspace. Those that come from the other half are served as among named ones, and those of the first no worse
// than before.
func TestFleetBetweenReleases(t *testing.T) {
	c := contestOf(10, equalWeights)
	alone := merge(c.sum(butFirst)[1:])
	none := c.withoutNames().sum(everyone)
	c.isNamed = func(n int) bool { return n%2 == 0 }
	got := merge(c.sum(everyone)[1:])
	before := merge(none[1:])
	if got.namedRate() < leastOfAlone*alone.rate() {
		t.Errorf("%.3f of the requests of others with a workspace are in time, %.3f without the hot workspace", got.namedRate(), alone.rate())
	}
	if got.anonymousRate() < leastOfAlone*before.rate() {
		t.Errorf("%.3f of the requests of others without a workspace are in time, %.3f without sharing", got.anonymousRate(), before.rate())
	}
	t.Logf("named %.3f, anonymous %.3f; alone %.3f, without sharing %.3f", got.namedRate(), got.anonymousRate(), alone.rate(), before.rate())
}

// TestAccountsAreBounded charges many workspaces.
func TestAccountsAreBounded(t *testing.T) {
	a := accounts{byWorkspace: map[string]*account{}}
	for n := range 13000 {
		a.charge(epoch.Add(time.Duration(n)*time.Millisecond), Request{Workspace: fmt.Sprint(n), Weight: 1, PromptTokens: 100 + int64(n)})
	}
	if d := cmp.Diff(maxAccounts, len(a.byWorkspace)); d != "" {
		t.Errorf("accounts (-want +got):\n%s", d)
	}
	a.decay(epoch.Add(time.Hour))
	if d := cmp.Diff(0, len(a.byWorkspace)); d != "" {
		t.Errorf("accounts after an hour (-want +got):\n%s", d)
	}
}

// TestRefusalsOfHotWorkspace fills an engine and its queue with requests of one workspace. As soon as another one
// asks, its request comes first, and those of the first workspace that can't be served any more are refused at
// once, with spread times to return at which its turn may come.
func TestRefusalsOfHotWorkspace(t *testing.T) {
	s := newScheduler(1600)
	request := func(n int, workspace string) Request {
		r := newRequest(fmt.Sprint(workspace, n), 500, 300, time.Second, 1300*time.Millisecond)
		r.Workspace, r.Weight = workspace, 100
		return r
	}
	for n := range 20 {
		if out := s.Submit(epoch, request(n, "hot")); len(out) > 0 && !out[0].Granted {
			t.Fatalf("alone: %v", out)
		}
	}
	refused := s.Submit(epoch, request(0, "cool"))
	if s.queue[1].ID != "cool0" || len(refused) < 5 {
		t.Errorf("second of the queue, after one within the share, is %s, %d refused", s.queue[1].ID, len(refused))
	}
	refused = append(refused, s.Submit(epoch, request(20, "hot"))...)
	times := map[time.Time]bool{}
	for _, o := range refused {
		times[o.RetryAt] = true
		if o.Granted || o.Reason != ReasonOverShare || !o.RetryAt.After(epoch.Add(1300*time.Millisecond)) {
			t.Errorf("%s: granted %t, %q, may return after %s", o.RequestID, o.Granted, o.Reason, o.RetryAt.Sub(epoch))
		}
	}
	if d := cmp.Diff(len(refused), len(times)); d != "" {
		t.Errorf("times to return (-refusals +times):\n%s", d)
	}
	if out := s.Submit(epoch, request(1, "cool")); len(s.queue) < 3 || s.queue[2].ID != "cool1" {
		t.Errorf("second request of the other workspace: %v", out)
	}
}

// TestClassDebtIsBounded grants many requests of a less urgent class before late ones of a more urgent class.
// The class must get its least share again after a few requests of others, and the classes kept stay few.
func TestClassDebtIsBounded(t *testing.T) {
	c := classes{credit: map[int]float64{}, typicalCost: 1000}
	late := []waiting{{Request: Request{Priority: 0, PromptTokens: 1000}}}
	for range 200 {
		c.charge(Request{Priority: 5, PromptTokens: 1000}, late)
	}
	if d := cmp.Diff(-float64(maxCreditRequests*1000), c.credit[5]); d != "" {
		t.Errorf("credit after 200 grants (-want +got):\n%s", d)
	}
	for p := range 10 * maxClasses {
		c.charge(Request{Priority: 1 + p, PromptTokens: 1000}, late)
	}
	if n := len(c.credit); n > maxClasses {
		t.Errorf("%d classes are kept, want at most %d", n, maxClasses)
	}
}
