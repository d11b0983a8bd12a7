package place

import (
	"maps"
	"time"
)

const (
	// firstReportTimeout is how long the engine may take to report a granted run for the
	// first time before the run counts as ended.
	firstReportTimeout = 5 * time.Second
	// reportTimeout is how long a run that was reported may be missing from the reports
	// before it counts as ended.
	reportTimeout = 300 * time.Millisecond
	// silence is the time without a report after which the engine counts as having been silent. It allows for
	// a lost report of an engine on another VM.
	silence = 2500 * time.Millisecond
	// cancelTime is how long an engine may go on with a run after its place was released.
	cancelTime = 500 * time.Millisecond
)

// RunUsage is the memory usage of a run that an engine reports.
type RunUsage struct {
	RequestID string
	// Tokens is the part of the KV cache that the run holds.
	Tokens int64
}

// Report is a status report of an engine.
type Report struct {
	// MemoryTokens is the size of the engine's KV cache.
	MemoryTokens int64
	Runs         []RunUsage
	// Queued is the number of requests that wait at the engine, preempted runs included.
	Queued int
	// StartUnixMillis is the start time of the engine. It changes when the engine restarts.
	StartUnixMillis int64
}

// Observe applies a report of the engine: the size of its memory, and the memory that each
// run holds, which never decreases. Runs that are missing from the reports for too long count
// as ended.
func (s *Scheduler) Observe(now time.Time, r Report) []Outcome {
	if r.StartUnixMillis != s.startUnixMillis {
		// The engine has restarted, so its runs are gone.
		clear(s.runs)
		s.startUnixMillis = r.StartUnixMillis
	}
	if now.Sub(s.lastReport) > silence {
		s.silentUntil = now
	}
	s.memoryTokens = r.MemoryTokens
	s.updateStepTime(now, r)
	maps.DeleteFunc(s.ignoreUntil, func(_ string, t time.Time) bool { return !now.Before(t) })
	for _, u := range r.Runs {
		if _, ok := s.ignoreUntil[u.RequestID]; !ok {
			s.updateRun(now, u)
		}
	}
	for id, x := range s.runs {
		if s.hasEnded(now, x, r.Queued) {
			delete(s.runs, id)
		}
	}
	s.lastReport = now
	return s.Tick(now)
}

// updateRun records the reported usage of a run. For a run that isn't known, such as one that
// was granted before this process restarted, all reported tokens count as its prompt, and
// its maximum answer length is assumed to be the average of the requests.
func (s *Scheduler) updateRun(now time.Time, u RunUsage) {
	r := s.runs[u.RequestID]
	if r == nil {
		r = &run{promptTokens: u.Tokens, usedTokens: u.Tokens, maxTokens: int64(s.avgMaxTokens), lengthQuantiles: newQuantiles(s.rand), grantedAt: now}
		s.runs[u.RequestID] = r
	}
	r.usedTokens = max(r.usedTokens, u.Tokens)
	r.lastReported = now
}

// hasEnded reports whether a run has been missing from the reports for too long. While
// requests wait at the engine, a run that is missing may be one of them, preempted: it comes
// back and needs its memory again.
func (s *Scheduler) hasEnded(now time.Time, r *run, queued int) bool {
	since, timeout := later(r.lastReported, r.grantedAt), reportTimeout
	switch {
	case r.lastReported.IsZero():
		timeout = firstReportTimeout + s.reportLag
	case queued > 0:
		// No report could show it while the engine was silent.
		since, timeout = later(since, s.silentUntil), firstReportTimeout+s.reportLag
	}
	return now.Sub(since) > timeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateStepTime estimates the duration of a step from the growth of the runs since the
// last report: each run grows by one token in a step.
func (s *Scheduler) updateStepTime(now time.Time, r Report) {
	passed := now.Sub(s.lastReport)
	if s.lastReport.IsZero() || passed <= 0 {
		return
	}
	for _, u := range r.Runs {
		known := s.runs[u.RequestID]
		if known == nil || known.lastReported != s.lastReport || u.Tokens <= known.usedTokens {
			continue
		}
		step := passed / time.Duration(u.Tokens-known.usedTokens)
		s.stepTime += time.Duration(ewmaWeight * float64(step-s.stepTime))
	}
}

// currentTokens returns the memory that a run is estimated to hold now. If reports lag, that is
// what was last reported and one token for each step since, at most up to the run's limit.
func (s *Scheduler) currentTokens(now time.Time, r *run) int64 {
	if s.reportLag == 0 {
		return r.usedTokens
	}
	since := r.grantedAt
	if !r.lastReported.IsZero() {
		since = r.lastReported.Add(-s.reportLag)
	}
	steps := int64(now.Sub(since) / max(1, s.stepTime))
	return max(r.usedTokens, min(r.promptTokens+r.maxTokens, r.usedTokens+steps))
}
