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
	// One in longPlainOneIn plain calls takes a random time up to longPlainTime.
	longPlainTime  = 4 * time.Second
	longPlainOneIn = 4
	// exportLifetime is the time after which an engine discards an exported KV cache.
	exportLifetime = 800 * time.Millisecond
)

// Text returns the token at an index of the answer to a prompt.
func Text(prompt string, index int64) string {
	return fmt.Sprintf("%s.%d ", prompt, index)
}

// Upstream is a simulated engine (prefill or decode) or plain service. It keeps running
// when its agent restarts.
type Upstream struct {
	net *Net
	// Dead makes the upstream refuse all calls.
	Dead bool
	// Held is the set of names of the runs that hold engine memory.
	Held map[string]bool
	// Executions counts the executions of plain calls by request name.
	Executions map[string]int
	// Prefilled counts finished prefills; Wasted counts those that no decode imported.
	Prefilled, Wasted int

	cancelled map[string]bool
}

// exports maps the handle of each exported KV cache to the upstream that exported it, until
// the cache is imported or discarded.
type exports map[string]*Upstream

func newUpstream(n *Net) *Upstream {
	return &Upstream{net: n, Held: map[string]bool{}, Executions: map[string]int{}, cancelled: map[string]bool{}}
}

// call executes a call and passes its events to emit.
func (u *Upstream) call(x worker.StartCall, all exports, emit func(worker.Event)) {
	if u.Dead {
		u.net.After(time.Millisecond, func() {
			emit(worker.CallFailed{Run: x.Run, Err: fault.NotRun(fault.Unreachable, "the upstream is dead")})
		})
		return
	}
	switch x.Run.Stage {
	case wire.Stage_STAGE_PREFILL:
		u.prefill(x, all, emit)
	case wire.Stage_STAGE_DECODE:
		u.decode(x, all, emit)
	default:
		u.plain(x, emit)
	}
}

func (u *Upstream) prefill(x worker.StartCall, all exports, emit func(worker.Event)) {
	u.net.After(prefillTime, func() {
		name := x.Run.String()
		if u.cancelled[name] {
			return
		}
		u.Prefilled++
		handle := fmt.Sprintf("%s/%d", name, u.Prefilled)
		all[handle] = u
		u.net.After(exportLifetime, func() {
			if all[handle] != nil {
				u.Wasted++
				delete(all, handle)
			}
		})
		emit(worker.CallDone{Run: x.Run, Done: &wire.Done{Handle: handle, PromptTokens: 1}})
	})
}

// decode imports the KV cache and generates tokens. A cancel does not stop an import in
// progress, as with engines that fetch in the background.
func (u *Upstream) decode(x worker.StartCall, all exports, emit func(worker.Event)) {
	name := x.Run.String()
	// A handle is unknown if its KV cache was never exported, was already imported or was
	// discarded after exportLifetime.
	if all[x.Feed.GetHandle()] == nil {
		emit(worker.CallFailed{Run: x.Run, Err: fault.NotRun(fault.UpstreamError, "the KV cache is gone")})
		return
	}
	delete(all, x.Feed.GetHandle())
	u.net.After(importTime, func() {
		u.Held[name] = true
		u.token(x, x.Open.SkipTokens, emit)
	})
}

func (u *Upstream) token(x worker.StartCall, index int64, emit func(worker.Event)) {
	name := x.Run.String()
	u.net.After(tokenTime, func() {
		if u.cancelled[name] || !u.Held[name] {
			return
		}
		if index >= x.Open.MaxTokens {
			delete(u.Held, name)
			emit(worker.CallDone{Run: x.Run, Done: &wire.Done{}})
			return
		}
		emit(worker.CallData{Run: x.Run, Data: []byte(Text(string(x.Open.Prompt), index)), Tokens: 1})
		u.token(x, index+1, emit)
	})
}

func (u *Upstream) plain(x worker.StartCall, emit func(worker.Event)) {
	d := plainTime
	if u.net.Rand.IntN(longPlainOneIn) == 0 {
		d = time.Duration(u.net.Rand.Int64N(int64(longPlainTime)))
	}
	u.net.After(time.Duration(u.net.Rand.Int64N(int64(d))), func() {
		u.Executions[x.Open.Request]++
	})
	u.net.After(d, func() {
		emit(worker.CallHead{Run: x.Run, Head: &wire.Head{Status: 200}})
		emit(worker.CallData{Run: x.Run, Data: []byte(Text(x.Open.Path, 0))})
		emit(worker.CallData{Run: x.Run, Data: []byte(Text(x.Open.Path, 1))})
		emit(worker.CallDone{Run: x.Run, Done: &wire.Done{}})
	})
}

// cancel stops a run and frees its engine memory, after 1 ms.
func (u *Upstream) cancel(name string) {
	u.net.After(time.Millisecond, func() {
		u.cancelled[name] = true
		delete(u.Held, name)
	})
}
