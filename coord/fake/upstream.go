package fake

import (
	"fmt"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

const (
	prefillTime = 30 * time.Millisecond
	importTime  = 20 * time.Millisecond
	tokenTime   = 15 * time.Millisecond
	plainTime   = 40 * time.Millisecond
	// longPlainTime is the longest time of one in a few plain calls.
	longPlainTime = 4 * time.Second
	longOdds      = 4
	// survival is how long a KV cache waits for its import.
	survival = 800 * time.Millisecond
)

// Text returns the token at an index of the answer to a prompt.
func Text(prompt string, index int64) string {
	return fmt.Sprintf("%s.%d ", prompt, index)
}

// Upstream is an engine or a plain service. It lives on when its agent dies.
type Upstream struct {
	net *Net
	// Dead upstreams refuse all calls.
	Dead bool
	// Held are the runs that hold engine memory.
	Held map[string]bool
	// Executions counts the effects of plain calls by request.
	Executions map[string]int
	// Prefilled and Wasted count prefills and those that were not imported.
	Prefilled, Wasted int

	cancelled map[string]bool
}

// exports are the KV caches that wait for their import, over all engines.
type exports map[string]*Upstream

func newUpstream(n *Net) *Upstream {
	return &Upstream{net: n, Held: map[string]bool{}, Executions: map[string]int{}, cancelled: map[string]bool{}}
}

// call carries out a call and tells its events.
func (u *Upstream) call(x worker.StartCall, all exports, tell func(worker.Event)) {
	if u.Dead {
		u.net.After(time.Millisecond, func() {
			tell(worker.CallFailed{Run: x.Run, Err: fault.NotRun(fault.Unreachable, "the upstream is dead")})
		})
		return
	}
	switch x.Run.Stage {
	case wire.Stage_STAGE_PREFILL:
		u.prefill(x, all, tell)
	case wire.Stage_STAGE_DECODE:
		u.decode(x, all, tell)
	default:
		u.plain(x, tell)
	}
}

func (u *Upstream) prefill(x worker.StartCall, all exports, tell func(worker.Event)) {
	u.net.After(prefillTime, func() {
		name := x.Run.String()
		if u.cancelled[name] {
			return
		}
		u.Prefilled++
		handle := fmt.Sprintf("%s/%d", name, u.Prefilled)
		all[handle] = u
		u.net.After(survival, func() {
			if all[handle] != nil {
				u.Wasted++
				delete(all, handle)
			}
		})
		tell(worker.CallDone{Run: x.Run, Done: &wire.Done{Handle: handle, PromptTokens: 1}})
	})
}

// decode imports and generates. An import that is under way lands also after a cancel,
// as with engines that fetch in the background.
func (u *Upstream) decode(x worker.StartCall, all exports, tell func(worker.Event)) {
	name := x.Run.String()
	if all[x.Feed.GetHandle()] == nil {
		tell(worker.CallFailed{Run: x.Run, Err: fault.NotRun(fault.UpstreamError, "the KV cache is gone")})
		return
	}
	delete(all, x.Feed.GetHandle())
	u.net.After(importTime, func() {
		u.Held[name] = true
		u.token(x, x.Open.SkipTokens, tell)
	})
}

func (u *Upstream) token(x worker.StartCall, index int64, tell func(worker.Event)) {
	name := x.Run.String()
	u.net.After(tokenTime, func() {
		if u.cancelled[name] || !u.Held[name] {
			return
		}
		if index >= x.Open.MaxTokens {
			delete(u.Held, name)
			tell(worker.CallDone{Run: x.Run, Done: &wire.Done{}})
			return
		}
		tell(worker.CallData{Run: x.Run, Data: []byte(Text(string(x.Open.Prompt), index)), Tokens: 1})
		u.token(x, index+1, tell)
	})
}

func (u *Upstream) plain(x worker.StartCall, tell func(worker.Event)) {
	d := plainTime
	if u.net.Rand.IntN(longOdds) == 0 {
		d = time.Duration(u.net.Rand.Int64N(int64(longPlainTime)))
	}
	u.net.After(time.Duration(u.net.Rand.Int64N(int64(d))), func() {
		u.Executions[x.Open.Request]++
	})
	u.net.After(d, func() {
		tell(worker.CallHead{Run: x.Run, Head: &wire.Head{Status: 200}})
		tell(worker.CallData{Run: x.Run, Data: []byte(Text(x.Open.Path, 0))})
		tell(worker.CallData{Run: x.Run, Data: []byte(Text(x.Open.Path, 1))})
		tell(worker.CallDone{Run: x.Run, Done: &wire.Done{}})
	})
}

// cancel frees what is held for a run.
func (u *Upstream) cancel(name string) {
	u.net.After(time.Millisecond, func() {
		u.cancelled[name] = true
		delete(u.Held, name)
	})
}
