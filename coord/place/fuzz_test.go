package place

import (
	"testing"
	"time"
)

// FuzzAbsurdNumbers gives the scheduler reports and requests with any numbers, as a faulty engine or a hostile
// caller may send them. It must not panic, must come to an end, and must not grant more slots than there are.
func FuzzAbsurdNumbers(f *testing.F) {
	const most, least = 1<<63 - 1, -1 << 63
	f.Add(int64(4000), int64(300), int64(400), int64(20), 8, 0, int64(50))
	f.Add(int64(most), int64(most), int64(most), int64(most), 1<<31-1, 1<<31-1, int64(0))
	f.Add(int64(least), int64(least), int64(least), int64(least), -1, -1, int64(-1))
	f.Add(int64(most), int64(1), int64(1)<<40, int64(least), 1, -1<<31, int64(1))
	f.Add(int64(0), int64(0), int64(0), int64(0), 0, 0, int64(most))
	f.Fuzz(func(t *testing.T, memory, prompt, maxTokens, used int64, slots, queued int, passed int64) {
		for _, opts := range [][]Option{nil, {WithReportLag(time.Second)}} {
			s := New(opts...)
			s.SetSlots(slots)
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			granted := 0
			count := func(out []Outcome) {
				for _, o := range out {
					if o.Granted {
						granted++
					}
				}
			}
			count(s.Observe(now, Report{MemoryTokens: memory, Queued: queued}))
			for _, id := range []string{"a", "b", "c"} {
				count(s.Submit(now, Request{ID: id, PromptTokens: prompt, MaxTokens: maxTokens, ExpiresAt: now.Add(time.Hour)}))
			}
			for range 3 {
				now = now.Add(time.Duration(passed % int64(time.Second)))
				used += used / 2
				count(s.Observe(now, Report{MemoryTokens: memory, Queued: queued, Runs: []RunUsage{{"a", used}, {"other", -used}, {"", prompt}}}))
				s.State(now)
			}
			if granted > max(1, slots) && slots > 0 {
				t.Errorf("%d runs granted, %d slots", granted, slots)
			}
			s.Complete(now, "a")
			s.Release(now, "b")
		}
	})
}
